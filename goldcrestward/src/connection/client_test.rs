//! Tests of requests that are sent on connections of their own.

use std::net::SocketAddr;

use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};
use volo_http::body::Body;

use super::{HttpClient, OutboundRequest};

const WORKERS: usize = 16;
const REQUESTS: usize = 50;

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
    let client = HttpClient::new().expect("the options are accepted");
    let mut workers = JoinSet::new();
    for _ in 0..WORKERS {
        let client = client.clone();
        workers.spawn(async move {
            let mut shared = 0;
            for _ in 0..REQUESTS {
                let (method, headers) = (Method::GET, HeaderMap::new());
                let request = OutboundRequest { address, method, path: "/".into(), headers, body: Body::empty() };
                let response = client.send_fresh(request).await.expect("the server answers");
                let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
                shared += usize::from(&body[..] != b"0");
            }
            shared
        });
    }
    let shared: usize = workers.join_all().await.into_iter().sum();
    assert_eq!(shared, 0, "of {} requests came on connections that had carried others", WORKERS * REQUESTS);
}
