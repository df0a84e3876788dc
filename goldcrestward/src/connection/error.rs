//! Errors of connections.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Result of a connection's operation.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// What a connection could not do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listening socket could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The HTTP client could not be built.
    #[snafu(display("could not build the client: {reason}"))]
    Build {
        /// The library's reason.
        reason: String,
    },
    /// A peer could not be asked.
    #[snafu(display("could not ask the peer at {address}: {reason}"))]
    Peer {
        /// The peer's address.
        address: SocketAddr,
        /// What went wrong.
        reason: &'static str,
    },
}
