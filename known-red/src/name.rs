//! Name of a test.

use std::fmt;

/// A test of the workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestName {
    /// Crate, modules and function. The target of an integration test follows the crate of its package.
    pub full: String,
    /// Name under which the test's binary knows it: modules and function.
    pub(crate) in_binary: String,
}

impl TestName {
    /// Derives the name from the path of an item within the test's body.
    pub(crate) fn from_location(package: &str, location: &str) -> Self {
        let path = location.rsplit_once("::").map_or(location, |(path, _item)| path);
        // The body of an asynchronous test is a closure.
        let path = path.split("::{{closure}}").next().unwrap_or(path);
        let (target, in_binary) = path.split_once("::").unwrap_or(("", path));
        let package = package.replace('-', "_");
        let full = if target == package { path.to_owned() } else { format!("{package}::{path}") };
        Self { full, in_binary: in_binary.to_owned() }
    }
}

impl fmt::Display for TestName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.full)
    }
}
