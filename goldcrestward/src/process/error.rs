//! Errors of the process.

use snafu::Snafu;

use crate::connection;

/// Result of a process's operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket or client could not be made.
    #[snafu(display("could not start: {source}"))]
    Connection {
        /// What went wrong.
        source: connection::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("could not register metrics: {source}"))]
    Metrics {
        /// The library's error.
        source: prometheus::Error,
    },
    /// The datagram socket could not be opened.
    #[snafu(display("could not open datagrams on {address}: {source}"))]
    Datagrams {
        /// The address asked for.
        address: std::net::SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
}
