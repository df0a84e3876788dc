//! Tests of the HTTP client.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use standin::reserved_port::ReservedPort;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use volo_http::body::Body;

use super::{HttpClient, OutboundRequest, SendError};
use crate::connection::response_head::{HeadTooLong, MAX_RESPONSE_HEADS};

const WORKERS: usize = 16;
const REQUESTS: usize = 50;
/// Time after which a call counts as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);

fn request(address: SocketAddr) -> OutboundRequest {
    let (method, headers) = (Method::GET, HeaderMap::new());
    OutboundRequest { address, method, path: "/".into(), headers, body: Body::empty() }
}

/// Answers each request with a beginning, and then with the rest again and again.
async fn start_endless_server(start: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if !matches!(stream.read(&mut [0; 4096]).await, Ok(1..))
                    || stream.write_all(start.as_bytes()).await.is_err()
                {
                    return;
                }
                while stream.write_all(rest.as_bytes()).await.is_ok() {}
            });
        }
    });
    address
}

/// Answers each request with its number on its connection, from 0, and keeps the connections.
async fn start_counting_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                for number in 0.. {
                    let Ok(1..) = stream.read(&mut buffer).await else { return };
                    let body = number.to_string();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against MIXED: a request that was to have a connection of its own got that of a request that ended while its
/// own was being opened, so that a late copy of the earlier answer was taken for its answer.
#[tokio::test(flavor = "multi_thread")]
async fn send_fresh_never_shares_a_connection() {
    let address = start_counting_server().await;
    let client = HttpClient::new();
    let mut workers = JoinSet::new();
    for _ in 0..WORKERS {
        let client = client.clone();
        workers.spawn(async move {
            let mut shared = 0;
            for _ in 0..REQUESTS {
                let response = client.send_fresh(request(address)).await.expect("the server answers");
                let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
                shared += usize::from(&body[..] != b"0");
            }
            shared
        });
    }
    let shared: usize = workers.join_all().await.into_iter().sum();
    assert_eq!(shared, 0, "of {} requests came on connections that had carried others", WORKERS * REQUESTS);
}

#[tokio::test]
async fn send_reuses_connections_whose_response_was_read() {
    let address = start_counting_server().await;
    let client = HttpClient::new();
    for number in 0..5 {
        let response = client.send(request(address)).await.expect("the server answers");
        let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
        assert_eq!(body, number.to_string().as_bytes());
        // The connection is kept by a task of its own.
        while client.idle.is_empty(address) {
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test]
async fn send_goes_on_where_an_idle_connection_was_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if !matches!(stream.read(&mut [0; 4096]).await, Ok(1..)) {
                continue;
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.ok();
        }
    });
    let client = HttpClient::new();
    for _ in 0..20 {
        let sending = timeout(STUCK_TIMEOUT, client.send(request(address))).await.expect("the call ends");
        match sending {
            Ok(response) => drop(response.into_body().collect().await),
            // The server may have closed the connection after the request was written.
            Err(error) => assert_eq!(error, SendError::MaybeSent),
        }
    }
}

#[tokio::test]
async fn send_gives_up_heads_without_end() {
    let cases = [
        ("", "HTTP/1.1 102 Processing\r\n\r\n", true),
        ("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n", false),
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef", false),
    ];
    let client = HttpClient::new();
    for (start, rest, is_interim) in cases {
        let address = start_endless_server(start, rest).await;
        for is_fresh in [false, true] {
            let sending = async {
                if is_fresh { client.send_fresh(request(address)).await } else { client.send(request(address)).await }
            };
            let error = timeout(STUCK_TIMEOUT, sending).await.expect("the call ends").expect_err("there is no answer");
            let SendError::HeadTooLong(HeadTooLong { heads, .. }) = error else { panic!("{error:?} for {rest:?}") };
            assert_eq!(heads, if is_interim { MAX_RESPONSE_HEADS } else { 0 }, "{rest:?}");
        }
    }
}

#[tokio::test]
async fn send_passes_over_interim_heads() {
    let address = start_endless_server(
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 102 Processing\r\n\r\n",
    )
    .await;
    let response = HttpClient::new().send(request(address)).await.expect("the server answers");
    assert_eq!(response.status(), 200);
    assert_eq!(response.into_body().collect().await.expect("the answer is whole").to_bytes(), "ok");
}

