//! Server that answers some requests with bytes that never end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::timeout,
};

use crate::reserved_port::ReservedPort;

/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// Time after which the server closes a connection on which it sends without end.
const SEND_TIME: Duration = Duration::from_secs(20);

/// What a server sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessKind {
    /// Fields of a head.
    Fields,
    /// A field's value.
    FieldValue,
    /// Whole heads with an interim status.
    InterimHeads,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after a body.
    Trailers,
    /// A body of a stated length.
    Length,
    /// A body in chunks.
    Chunks,
    /// A body that ends with its connection.
    UntilClose,
    /// A body in chunks of a response with status 500.
    ErrorBody,
    /// A line of an event of a stream.
    EventLine,
    /// Comments of a stream of events.
    Comments,
    /// Heads of whole responses, one after the other.
    Responses,
}

impl EndlessKind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::Fields,
        Self::FieldValue,
        Self::InterimHeads,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Length,
        Self::Chunks,
        Self::UntilClose,
        Self::ErrorBody,
        Self::EventLine,
        Self::Comments,
        Self::Responses,
    ];

    /// What is sent once, and what is sent again and again after it. `fields` are the lines of the head that the caller
    /// expects, each of which ends with CRLF.
    fn parts(self, fields: &str) -> (String, String) {
        let ok = format!("HTTP/1.1 200 OK\r\n{fields}");
        let chunked = format!("{ok}Transfer-Encoding: chunked\r\n\r\n");
        let events = format!("{ok}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::Fields => (ok, "X-Filler: 0123456789abcdef\r\n".into()),
            Self::FieldValue => (format!("{ok}X-Filler: "), "0123456789abcdef".into()),
            Self::InterimHeads => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".into()),
            Self::ChunkExtension => (format!("{chunked}4;filler="), "0123456789abcdef".into()),
            Self::Trailers => (format!("{chunked}2\r\nok\r\n0\r\n"), "X-Filler: 0123456789abcdef\r\n".into()),
            Self::Length => (format!("{ok}Content-Length: 1000000000000\r\n\r\n"), "0123456789abcdef".into()),
            Self::Chunks => (chunked, "10\r\n0123456789abcdef\r\n".into()),
            Self::UntilClose => (format!("{ok}\r\n"), "0123456789abcdef".into()),
            Self::ErrorBody => (
                format!("HTTP/1.1 500 Internal Server Error\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"),
                "10\r\n0123456789abcdef\r\n".into(),
            ),
            Self::EventLine => (format!("{events}6\r\ndata: \r\n"), "10\r\n0123456789abcdef\r\n".into()),
            Self::Comments => (events, "12\r\n: 0123456789abcd\n\n\r\n".into()),
            Self::Responses => (String::new(), format!("{ok}Content-Length: 0\r\n\r\n")),
        }
    }
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum EndlessAnswer {
    /// Sends these bytes after a time and keeps the connection.
    Whole(Vec<u8>, Duration),
    /// Sends without end, with these lines in the head.
    Endless(EndlessKind, String),
}

/// Server that answers as a script says; it stops when it is dropped.
pub struct EndlessServer {
    pub address: SocketAddr,
    _port: ReservedPort,
    _tasks: JoinSet<()>,
}

impl EndlessServer {
    /// Starts a server on a reserved port. The script gets the text of each request.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(script: impl Fn(&str) -> EndlessAnswer + Send + Sync + 'static) -> Self {
        let port = ReservedPort::new().expect("a free port");
        let listener = port.listen().expect("the port can be listened on");
        let (address, script) = (port.address(), Arc::new(script));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let script = script.clone();
                connections.spawn(async move { serve(stream, &*script).await });
            }
        });
        Self { address, _port: port, _tasks: tasks }
    }
}

async fn serve(mut stream: TcpStream, script: &(impl Fn(&str) -> EndlessAnswer + Send + Sync)) {
    stream.set_nodelay(true).ok();
    let mut buffered = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffered).await {
        match script(&request) {
            EndlessAnswer::Whole(bytes, delay) => {
                tokio::time::sleep(delay).await;
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            EndlessAnswer::Endless(kind, fields) => {
                timeout(SEND_TIME, send_endlessly(&mut stream, kind, &fields)).await.ok();
                return;
            }
        }
    }
}

async fn send_endlessly(stream: &mut TcpStream, kind: EndlessKind, fields: &str) {
    let (start, piece) = kind.parts(fields);
    let pieces = piece.repeat(WRITE_BYTES / piece.len());
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(pieces.as_bytes()).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

/// Reads a request with a body of a stated length.
async fn read_request(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = buffered.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffered[..end]).to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let total = end + 4 + length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
            if buffered.len() >= total {
                let request = buffered.drain(..total).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&request).into_owned());
            }
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        buffered.extend_from_slice(&buffer[..count]);
    }
}
