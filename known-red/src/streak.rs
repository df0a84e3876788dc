//! Passes of a test in a row.

use std::{fs, io, path::PathBuf};

/// Counts passes in a row over several runs, in a file.
pub(crate) struct Streak {
    file: PathBuf,
}

impl Streak {
    pub fn new(file: PathBuf) -> Self {
        Self { file }
    }

    /// Records a result and returns the number of passes in a row.
    pub fn record(&self, passed: bool) -> io::Result<u32> {
        let before = match fs::read_to_string(&self.file) {
            Ok(text) => text.trim().parse().map_err(io::Error::other)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
            Err(error) => return Err(error),
        };
        let passes = if passed { before + 1 } else { 0 };
        fs::write(&self.file, format!("{passes}\n"))?;
        Ok(passes)
    }
}
