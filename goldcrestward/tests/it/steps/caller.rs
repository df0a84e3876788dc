//! Caller that brings one request to its step and reads what becomes of it.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{Instant, timeout},
};

use super::cell::{Cell, Kind, Step};
use crate::support::{KEY, RawReply};

/// Time for which a caller waits once the holds are released.
const PATIENCE: Duration = Duration::from_secs(15);
/// Time in which a second answer would follow the first.
const QUIET: Duration = Duration::from_millis(50);

/// What a caller has received.
#[derive(Clone, Debug, Default)]
pub(super) struct Received {
    pub reply: RawReply,
    /// Whether bytes came after the answer.
    pub has_more: bool,
    /// Whether the connection was closed before the request was sent.
    pub is_closed: bool,
    /// Time from the end of the request to the end of the answer.
    pub elapsed: Duration,
}

/// The head and the body of a cell's request.
pub(super) fn request(cell: Cell, name: &str, key: &str) -> (String, String) {
    let pool = if cell.step == Step::Connecting { "far" } else { "orders" };
    let body = match cell.kind {
        Kind::Lookup => String::new(),
        Kind::Stream | Kind::Model => {
            let (model, stream) =
                (if pool == "far" { "far-planner" } else { "meal-planner" }, cell.kind == Kind::Stream);
            format!("{{\"model\":\"{model}\",\"stream\":{stream},\"prompt\":\"cell={name}\"}}")
        }
        _ => format!("cell={name} "),
    };
    let (method, path) = match cell.kind {
        Kind::Lookup => ("GET", format!("/{pool}/lookup?cell={name}")),
        Kind::Stream | Kind::Model => ("POST", "/v1/completions".into()),
        Kind::Confirm => ("POST", format!("/{pool}/confirm")),
        Kind::Order | Kind::Chunked | Kind::Open => ("POST", format!("/{pool}/new")),
    };
    let length = if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\nidempotency-key: {key}\r\n{length}\r\n"
    );
    (head, body)
}

/// Sends a request, of which a part waits for `go` at some steps, and reads the answer.
pub(super) async fn call(
    daemon: SocketAddr,
    cell: Cell,
    name: String,
    key: String,
    mut go: watch::Receiver<bool>,
) -> Received {
    let mut received = Received::default();
    let (head, body) = request(cell, &name, &key);
    let Ok(mut stream) = TcpStream::connect(daemon).await else { return received };
    stream.set_nodelay(true).ok();
    if matches!(cell.step, Step::Kept | Step::Idle) {
        let first = format!("first/{:?}", cell.kind).to_lowercase();
        let (head, body) = request(cell, &first, &format!("first-{key}"));
        if stream.write_all((head + &body).as_bytes()).await.is_err() {
            return received;
        }
        let (reply, _) = read(&mut stream).await;
        assert!(reply.status == 200 && reply.complete, "before the event: {reply:?}");
    }
    let (before, after) = match cell.step {
        Step::Head => (head[..head.len() / 2].to_owned(), head[head.len() / 2..].to_owned() + &body),
        Step::Body => (head + &body[..body.len() / 2], body[body.len() / 2..].to_owned()),
        Step::Idle => (String::new(), head + &body),
        _ => (head + &body, String::new()),
    };
    stream.write_all(before.as_bytes()).await.ok();
    if !after.is_empty() {
        tokio::select! {
            // What has been answered is read below.
            ready = stream.readable() => drop(ready),
            gone = go.wait_for(|go| *go) => drop(gone),
        }
        if cell.step == Step::Idle {
            let mut bytes = [0; 16];
            received.is_closed = match timeout(QUIET, stream.peek(&mut bytes)).await {
                Ok(Ok(count)) => count == 0 || bytes[..count].starts_with(b"HTTP/1.1 408 "),
                Ok(Err(_)) => true,
                Err(_) => false,
            };
        }
        stream.write_all(after.as_bytes()).await.ok();
    }
    let start = Instant::now();
    let (reply, has_more) = read(&mut stream).await;
    Received { reply, has_more, elapsed: start.elapsed(), ..received }
}

/// Reads an answer, and whether anything follows it.
async fn read(stream: &mut TcpStream) -> (RawReply, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 8192]);
    loop {
        let count = timeout(PATIENCE, stream.read(&mut buffer)).await;
        let count = count.map_or(0, |count| count.unwrap_or(0));
        bytes.extend_from_slice(&buffer[..count]);
        let reply = RawReply::parse(&String::from_utf8_lossy(&bytes)).unwrap_or_default();
        if count == 0 || reply.complete {
            let more = timeout(QUIET, stream.read(&mut buffer)).await;
            return (reply, matches!(more, Ok(Ok(count)) if count > 0));
        }
    }
}
