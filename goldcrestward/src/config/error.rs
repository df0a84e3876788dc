//! Errors of configuration files.

use std::io;

use snafu::Snafu;

use super::merge::Problem;

pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a configuration was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The folder or a file in it could not be read.
    #[snafu(display("could not read {path}: {source}"))]
    Read { path: String, source: io::Error },
    /// The content of at least one file is invalid.
    #[snafu(display("{}", join_lines(problems)))]
    Invalid {
        /// In order of file name.
        problems: Vec<Problem>,
    },
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
