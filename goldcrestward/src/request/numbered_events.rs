//! Splits a stream of server-sent events into whole events and follows their ids.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceError {
    /// An event is missing.
    Gap,
    /// An event cannot be read.
    Malformed,
}

/// Reads one attempt's events and passes on what continues the answer.
#[derive(Debug)]
pub(crate) struct EventSequence {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
    repeated: u64,
}

impl EventSequence {
    /// A reader of events after the one numbered `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), scanned: 0, last, repeated: 0 }
    }

    /// Number of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events dropped because they had come before.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Whether the stream stops in the middle of an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets a half event and goes on with another attempt's stream.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Takes bytes in and gives the whole events to pass on. What came before a fault is given too.
    pub fn read(&mut self, bytes: &Bytes) -> (Bytes, Option<SequenceError>) {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            match self.check(&event) {
                Ok(true) if out.is_empty() => out = event,
                Ok(true) => out.extend_from_slice(&event),
                Ok(false) => {}
                Err(disorder) => return (out.freeze(), Some(disorder)),
            }
        }
        let disorder = (self.buffer.len() > EVENT_BYTES).then_some(SequenceError::Malformed);
        (out.freeze(), disorder)
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let tail = &self.buffer[from..];
        let plain = tail.windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2);
        let wide = tail.windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned = self.buffer.len();
        match (plain, wide) {
            (Some(plain), Some(wide)) => Some(plain.min(wide)),
            (plain, wide) => plain.or(wide),
        }
    }

    /// Whether to pass the event on.
    fn check(&mut self, event: &[u8]) -> Result<bool, SequenceError> {
        let Some(number) = event_number(event)? else { return Ok(true) };
        match self.last {
            Some(last) if number <= last => {
                self.repeated += 1;
                Ok(false)
            }
            Some(last) if number > last + 1 => Err(SequenceError::Gap),
            _ => {
                self.last = Some(number);
                Ok(true)
            }
        }
    }
}

/// The number in an event's id; `None` for an event without one, such as a comment.
fn event_number(event: &[u8]) -> Result<Option<u64>, SequenceError> {
    let mut ids = event.split(|b| *b == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
    let Some(id) = ids.next_back() else { return Ok(None) };
    let text = std::str::from_utf8(id.trim_ascii()).map_err(|_| SequenceError::Malformed)?;
    text.parse().map(Some).map_err(|_| SequenceError::Malformed)
}

#[cfg(test)]
#[path = "numbered_events_test.rs"]
mod numbered_events_test;
