//! Reads the server-sent events of an engine's stream and checks that they belong to the attempt.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// An event has the id of another request or the number of another attempt.
    Crossed,
    /// A token is missing.
    Gap,
    /// An event could not be parsed, or exceeds the size limit.
    Malformed,
}

#[derive(Deserialize)]
struct EventData<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(default)]
    attempt: Option<u32>,
    #[serde(default)]
    token_index: Option<u64>,
}

/// Splits the stream of one attempt into events and yields those that continue the response.
#[derive(Debug)]
pub(crate) struct TokenEventReader {
    request: Box<str>,
    attempt: u32,
    buffer: BytesMut,
    scanned: usize,
    next: u64,
    repeated: u64,
    done: bool,
    error: Option<StreamError>,
}

impl TokenEventReader {
    /// Creates a reader for attempt number `attempt` of `request` that expects the token with index `next`.
    pub fn new(request: &str, attempt: u32, next: u64) -> Self {
        Self {
            request: request.into(),
            attempt,
            buffer: BytesMut::new(),
            scanned: 0,
            next,
            repeated: 0,
            done: false,
            error: None,
        }
    }

    /// Index of the next expected token.
    pub fn next_token(&self) -> u64 {
        self.next
    }

    /// Number of tokens dropped as duplicates.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Whether the final `[DONE]` event has been received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Why the attempt's stream cannot be continued; nothing more is read from it.
    pub fn error(&self) -> Option<StreamError> {
        self.error
    }

    /// Consumes received bytes and returns the complete events up to an error. Their tokens count as forwarded from now
    /// on, so the caller must get them, whatever [`error`](Self::error) says.
    #[must_use]
    pub fn read(&mut self, bytes: &Bytes) -> Bytes {
        if self.error.is_some() {
            return Bytes::new();
        }
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            match self.check(&event) {
                Ok(true) if out.is_empty() => out = event,
                Ok(true) => out.extend_from_slice(&event),
                Ok(false) => {}
                Err(error) => {
                    self.error = Some(error);
                    return out.freeze();
                }
            }
        }
        self.error = (self.buffer.len() > MAX_EVENT_BYTES).then_some(StreamError::Malformed);
        out.freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }

    /// Returns whether to forward the event.
    fn check(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        if self.done {
            return Ok(false);
        }
        let Some(data) = event.strip_prefix(b"data:") else { return Ok(false) };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return Ok(true);
        }
        let data: EventData = serde_json::from_slice(data).map_err(|_| StreamError::Malformed)?;
        if data.id != *self.request || data.attempt.is_some_and(|attempt| attempt != self.attempt) {
            return Err(StreamError::Crossed);
        }
        match data.token_index {
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
