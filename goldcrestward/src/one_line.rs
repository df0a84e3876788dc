//! Keeps what is written in one line.

use std::io::{self, Write};

/// Escapes control characters: names from the store or from callers may have them, and must not begin another line.
pub(crate) struct OneLine<W>(pub W);

impl<W: Write> Write for OneLine<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.chunk_by(|a, b| !a.is_ascii_control() && !b.is_ascii_control()) {
            match part {
                [byte] if byte.is_ascii_control() => write!(self.0, "{}", byte.escape_ascii())?,
                _ => self.0.write_all(part)?,
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

#[cfg(test)]
#[path = "one_line_test.rs"]
mod one_line_test;
