//! A second server for a request whose server is silent. The silent one may be sound and go on a moment later, so it is
//! kept until the other one has begun to answer: whichever does so first has the request.

use std::{
    future::{Future, poll_fn},
    mem,
    pin::pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use log::info;
use tokio::time::sleep;

use super::{
    fallback::Fallback,
    numbered_events::EventSequence,
    proxy::ProxyCall,
    proxy_outcome::{ExchangeResult, ProxyFailure, ProxyResponse},
};
use crate::process::ReplicaGuard;

/// Longest time for which a stream has two servers. 400 ms after it has gone on at another one, the server before must
/// not be at work on it, and the close of its connection takes a moment to get there.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// What is awaited of a server that may be silent.
pub(super) trait Awaited {
    type Output;

    /// Becomes ready when the server has gone on or broken off.
    fn poll_output(&mut self, context: &mut Context<'_>) -> Poll<Self::Output>;

    /// Why an output is of no use, if another server has been asked.
    fn failure(output: &Self::Output) -> Option<&'static str>;

    /// Closes the connection, which ends the run.
    fn close(&mut self);
}

/// Which server has the request.
pub(super) enum Takeover<T> {
    /// The silent one, which has gone on.
    Resumed(T),
    /// The silent one, since whenever, as the other one does not serve the request.
    Returned(Instant),
    /// The other one; the connection to the silent one has been closed.
    TakenOver { instance: Arc<str>, result: Result<ProxyResponse, ProxyFailure> },
}

/// What waiting for a server has led to.
pub(super) enum Waited<T> {
    Output(T),
    /// Another server has the request.
    TakenOver(Box<Result<ExchangeResult, ProxyFailure>>),
    /// The request's time is over, or its run has been migrated.
    Ended,
}

impl ProxyCall {
    /// Waits for a server, and asks another one beside it once it has been silent for the idle timeout; `sequence` is that
    /// one's.
    pub(super) async fn wait_or_take_over<A: Awaited + Send>(
        &mut self,
        guard: &ReplicaGuard,
        awaited: &mut A,
        sequence: &mut EventSequence,
    ) -> Waited<A::Output> {
        loop {
            let output = self.wait_or_migrate(guard, poll_fn(|context| awaited.poll_output(context))).await;
            if let Some(output) = output {
                return Waited::Output(output);
            }
            let Some(fallback) = self.fallback.take() else { return Waited::Ended };
            match self.take_over(guard, awaited, fallback, sequence).await {
                Takeover::Resumed(output) => return Waited::Output(output),
                Takeover::Returned(since) => self.silent_since = Some(since),
                Takeover::TakenOver { instance, result } => {
                    let failed = |failure| ProxyFailure::TakenOver(Box::new((instance, failure)));
                    let result = result.map(ExchangeResult::Elsewhere).map_err(failed);
                    return Waited::TakenOver(Box::new(result));
                }
            }
        }
    }

    /// Sends the request to another server, while the silent one is awaited as before.
    pub(super) async fn take_over<A: Awaited + Send>(
        &mut self,
        silent: &ReplicaGuard,
        awaited: &mut A,
        fallback: Fallback,
        sequence: &mut EventSequence,
    ) -> Takeover<A::Output> {
        let Fallback { guard, connection, since } = fallback;
        let (left, instance) = (silent.replica().id.clone(), guard.replica().id.clone());
        let (migration, kv_cache) = (mem::take(&mut self.migration), self.kv_cache.take());
        let (via, label, run_started) = (self.via.clone(), self.connection_label.clone(), self.run_started);
        self.connection = Some(connection);
        self.is_second = true;
        self.retry_cause = Some("silent");
        self.tried.push(left.clone());
        sequence.restart();
        let started = Instant::now();
        let limit = if self.route.kind.is_stream() { MAX_OVERLAP } else { self.time_left() };
        let mut given_up = None;
        let first = {
            let mut attempt = self.attempt_elsewhere(guard, sequence);
            let mut overlap = pin!(sleep(limit));
            poll_fn(|context| {
                if given_up.is_none()
                    && let Poll::Ready(output) = awaited.poll_output(context)
                {
                    given_up = A::failure(&output);
                    if given_up.is_none() {
                        return Poll::Ready(Ok(output));
                    }
                    awaited.close();
                }
                if let Poll::Ready(result) = attempt.as_mut().poll(context) {
                    return Poll::Ready(Err(result));
                }
                if given_up.is_none() && overlap.as_mut().poll(context).is_ready() {
                    awaited.close();
                    given_up = Some("silent");
                }
                Poll::Pending
            })
            .await
        };
        self.is_second = false;
        let id = self.metadata.id.clone();
        let is_kept = given_up.is_none() && !self.time_left().is_zero();
        let takeover = match first {
            Ok(output) => {
                let silent_ms = since.elapsed().as_millis();
                info!("event=silent-server-resumed id={id} instance={left} silent_ms={silent_ms} to={instance}");
                Takeover::Resumed(output)
            }
            Err(result) if is_kept && self.is_unused(&result) => {
                self.record_unused(instance, result);
                Takeover::Returned(since)
            }
            Err(result) => {
                awaited.close();
                let cause = given_up.unwrap_or("silent");
                let (silent_ms, asked_ms) = (since.elapsed().as_millis(), started.elapsed().as_millis());
                let begun = result.is_ok();
                info!(
                    "event=server-given-up id={id} instance={left} cause={cause} silent_ms={silent_ms} to={instance} asked_ms={asked_ms} begun={begun}"
                );
                let via = mem::replace(&mut self.via, via);
                self.record_left(silent, cause, run_started).await;
                self.via = via;
                self.silent = Some(left);
                return Takeover::TakenOver { instance, result };
            }
        };
        self.tried.retain(|tried| *tried != left);
        (self.migration, self.kv_cache, self.run_started) = (migration, kv_cache, run_started);
        (self.via, self.connection_label, self.retry_cause) = (via, label, None);
        if let Some(unused) = self.connection.take().filter(|connection| connection.is_unused()) {
            unused.keep();
        }
        takeover
    }

    fn attempt_elsewhere<'a>(
        &'a mut self,
        guard: ReplicaGuard,
        sequence: &'a mut EventSequence,
    ) -> BoxFuture<'a, Result<ProxyResponse, ProxyFailure>> {
        Box::pin(self.attempt_in_time(guard, sequence))
    }

    /// Whether the other server's result leaves the request to the silent one.
    fn is_unused(&self, result: &Result<ProxyResponse, ProxyFailure>) -> bool {
        match result {
            Ok(ProxyResponse::Buffered(_)) => self.is_answering,
            Ok(ProxyResponse::Stream(_)) | Err(ProxyFailure::Stopped | ProxyFailure::Migrated(_)) => false,
            Err(_) => true,
        }
    }

    fn record_unused(&mut self, instance: Arc<str>, result: Result<ProxyResponse, ProxyFailure>) {
        let failure = result.err().unwrap_or(ProxyFailure::Indeterminate("no-stream"));
        let (instance, failure) = failure.locate(instance);
        let (id, label, sends) = (&self.metadata.id, failure.label(), self.sends.servers());
        let connection = &self.connection_label;
        info!("event=attempt-failed id={id} instance={instance} cause={label} sends={sends} repeat=false {connection}");
        self.record_unserved(&failure);
        self.exclude(instance, &failure);
        if let ProxyFailure::ErrorResponse(answer) = failure
            && !self.is_answering
        {
            self.held = Some(answer);
        }
    }
}
