//! How sockets of connections are opened and set up, so that the kernel closes a connection that has gone silent.
//!
//! Keep-alive probes cover a connection on which nothing is outstanding, the user time-out one with unacknowledged bytes.
//! With both set, the user time-out also decides when unanswered probes end the connection.

use std::{io, net::SocketAddr, time::Duration};

use log::warn;
use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time without a byte after which the other end is probed. The kernel counts in whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes, in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection, on systems that count them despite the user time-out.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection whose sent bytes or probes are not acknowledged is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Like [`KEEPALIVE_IDLE`], for connections of callers, whose networks may fail for longer.
const CALLER_KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Like [`KEEPALIVE_PROBES`], for connections of callers.
const CALLER_KEEPALIVE_PROBES: u32 = 5;

/// Opens a connection to a server, a peer or a service.
///
/// # Errors
/// Fails when the connection is refused or nothing answers.
pub(crate) async fn open_socket(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect(address).await?;
    set_up(&socket);
    Ok(socket)
}

/// Sets up a connection to a server, a peer or a service, which is closed after 3 s of silence.
pub(super) fn set_up(socket: &TcpStream) {
    let set = || {
        socket.set_nodelay(true)?;
        set_keepalive(socket, KEEPALIVE_IDLE, KEEPALIVE_PROBES)?;
        let timeout_ms = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        Ok(sockopt::set_tcp_user_timeout(socket, timeout_ms)?)
    };
    log_failure(set());
}

/// Sets up a connection of a caller. It has no user time-out, which would also close it while the caller takes its time
/// over reading a response.
pub(super) fn set_up_accepted(socket: &TcpStream) {
    let set = || {
        socket.set_nodelay(true)?;
        set_keepalive(socket, CALLER_KEEPALIVE_IDLE, CALLER_KEEPALIVE_PROBES)
    };
    log_failure(set());
}

fn set_keepalive(socket: &TcpStream, idle: Duration, probes: u32) -> io::Result<()> {
    sockopt::set_tcp_keepidle(socket, idle)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, probes)?;
    Ok(sockopt::set_socket_keepalive(socket, true)?)
}

/// The connection works without its options, so it is used nevertheless.
fn log_failure(result: io::Result<()>) {
    if let Err(error) = result {
        warn!("event=socket-options-refused error={error:?}");
    }
}

#[cfg(test)]
#[path = "socket_test.rs"]
mod socket_test;
