//! Errors of the stand-ins.

use std::{io, net::SocketAddr};

use snafu::Snafu;

pub type Result<T, E = Error> = std::result::Result<T, E>;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    /// A file, socket or other system resource named by `path` could not be used.
    #[snafu(display("could not use {path}: {source}"))]
    File { path: String, source: io::Error },
    /// A request to another process failed, or its response could not be used.
    #[snafu(display("could not call {address}: {reason}"))]
    Request { address: SocketAddr, reason: String },
    /// A plot could not be drawn.
    #[snafu(display("could not draw {path}: {reason}"))]
    Draw { path: String, reason: String },
    /// An upgrade broke promises, which its report lists.
    #[snafu(display("{count} promises were broken"))]
    PromisesBroken { count: usize },
}
