//! Errors of listeners and connections.

use std::{io, net::SocketAddr};

use snafu::Snafu;

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a listener or connection failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listening socket could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        source: io::Error,
    },
    /// A request to a peer failed.
    #[snafu(display("request to the peer at {address} failed: {reason}"))]
    Peer { address: SocketAddr, reason: &'static str },
}
