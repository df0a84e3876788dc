//! Errors of the stand-ins.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Result of a stand-in's operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What a stand-in could not do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A file could not be written or read.
    #[snafu(display("could not use {path}: {source}"))]
    File {
        /// The file's path.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A call to another process failed.
    #[snafu(display("could not call {address}: {reason}"))]
    Call {
        /// The address called.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// A plot could not be drawn.
    #[snafu(display("could not draw {path}: {reason}"))]
    Draw {
        /// The plot's path.
        path: String,
        /// What went wrong.
        reason: String,
    },
}
