//! The list of tests that are known to fail.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Beginning of an entry for a test; its full name follows.
const TEST_PREFIX: &str = "test:";

/// The tests that KNOWN-RED.txt lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Full names.
    pub tests: Vec<String>,
}

impl List {
    /// Reads the list at the root of the workspace.
    ///
    /// # Panics
    /// If the list cannot be read.
    pub fn read() -> Self {
        let path = Self::root().join("KNOWN-RED.txt");
        let text =
            fs::read_to_string(&path).unwrap_or_else(|error| panic!("could not read {}: {error}", path.display()));
        Self::parse(&text)
    }

    /// Root of the workspace.
    pub fn root() -> PathBuf {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
    }

    pub(crate) fn parse(text: &str) -> Self {
        let names = text.lines().filter_map(|line| line.strip_prefix(TEST_PREFIX));
        Self { tests: names.map(|name| name.trim().to_owned()).collect() }
    }
}
