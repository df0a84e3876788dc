//! Errors of reading configuration files.

use std::io;

use snafu::Snafu;

use super::merge::Problem;

/// Result of a configuration operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a configuration could not be taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The folder or a file in it could not be read.
    #[snafu(display("could not read {path}: {source}"))]
    Read {
        /// The path.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A file's content is wrong.
    #[snafu(display("{}", list(problems)))]
    Invalid {
        /// What is wrong, in the order of the files.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
