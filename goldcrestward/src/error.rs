//! Errors of commands.

use std::{io, net::SocketAddr};

use snafu::Snafu;

use crate::{config, process};

pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings could not be read or are invalid.
    #[snafu(display("could not load the settings: {source}"))]
    Settings { source: process::SettingsError },
    /// The daemon could not start or run.
    #[snafu(display("could not run the daemon: {source}"))]
    Daemon { source: process::Error },
    /// The configuration could not be read or is invalid.
    #[snafu(display("{source}"))]
    Config { source: config::Error },
    /// The asynchronous runtime or its signal handlers could not be started.
    #[snafu(display("could not start the runtime: {source}"))]
    Runtime { source: io::Error },
    /// A request to a daemon failed.
    #[snafu(display("request to the daemon at {address} failed: {reason}"))]
    Request {
        /// Address on which the daemon listens for operators.
        address: SocketAddr,
        reason: String,
    },
    /// A daemon refused a change.
    #[snafu(display("{message}"))]
    Refused {
        message: String,
        /// Exit code of the process.
        code: u8,
    },
    /// A file could not be read.
    #[snafu(display("could not read {path}: {source}"))]
    Read { path: String, source: io::Error },
    /// The log file of the demonstration could not be created.
    #[snafu(display("could not create the log file {path}: {source}"))]
    LogFile { path: String, source: io::Error },
    /// Standard output could not be written.
    #[snafu(display("could not write to standard output: {source}"))]
    Write { source: io::Error },
    /// The demonstration could not run, or a check of its result failed.
    #[snafu(display("could not run the demonstration: {reason}"))]
    Demo { reason: String },
}

impl Error {
    /// Exit code of the process for this error.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused { code, .. } => *code,
            Self::Config { source: config::Error::Invalid { .. } } => 3,
            Self::Settings { .. } => 2,
            // Not a failure: a reader such as `head` closes the pipe once it has read enough.
            Self::Write { source } if source.kind() == io::ErrorKind::BrokenPipe => 0,
            _ => 1,
        }
    }
}
