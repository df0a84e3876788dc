//! Answers as a caller reads them from its connection, whole or not.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::KEY;

/// An answer up to the end of its connection; the default if there is none.
#[derive(Clone, Debug, Default)]
pub(crate) struct RawReply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is whole by its length or its last chunk.
    pub complete: bool,
}

impl RawReply {
    /// Sends a POST request on a new connection; `lines` are more header lines, each of which ends with CRLF.
    pub async fn post(daemon: SocketAddr, path: &str, lines: &str, body: &str) -> Self {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
             content-length: {}\r\n{lines}\r\n{body}",
            body.len()
        );
        let mut bytes = Vec::new();
        let Ok(mut stream) = TcpStream::connect(daemon).await else { return Self::default() };
        if stream.write_all(request.as_bytes()).await.is_ok() {
            // What was read before a reset counts.
            stream.read_to_end(&mut bytes).await.ok();
        }
        Self::parse(&String::from_utf8_lossy(&bytes)).unwrap_or_default()
    }

    /// The value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(field, _)| field.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value.trim())
    }

    /// Parses what has been read of an answer; `None` before its head is complete.
    pub fn parse(text: &str) -> Option<Self> {
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let reply = Self { status, head: head.to_owned(), ..Self::default() };
        let (body, complete) = match reply.header("content-length").parse::<usize>() {
            Ok(length) => (rest.to_owned(), rest.len() == length),
            Err(_) => decode_chunks(rest),
        };
        Some(Self { body, complete, ..reply })
    }
}

fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        match usize::from_str_radix(size, 16) {
            Ok(0) => return (body, after == "\r\n"),
            Ok(size) if after.len() >= size + 2 => {
                body.push_str(&after[..size]);
                rest = &after[size + 2..];
            }
            _ => break,
        }
    }
    (body, false)
}
