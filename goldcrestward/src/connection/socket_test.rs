//! Tests of the options that sockets get.

use std::{io::ErrorKind, time::Duration};

use rustix::net::sockopt;
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{open_socket, set_up_accepted};

/// Time after a disruption from which the users count a machine as undisturbed again.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Return instruction of a packet filter, with which it drops every segment.
const RETURN_CONSTANT: u16 = 0x06;

/// Opens a connection whose other end drops all that arrives, acknowledges nothing and sends nothing.
async fn open_silent() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let socket = open_socket(address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    SockRef::from(&far).attach_filter(&[SockFilter::new(RETURN_CONSTANT, 0, 0, 0)]).expect("a filter");
    (socket, far)
}

/// Guards against LOST: a connection on which nothing was outstanding was kept however long it had been silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_closed_within_contact_time() {
    for sends in [false, true] {
        let (mut socket, _far) = open_silent().await;
        if sends {
            socket.write_all(b"request").await.expect("the buffer has room");
        }
        let read = timeout(CONTACT_TIME, socket.read(&mut [0])).await;
        let error = read.expect("it is closed by then").expect_err("nothing was sent on it");
        assert_eq!(error.kind(), ErrorKind::TimedOut, "sends {sends}: {error}");
    }
}

#[tokio::test]
async fn connection_of_a_caller_is_probed_without_a_user_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (_caller, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (socket, _) = accepted.expect("a connection");
    set_up_accepted(&socket);
    assert!(sockopt::socket_keepalive(&socket).expect("the option can be read"));
    assert_eq!(sockopt::tcp_user_timeout(&socket).expect("the option can be read"), 0);
}
