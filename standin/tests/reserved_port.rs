//! Ports that stay with their owners.

use std::collections::HashSet;

use standin::reserved_port::ReservedPort;
use tokio::net::{TcpListener, TcpStream};

/// Guards against tests that reach another test's server at the address of one that they have stopped.
#[tokio::test]
async fn reserved_port_is_refused_while_nothing_listens_and_goes_to_no_one_else() {
    let port = ReservedPort::new().expect("a free port");
    for _ in 0..3 {
        let error = TcpStream::connect(port.address()).await.expect_err("nothing listens");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
        let mut others = Vec::new();
        for _ in 0..200 {
            others.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
        }
        let given: HashSet<_> = others.iter().map(|other| other.local_addr().expect("a bound socket")).collect();
        assert!(!given.contains(&port.address()));
        let listener = port.listen().expect("the owner may listen");
        assert!(port.listen().is_err(), "two listeners on one port");
        TcpStream::connect(port.address()).await.expect("the owner listens");
        drop(listener);
    }
}
