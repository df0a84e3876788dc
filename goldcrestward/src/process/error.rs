//! Errors of a daemon's start.

use snafu::Snafu;

use crate::connection;

/// Result of starting a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket could not be opened or the HTTP client could not be created.
    #[snafu(display("could not start: {source}"))]
    Connection { source: connection::Error },
    /// The metrics could not be registered.
    #[snafu(display("could not register metrics: {source}"))]
    Metrics { source: prometheus::Error },
    /// The UDP socket for datagrams between daemons could not be opened.
    #[snafu(display("could not open UDP socket on {address}: {source}"))]
    Datagrams { address: std::net::SocketAddr, source: std::io::Error },
}
