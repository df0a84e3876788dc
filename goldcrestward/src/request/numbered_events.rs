//! Splits a stream of server-sent events into complete events and checks the sequence of their ids.

use bytes::{Bytes, BytesMut};

const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceError {
    /// An event is missing.
    Gap,
    /// An id is not a number, or an event exceeds the size limit.
    Malformed,
}

/// Yields the events that continue the response, across the streams of several attempts.
#[derive(Debug)]
pub(crate) struct EventSequence {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
    repeated: u64,
    error: Option<SequenceError>,
    /// Whether the caller has been sent events of an earlier attempt, which this one resumes.
    resumed: bool,
    /// Whether events of this attempt have been sent to the caller, in a resumed stream only those that continue it.
    begun: bool,
}

impl EventSequence {
    /// Creates a sequence that continues after event number `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), scanned: 0, last, repeated: 0, error: None, resumed: false, begun: false }
    }

    /// Number of the last event that was forwarded.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of events dropped as duplicates.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Whether the bytes so far end within an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Why the stream of this attempt cannot be continued; nothing more is read from it.
    pub fn error(&self) -> Option<SequenceError> {
        self.error
    }

    /// Discards an incomplete event and the error, to continue with the stream of another attempt.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
        self.error = None;
        self.resumed |= self.begun;
        self.begun = false;
    }

    /// Whether the stream of this attempt has begun: it has continued the response if it resumes one.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Consumes received bytes and returns the complete events up to an error. They count as forwarded from now on, so
    /// the caller must get them, whatever [`error`](Self::error) says.
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
        self.error = (self.buffer.len() > MAX_EVENT_BYTES).then_some(SequenceError::Malformed);
        out.freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let tail = &self.buffer[from..];
        let lf_end = tail.windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2);
        let crlf_end = tail.windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned = self.buffer.len();
        match (lf_end, crlf_end) {
            (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
            (lf_end, crlf_end) => lf_end.or(crlf_end),
        }
    }

    /// Returns whether to forward the event. An event without a number may be anything, so that a stream can't be
    /// resumed with one: it may be the text of an error.
    fn check(&mut self, event: &[u8]) -> Result<bool, SequenceError> {
        let Some(number) = event_number(event)? else {
            if !self.resumed {
                self.begun = true;
            } else if !self.begun && !is_comment(event) {
                return Err(SequenceError::Malformed);
            }
            return Ok(true);
        };
        match self.last {
            Some(last) if number <= last => {
                self.repeated += 1;
                Ok(false)
            }
            Some(last) if number > last + 1 => Err(SequenceError::Gap),
            _ => {
                self.last = Some(number);
                self.begun = true;
                Ok(true)
            }
        }
    }
}

/// Whether an event has comments only, which servers send to keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| line.trim_ascii().is_empty() || line.starts_with(b":"))
}

/// The number in the event's `id` field; `None` if it has none, such as a comment.
fn event_number(event: &[u8]) -> Result<Option<u64>, SequenceError> {
    let mut ids = event.split(|b| *b == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
    let Some(id) = ids.next_back() else { return Ok(None) };
    let text = std::str::from_utf8(id.trim_ascii()).map_err(|_| SequenceError::Malformed)?;
    text.parse().map(Some).map_err(|_| SequenceError::Malformed)
}

#[cfg(test)]
#[path = "numbered_events_test.rs"]
mod numbered_events_test;