/// Answers each request of a connection with its number there, but the second with the answer to the first once more: all
/// later answers are late by one.
async fn start_doubling_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                for number in [0].into_iter().chain(0..) {
                    let Ok(1..) = stream.read(&mut [0; 4096]).await else { return };
                    let answer = format!("HTTP/1.1 200 OK\r\nX-Number: {number}\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against MIXED: a connection on which an answer had come twice was used again, so that each later request on it got
/// the answer of the one before.
#[tokio::test]
async fn send_owned_drops_connections_with_answers_of_others() {
    let address = start_doubling_server().await;
    let client = HttpClient::new();
    let mut numbers = Vec::new();
    let mut expected = 0;
    for _ in 0..8 {
        let is_own = move |head: &HeaderMap| head.get("x-number").is_some_and(|n| n == expected.to_string().as_str());
        let response = client.send_owned(request(address), is_own, || true).await.expect("the server answers");
        let number: usize = response.headers()["x-number"].to_str().expect("a text").parse().expect("a number");
        response.into_body().collect().await.expect("the answer is whole");
        numbers.push((expected, number));
        // After an answer that is not its own, a request needs a new connection.
        expected = if number == expected { expected + 1 } else { 0 };
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    }
    let own = [(0, 0), (1, 0)];
    assert_eq!(numbers, own.repeat(4), "the expected number of each answer on its connection, and the one that came");
}

/// Guards against uploads that are cut: a connection was used after the time for which its server keeps it.
#[tokio::test]
async fn send_heeds_how_long_the_server_keeps_connections() {
    // Lines of the answer, time between two requests in ms, and whether the connection is used again.
    let cases = [
        ("", 0, true),
        ("Keep-Alive: timeout=5\r\n", 0, true),
        ("Keep-Alive: max=9, timeout=1\r\n", 700, false),
        ("Keep-Alive: timeout=0\r\n", 0, false),
        ("Connection: close\r\n", 0, false),
    ];
    for (lines, pause_ms, is_reused) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                tokio::spawn(async move {
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{lines}X-Connection: {connection}\r\nContent-Length: 0\r\n\r\n");
                    while let Ok(1..) = stream.read(&mut [0; 4096]).await {
                        stream.write_all(answer.as_bytes()).await.ok();
                    }
                });
            }
        });
        let client = HttpClient::new();
        let mut connections = Vec::new();
        for _ in 0..2 {
            let response = client.send(request(address)).await.expect("the server answers");
            connections.push(response.headers()["x-connection"].clone());
            response.into_body().collect().await.expect("the answer is whole");
            for _ in 0..100 {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        assert_eq!(connections[0] == connections[1], is_reused, "{lines:?}");
    }
}

/// Guards against LOST: a request was allowed before its connection was opened, which took until the daemon's end was near.
#[tokio::test]
async fn request_that_is_too_late_once_connected_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let client = HttpClient::new();
    for is_fresh in [true, false] {
        let sent = match is_fresh {
            true => client.send_fresh_if(request(address), || false).await,
            false => client.send_owned(request(address), |_| true, || false).await,
        };
        assert!(matches!(sent, Err(SendError::NotSent)), "fresh {is_fresh}");
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut received = Vec::new();
        timeout(STUCK_TIMEOUT, stream.read_to_end(&mut received)).await.expect("the connection ends").ok();
        assert!(received.is_empty(), "fresh {is_fresh}: {:?}", String::from_utf8_lossy(&received));
    }
}

/// Silence of a sound server, and time after which a connection on the own host has got no answer.
const PAUSE: Duration = Duration::from_millis(1_600);
const NO_ANSWER: Duration = Duration::from_millis(60);

/// Listens without accepting until the kernel drops further connection requests.
async fn fill_backlog(port: &ReservedPort) -> (TcpListener, Vec<TcpStream>) {
    let listener = port.listen_with_backlog(0).expect("the port can be listened on");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = timeout(NO_ANSWER, TcpStream::connect(port.address())).await {
        waiting.push(stream);
    }
    (listener, waiting)
}

/// Guards against a verdict for a pause: the kernel repeats a lost connection request after 1 s and after 3 s, so a server
/// that was silent for over a second was reached no more within the limit, and taken out of use.
#[tokio::test]
async fn server_that_pauses_while_a_connection_is_opened_is_reached() {
    let client = HttpClient::new();
    for is_fresh in [true, false] {
        let port = ReservedPort::new().expect("a port is free");
        let address = port.address();
        let (silent, waiting) = fill_backlog(&port).await;
        let server = tokio::spawn(async move {
            sleep(PAUSE).await;
            // The connections that fill the queue have ended.
            drop(waiting);
            loop {
                let (mut stream, _) = silent.accept().await.expect("the port is listened on");
                if matches!(stream.read(&mut [0; 4096]).await, Ok(1..)) {
                    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.ok();
                    return;
                }
            }
        });
        let sent = match is_fresh {
            true => client.send_fresh(request(address)).await,
            false => client.send(request(address)).await,
        };
        assert_eq!(sent.map(|response| response.status().as_u16()), Ok(204), "fresh {is_fresh}");
        server.await.expect("the server answers");
    }
}

#[tokio::test]
async fn server_that_stays_silent_is_not_sent_to() {
    let port = ReservedPort::new().expect("a port is free");
    let _silent = fill_backlog(&port).await;
    let sent = timeout(STUCK_TIMEOUT, HttpClient::new().send(request(port.address()))).await;
    assert!(matches!(sent, Ok(Err(SendError::NotSent))));
}

/// Guards against a connection that is given up before a later attempt has succeeded: one that takes longer than the
/// interval between attempts could never be opened.
#[tokio::test]
async fn connection_that_takes_longer_than_an_interval_is_opened() {
    let open = || async {
        tokio::time::sleep(super::CONNECT_RETRY_INTERVAL + Duration::from_millis(200)).await;
        Ok(())
    };
    let opened = tokio::time::timeout(super::CONNECT_TIMEOUT, super::open_first(open)).await;
    assert!(matches!(opened, Ok(Ok(()))), "{opened:?}");
}
