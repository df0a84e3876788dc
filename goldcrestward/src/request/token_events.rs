//! Reads the server-sent events of an engine's stream and checks that they belong to the attempt.

use std::{
    borrow::Cow,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

use crate::process::{MemoryLimit, ResponseBuffer, TooLong};

/// Size limit of an event.
pub(super) const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Size limit of what is kept of a stream: an event, and what has been received at once with its end.
pub(super) const MAX_KEPT_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// An event has the id of another request or the number of another attempt.
    Crossed,
    /// A token is missing.
    Gap,
    /// An event could not be parsed.
    Malformed,
    /// An event is too long, or there is no memory for it.
    TooLong(TooLong),
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
    /// The beginning of an event.
    buffer: ResponseBuffer,
    /// Bytes of it that have been searched for its end.
    scanned: usize,
    next: u64,
    repeated: u64,
    done: bool,
    error: Option<StreamError>,
}

impl TokenEventReader {
    /// Creates a reader for attempt number `attempt` of `request` that expects the token with index `next` and keeps
    /// incomplete events in `buffer`.
    pub fn new(request: &str, attempt: u32, next: u64, buffer: ResponseBuffer) -> Self {
        Self { request: request.into(), attempt, buffer, scanned: 0, next, repeated: 0, done: false, error: None }
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

    /// Becomes ready when the incomplete event has given way to the responses of other requests.
    pub fn poll_given_up(&self, context: &mut Context<'_>) -> Poll<TooLong> {
        self.buffer.poll_given_up(context)
    }

    /// Consumes received bytes and returns the complete events up to an error. Their tokens count as forwarded from now
    /// on, so the caller must get them, whatever [`error`](Self::error) says.
    #[must_use]
    pub fn read(&mut self, bytes: &Bytes) -> Bytes {
        if self.error.is_some() {
            return Bytes::new();
        }
        let received = match self.join(bytes) {
            Ok(Some(received)) => received,
            Ok(None) => return Bytes::new(),
            Err(error) => {
                self.error = Some(StreamError::TooLong(error));
                return Bytes::new();
            }
        };
        let (mut start, mut out) = (0, BytesMut::new());
        while let Some(end) = find_end(&received[start..]) {
            let event = &received[start..start + end];
            start += end;
            match self.check(event) {
                Ok(true) => out.extend_from_slice(event),
                Ok(false) => {}
                Err(error) => {
                    self.error = Some(error);
                    return out.freeze();
                }
            }
        }
        let rest = &received[start..];
        let kept = if rest.len() > MAX_EVENT_BYTES { Err(too_long(rest.len())) } else { self.buffer.append(rest) };
        self.error = kept.err().map(StreamError::TooLong);
        self.scanned = rest.len();
        out.freeze()
    }

    /// Adds received bytes to the incomplete event; returns all if an event may be complete with them.
    fn join(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, TooLong> {
        if self.buffer.is_empty() {
            return Ok(Some(bytes.clone()));
        }
        self.buffer.append(bytes)?;
        let from = self.scanned.saturating_sub(1);
        if self.buffer.look(|kept| kept.get(from..).and_then(find_end)).is_some() {
            return self.buffer.take().map(Some);
        }
        self.scanned = self.buffer.len();
        if self.scanned > MAX_EVENT_BYTES {
            self.buffer.clear();
            return Err(too_long(self.scanned));
        }
        Ok(None)
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

/// Returns the end of the first event in `bytes`.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn too_long(bytes: usize) -> TooLong {
    TooLong { bytes, limit: MemoryLimit::Response }
}
