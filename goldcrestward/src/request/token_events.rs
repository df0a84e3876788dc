//! Server-sent events of an engine's stream, checked against the attempt that they answer.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Bytes of one event at most.
const EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// An event bears another request's id, or another attempt's number.
    Crossed,
    /// A token is missing.
    Gap,
    /// An event cannot be read.
    Malformed,
}

#[derive(Deserialize)]
struct Head<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(default)]
    attempt: Option<u32>,
    #[serde(default)]
    token_index: Option<u64>,
}

/// Reads an attempt's stream and passes on what continues the answer.
#[derive(Debug)]
pub(crate) struct TokenEventReader {
    request: Box<str>,
    attempt: u32,
    buffer: BytesMut,
    scanned: usize,
    next: u64,
    repeated: u64,
    whole: bool,
}

impl TokenEventReader {
    /// A reader for attempt `attempt` of `request`, whose next token is `next`.
    pub fn new(request: &str, attempt: u32, next: u64) -> Self {
        Self { request: request.into(), attempt, buffer: BytesMut::new(), scanned: 0, next, repeated: 0, whole: false }
    }

    /// Index of the token that comes next.
    pub fn next_token(&self) -> u64 {
        self.next
    }

    /// Tokens dropped because they had come before.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Whether the end mark has come.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Takes bytes in and gives the events to pass on. What came before a fault is given too.
    ///
    /// # Errors
    /// The second value tells why the stream cannot go on.
    pub fn read(&mut self, bytes: &Bytes) -> (Bytes, Option<StreamError>) {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            match self.check(&event) {
                Ok(true) if out.is_empty() => out = event,
                Ok(true) => out.extend_from_slice(&event),
                Ok(false) => {}
                Err(broken) => return (out.freeze(), Some(broken)),
            }
        }
        if self.buffer.len() > EVENT_BYTES {
            return (out.freeze(), Some(StreamError::Malformed));
        }
        (out.freeze(), None)
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }

    /// Whether to pass the event on.
    fn check(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        if self.whole {
            return Ok(false);
        }
        let Some(data) = event.strip_prefix(b"data:") else { return Ok(false) };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.whole = true;
            return Ok(true);
        }
        let head: Head = serde_json::from_slice(data).map_err(|_| StreamError::Malformed)?;
        if head.id != *self.request || head.attempt.is_some_and(|attempt| attempt != self.attempt) {
            return Err(StreamError::Crossed);
        }
        match head.token_index {
            Some(index) if index < self.next => {
                self.repeated += 1;
                Ok(false)
            }
            Some(index) if index > self.next => Err(StreamError::Gap),
            Some(_) => {
                self.next += 1;
                Ok(true)
            }
            None => Ok(true),
        }
    }
}
