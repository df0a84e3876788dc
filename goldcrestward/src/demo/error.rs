//! Errors of the demonstration.

use snafu::Snafu;

use crate::process;

/// Result of a part of the demonstration.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the demonstration could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A stand-in could not be started.
    #[snafu(display("could not start a stand-in: {source}"))]
    StandIn {
        /// What went wrong.
        source: standin::error::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("could not open a socket: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings of a daemon are wrong.
    #[snafu(display("could not take the settings: {source}"))]
    Settings {
        /// What is wrong.
        source: process::SettingsError,
    },
    /// A daemon could not be started.
    #[snafu(display("could not start a daemon: {source}"))]
    Daemon {
        /// What went wrong.
        source: process::Error,
    },
    /// The configuration was not accepted.
    #[snafu(display("could not put the configuration into force: {reason}"))]
    Configuration {
        /// The daemon's answer.
        reason: String,
    },
}
