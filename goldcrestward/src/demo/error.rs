//! Errors of the demonstration.

use snafu::Snafu;

use crate::process;

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why the demonstration could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A stand-in could not be started.
    #[snafu(display("could not start a stand-in: {source}"))]
    StandIn { source: standin::error::Error },
    /// A socket could not be opened.
    #[snafu(display("could not open a socket: {source}"))]
    Socket { source: std::io::Error },
    /// The settings of a daemon are invalid.
    #[snafu(display("invalid daemon settings: {source}"))]
    Settings { source: process::SettingsError },
    /// A daemon could not be started.
    #[snafu(display("could not start a daemon: {source}"))]
    Daemon { source: process::Error },
    /// The threads of a daemon could not be started.
    #[snafu(display("could not start the threads of a daemon: {source}"))]
    Runtime { source: std::io::Error },
    /// A task of a daemon panicked or was cancelled.
    #[snafu(display("a task of a daemon did not end: {source}"))]
    Task { source: tokio::task::JoinError },
    /// A daemon did not accept a proposed configuration.
    #[snafu(display("the daemon did not accept the configuration: {reason}"))]
    Configuration {
        /// The daemon's response, or why there was none.
        reason: String,
    },
}
