//! The bodies of callers' requests, as far as they are kept.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use tokio::time::timeout;
use volo_http::body::Body;

use super::refusal::{Reason, Refusal};
use crate::process::{MemoryLimit, ReadError, Shared};

/// Time after which a caller may try again whose body did not fit in the memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a request that is being read.
pub(crate) struct CallerBody<'a> {
    pub shared: &'a Shared,
    /// The request's id.
    pub id: &'a str,
    /// Time for the caller to send what is read of it.
    pub time: Duration,
}

impl CallerBody<'_> {
    /// Reads a body of up to `limit` bytes to its end.
    pub async fn read(&self, body: Body, limit: usize) -> Result<Bytes, Refusal> {
        let bodies = &self.shared.request_bodies;
        let limit = limit.min(bodies.largest());
        self.finish(limit, bodies.collect(body, limit)).await
    }

    /// Reads the first `enough` bytes of a body and what comes along with them. Returns whether the body has ended.
    pub async fn read_start(&self, body: &mut Body, enough: usize) -> Result<(Bytes, bool), Refusal> {
        let bodies = &self.shared.request_bodies;
        self.finish(bodies.largest(), bodies.collect_start(body, enough)).await
    }

    async fn finish<T>(&self, limit: usize, reading: impl Future<Output = Result<T, ReadError>>) -> Result<T, Refusal> {
        match timeout(self.time, reading).await {
            Err(_) => Err(Refusal::not_run(Reason::BodyTimeout, "the body did not arrive in time")),
            Ok(Ok(read)) => Ok(read),
            Ok(Err(ReadError::Broken)) => Err(Refusal::not_run(Reason::BadRequest, "the body could not be read")),
            Ok(Err(ReadError::TooLong(error))) if error.limit == MemoryLimit::Response => {
                Err(Refusal::not_run(Reason::BodyTooLarge, format!("the body has more than {limit} bytes")))
            }
            Ok(Err(ReadError::TooLong(error))) => {
                self.shared.request_bodies.record_given_up(self.id, &error);
                let refusal = Refusal::not_run(Reason::NoMemory, "this daemon has no memory for the body now");
                Err(refusal.with_retry_after(NO_MEMORY_RETRY_AFTER))
            }
        }
    }
}
