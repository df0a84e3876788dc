//! The memory for the bodies of callers' requests, shared by all that read them.

use std::{pin::Pin, sync::Arc};

use bytes::Bytes;
use http_body::Body;
use log::warn;
use prometheus::{IntCounterVec, IntGauge};

use super::{
    buffer::{ReadError, TooLong},
    memory::{ResponseMemory, read_up_to},
};

/// The memory for the bodies of callers' requests. They count until the last reference to them is dropped, so also while
/// they are kept for another attempt.
///
/// The rules are those for responses, but any caller may have all of the memory: many sites have a single account.
pub(crate) struct RequestBodies {
    memory: ResponseMemory,
    callers: Arc<str>,
}

impl RequestBodies {
    /// Creates a memory for `limit` bytes.
    pub fn new(limit: usize, kept: IntGauge, given_up: IntCounterVec) -> Self {
        let memory = ResponseMemory::undivided(limit);
        memory.measure(kept, given_up);
        Self { memory, callers: "callers".into() }
    }

    /// The most that one body can hold.
    pub fn largest(&self) -> usize {
        self.memory.largest()
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// Fails if the body breaks off, has more than `limit` bytes, or gives way to the bodies of other requests.
    pub async fn collect<B: Body<Data = Bytes>>(&self, body: B, limit: usize) -> Result<Bytes, ReadError> {
        self.memory.collect_shared(body, &self.callers, limit).await
    }

    /// Reads the first `enough` bytes of a body and what comes along with them. Returns whether the body has ended.
    ///
    /// # Errors
    /// Fails if the body breaks off, or gives way to the bodies of other requests.
    pub async fn collect_start<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        enough: usize,
    ) -> Result<(Bytes, bool), ReadError> {
        let mut buffer = self.memory.buffer(&self.callers, self.largest());
        let has_ended = read_up_to(enough, Pin::new(body), &mut buffer).await?;
        Ok((buffer.take()?, has_ended))
    }

    /// Counts a body that was given up for want of memory, and logs it, at most once a second.
    pub fn record_given_up(&self, id: &str, error: &TooLong) {
        if let Some(others) = self.memory.count_too_long(&self.callers, "body", error) {
            warn!("event=body-given-up id={id} bytes={} others={others}", error.bytes);
        }
    }
}

#[cfg(test)]
#[path = "request_bodies_test.rs"]
mod request_bodies_test;
