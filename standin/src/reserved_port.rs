//! Local port that stays with its owner while nothing listens on it.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait in the kernel to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// A loopback port that the kernel gives to no one who asks for any free port, until this is dropped.
///
/// Connections to it are refused while nothing listens. Whoever knows the address, such as a daemon that gets it in its
/// settings, may listen on it with `SO_REUSEADDR`, also again and again.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    // A bound socket that does not listen: it conflicts with any socket that is bound to port 0, but not with one that
    // is bound to this very port.
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port that is free for TCP and UDP.
    ///
    /// # Errors
    /// Fails when no port is free or no socket can be opened.
    pub fn new() -> io::Result<Self> {
        loop {
            let socket = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let address = socket.local_addr()?;
            if std::net::UdpSocket::bind(address).is_ok() {
                return Ok(Self { address, _socket: socket });
            }
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a listener on the port.
    ///
    /// # Errors
    /// Fails while another listener is open on the port, and outside a Tokio runtime.
    pub fn listen(&self) -> io::Result<TcpListener> {
        self.listen_with_backlog(LISTEN_BACKLOG)
    }

    /// Like [`ReservedPort::listen`], with the number of connections that may wait to be accepted.
    ///
    /// # Errors
    /// See [`ReservedPort::listen`].
    pub fn listen_with_backlog(&self, backlog: u32) -> io::Result<TcpListener> {
        bound_socket(self.address)?.listen(backlog)
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
