//! Caller that sends the head of a request at once and the end of its body at a given time.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use super::KEY;

/// Interval between two pieces of a body.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a response ends, from its first byte or the end of the body on.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Request whose body ends at a given time.
#[derive(Clone, Debug)]
pub(crate) struct SlowRequest {
    pub target: SocketAddr,
    pub path: &'static str,
    pub idempotency_key: Option<String>,
    /// Text with which the body ends; spaces come before it.
    pub body: String,
    /// When the last piece of the body is written.
    pub body_ends: Instant,
}

/// What the caller has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowReply {
    /// Status of the response; 0 if none came.
    pub status: u16,
    /// Head in lower case.
    pub head: String,
    pub body: String,
    /// Whether the response is complete.
    pub complete: bool,
    /// When the first byte of the response or the end of the connection came.
    pub answered: Option<Instant>,
    /// When the connection had ended or the response was complete.
    pub ended: Option<Instant>,
}

impl SlowRequest {
    /// Sends the request and reads the response as soon as it comes.
    pub async fn send(self) -> SlowReply {
        let mut reply = SlowReply::default();
        let Ok(mut stream) = TcpStream::connect(self.target).await else { return reply };
        stream.set_nodelay(true).ok();
        // A failed write ends the body; what has been received is read nevertheless.
        self.write(&mut stream).await.ok();
        let mut bytes = Vec::new();
        timeout(READ_TIMEOUT, read(&mut stream, &mut bytes, &mut reply)).await.ok();
        reply.ended = Some(Instant::now());
        reply
    }

    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let start = Instant::now();
        let left = self.body_ends.saturating_duration_since(start);
        let pieces = u32::try_from(left.as_millis() / PIECE_INTERVAL.as_millis()).unwrap_or(0);
        let key = self.idempotency_key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let (path, target, length) = (self.path, self.target, pieces as usize + self.body.len());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {target}\r\nAuthorization: Bearer {KEY}\r\nContent-Type: application/json\r\n\
             {key}Content-Length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in 1..=pieces + 1 {
            let write_at = if number > pieces { self.body_ends } else { start + PIECE_INTERVAL * number };
            tokio::select! {
                () = sleep_until(write_at) => {}
                ready = stream.readable() => return ready,
            }
            let piece = if number > pieces { &*self.body } else { " " };
            stream.write_all(piece.as_bytes()).await?;
        }
        Ok(())
    }
}

async fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>, reply: &mut SlowReply) {
    let mut buffer = [0; 4096];
    while !reply.complete {
        // A reset ends the response like a close does.
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        reply.answered.get_or_insert_with(Instant::now);
        if count == 0 {
            return;
        }
        bytes.extend_from_slice(&buffer[..count]);
        parse(bytes, reply);
    }
}

fn parse(bytes: &[u8], reply: &mut SlowReply) {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return };
    let head = head.to_lowercase();
    reply.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    // The stand-ins' texts hold no line that could be taken for the last chunk.
    reply.complete = match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => rest.len() >= length,
        None => rest.ends_with("\r\n0\r\n\r\n"),
    };
    reply.body = rest.to_owned();
    reply.head = head;
}
