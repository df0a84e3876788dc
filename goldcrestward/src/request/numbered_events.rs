//! Splits a stream of server-sent events into complete events and checks the sequence of their ids.

use std::{
    ops::Range,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};

use crate::process::{MemoryLimit, ResponseBuffer, ResponseMemory, TooLong};

/// Size limit of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Size limit of what is kept of a stream: an event, and what has been received at once with its end.
const MAX_KEPT_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceError {
    /// An event is missing.
    Gap,
    /// An id is not a number.
    Malformed,
    /// An event is too long, or there is no memory for it.
    TooLong(TooLong),
}

/// Yields the events that continue the response, across the streams of several attempts.
#[derive(Debug)]
pub(crate) struct EventSequence {
    /// The beginning of an event.
    buffer: ResponseBuffer,
    /// Bytes of it that have been searched for its end.
    scanned: usize,
    last: Option<u64>,
    /// The event after which another server is asked to go on.
    resume_point: Option<u64>,
    repeated: u64,
    /// Whether this attempt has repeated the last event that the caller was sent by an earlier one.
    repeats_last: bool,
    error: Option<SequenceError>,
    /// Whether the caller has been sent events of an earlier attempt, which this one resumes.
    resumed: bool,
    /// Whether events of this attempt have been sent to the caller, in a resumed stream only those that continue it.
    begun: bool,
    /// Number of events other than comments that have been forwarded.
    forwarded: u64,
}

impl EventSequence {
    /// Creates a sequence that continues after event number `last`, and keeps incomplete events in `memory`.
    pub fn new(last: Option<u64>, memory: &ResponseMemory) -> Self {
        Self {
            buffer: memory.buffer(&Arc::from("-"), MAX_KEPT_BYTES),
            scanned: 0,
            last,
            resume_point: last,
            repeated: 0,
            repeats_last: false,
            error: None,
            resumed: false,
            begun: false,
            forwarded: 0,
        }
    }

    /// A sequence that continues the same response with the stream of another attempt, which is read beside this one.
    pub fn fork(&self, memory: &ResponseMemory) -> Self {
        Self {
            last: self.last,
            resume_point: self.resume_point,
            repeated: self.repeated,
            resumed: self.resumed || self.begun,
            forwarded: self.forwarded,
            ..Self::new(None, memory)
        }
    }

    /// Number of the last event that was forwarded.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of the event after which another server is asked to go on: the one before the last, so that it repeats the
    /// last one first. A stream that has ended is then told from an answer that lacks the rest. Of a response with one
    /// event, that event.
    pub fn resume_point(&self) -> Option<u64> {
        self.resume_point
    }

    /// Whether nothing is missing if the stream of this attempt ends here: it resumes the response, and has repeated the
    /// last event that the caller was sent.
    pub fn may_end(&self) -> bool {
        self.repeats_last && self.error.is_none() && !self.is_partial()
    }

    /// Number of events dropped as duplicates.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Number of events other than comments that have been forwarded. A stream that goes on without any more of them makes
    /// no progress.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
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
        self.repeats_last = false;
    }

    /// Continues with the stream of `server`.
    pub fn restart_at(&mut self, server: &Arc<str>) {
        self.restart();
        self.buffer.restart(server);
    }

    /// Becomes ready when the incomplete event has given way to the responses of other requests.
    pub fn poll_given_up(&self, context: &mut Context<'_>) -> Poll<TooLong> {
        self.buffer.poll_given_up(context)
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
        let received = match self.join(bytes) {
            Ok(Some(received)) => received,
            Ok(None) => return Bytes::new(),
            Err(error) => {
                self.error = Some(SequenceError::TooLong(error));
                return Bytes::new();
            }
        };
        let is_kept = !bytes.is_empty() && received.as_ptr() != bytes.as_ptr();
        let (mut start, mut forwarded) = (0, Vec::<Range<usize>>::new());
        while let Some(end) = find_end(&received[start..]) {
            let event = start..start + end;
            start = event.end;
            match self.check(&received[event.clone()]) {
                Ok(true) => match forwarded.last_mut() {
                    Some(last) if last.end == event.start => last.end = event.end,
                    _ => forwarded.push(event),
                },
                Ok(false) => {}
                Err(error) => {
                    self.error = Some(error);
                    return extract(&received, &forwarded, is_kept);
                }
            }
        }
        let rest = &received[start..];
        let kept = if rest.len() > MAX_EVENT_BYTES { Err(too_long(rest.len())) } else { self.buffer.append(rest) };
        self.error = kept.err().map(SequenceError::TooLong);
        self.scanned = rest.len();
        extract(&received, &forwarded, is_kept)
    }

    /// Adds received bytes to the incomplete event; returns all if an event may be complete with them.
    fn join(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, TooLong> {
        if self.buffer.is_empty() {
            return Ok(Some(bytes.clone()));
        }
        self.buffer.append(bytes)?;
        let from = self.scanned.saturating_sub(3);
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

    /// Returns whether to forward the event. An event without a number may be anything, so that a stream can't be
    /// resumed with one: it may be the text of an error.
    fn check(&mut self, event: &[u8]) -> Result<bool, SequenceError> {
        let Some(number) = event_number(event)? else {
            if is_comment(event) {
                return Ok(true);
            }
            if self.resumed && !self.begun {
                return Err(SequenceError::Malformed);
            }
            self.begun = true;
            self.forwarded += 1;
            return Ok(true);
        };
        match self.last {
            Some(last) if number <= last => {
                self.repeated += 1;
                self.repeats_last |= number == last && self.resumed && !self.begun;
                Ok(false)
            }
            Some(last) if number > last + 1 => Err(SequenceError::Gap),
            _ => {
                self.resume_point = self.last.or(Some(number));
                self.last = Some(number);
                self.begun = true;
                self.forwarded += 1;
                Ok(true)
            }
        }
    }
}

/// Returns the end of the first event in `bytes`.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    // What follows the first end is searched for the next event.
    let before = &bytes[..lf_end.unwrap_or(bytes.len())];
    let crlf_end = before.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    crlf_end.or(lf_end)
}

/// Copies parts of received bytes, so that they do not hold the connection's whole buffer. One part of bytes that count as
/// kept (`is_kept`) is not copied.
fn extract(received: &Bytes, parts: &[Range<usize>], is_kept: bool) -> Bytes {
    if let ([part], true) = (parts, is_kept) {
        return received.slice(part.clone());
    }
    let mut out = BytesMut::with_capacity(parts.iter().map(ExactSizeIterator::len).sum());
    for part in parts {
        out.extend_from_slice(&received[part.clone()]);
    }
    out.freeze()
}

fn too_long(bytes: usize) -> TooLong {
    TooLong { bytes, limit: MemoryLimit::Response }
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
