//! The response body of a proxied stream, which resumes the stream at another server where the route allows it.
//!
//! Only complete events are forwarded. The body is polled by the caller's connection and reads on only when the
//! caller has taken what was read. Dropping it closes the connection to the server, which ends the run there.

use std::{
    future::Future,
    mem,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use log::info;
use parking_lot::Mutex;
use tokio::time::{Sleep, sleep_until};
use volo_http::error::BoxError;

use super::{
    fallback::{SEARCH_INTERVAL, Search},
    migration::{LEAVING_CHECK_INTERVAL, Migration},
    numbered_events::{EventSequence, SequenceError},
    proxy::ProxyCall,
    proxy_outcome::{ProxyResponse, ProxyStream},
    silent_stream::{Continuation, OpenStream, SilentStream},
};
use crate::{
    connection::BackendConnection,
    process::{AttemptOutcome, ReplicaGuard},
};

struct StreamSource {
    call: Box<ProxyCall>,
    sequence: EventSequence,
    open: OpenStream,
    guard: ReplicaGuard,
    /// Why the stream cannot continue once the events before the error have been forwarded.
    error_cause: Option<&'static str>,
    /// Search for another server while this one is silent. The mutex is never contended; it makes the state `Sync`.
    search: Option<Mutex<Search>>,
}

type Resumed = (Box<ProxyCall>, Continuation);
type Resuming = Pin<Box<dyn Future<Output = Resumed> + Send>>;

enum State {
    /// Events of a server are forwarded.
    Streaming(Box<StreamSource>),
    /// The stream is being resumed at another server. The mutex is never contended; it makes the state `Sync`.
    Resuming(Mutex<Resuming>),
    /// The response has ended.
    Ended,
}

impl State {
    fn streaming(call: Box<ProxyCall>, sequence: EventSequence, open: OpenStream, guard: ReplicaGuard) -> Self {
        Self::Streaming(Box::new(StreamSource { call, sequence, open, guard, error_cause: None, search: None }))
    }

    fn resuming(resuming: impl Future<Output = Resumed> + Send + 'static) -> Self {
        Self::Resuming(Mutex::new(Box::pin(resuming)))
    }
}

/// The response body of a proxied stream.
pub(crate) struct ProxyBody {
    state: State,
    pending_events: Bytes,
    timer: Pin<Box<Sleep>>,
    last_event_at: Instant,
    /// No search for another server starts before this time.
    search_at: Instant,
}

impl ProxyBody {
    /// Creates a body that sends `pending_events` and then the rest of the stream.
    pub fn new(
        call: ProxyCall,
        sequence: EventSequence,
        body: Incoming,
        connection: BackendConnection,
        guard: ReplicaGuard,
        pending_events: Bytes,
        head: HeaderMap,
    ) -> Self {
        let last_event_at = Instant::now();
        let timer = Box::pin(sleep_until((last_event_at + LEAVING_CHECK_INTERVAL).into()));
        let open = OpenStream { body, connection, head };
        let state = State::streaming(Box::new(call), sequence, open, guard);
        Self { state, pending_events, timer, last_event_at, search_at: last_event_at }
    }

    /// Starts to resume the stream at another server, if that is allowed.
    ///
    /// # Errors
    /// Returns the error that aborts the response.
    fn resume(&mut self, cause: &'static str) -> Result<(), BoxError> {
        let State::Streaming(source) = mem::replace(&mut self.state, State::Ended) else { return Ok(()) };
        let StreamSource { mut call, mut sequence, open, guard, .. } = *source;
        if let Some(fallback) = call.fallback.take() {
            let silent = SilentStream::new(sequence, open);
            self.state = State::resuming(async move {
                let continuation = silent.go_on(&mut call, guard, fallback).await;
                (call, continuation)
            });
            return Ok(());
        }
        let via = open.connection.via().cloned();
        // Closing the connection ends the old run.
        drop(open);
        if let Migration::Done(migrated) = mem::take(&mut call.migration) {
            self.state = State::resuming(async move {
                let response = call.resume_migrated(migrated, guard, &mut sequence).await;
                (call, Continuation::Elsewhere(sequence, response))
            });
            return Ok(());
        }
        let metrics = &call.gateway.shared.metrics;
        let left_ms = call.time_left().as_millis();
        let (id, instance) = (call.metadata.id.clone(), guard.replica().id.clone());
        let last = sequence.last();
        metrics.dropped.with_label_values(&[cause]).inc();
        let allowed = call.may_resume(cause);
        info!(
            "event=stream-broken id={id} instance={instance} via={} cause={cause} last={last:?} left_ms={left_ms} resume={allowed}",
            via.as_deref().unwrap_or("-")
        );
        if !allowed {
            call.gateway.shared.metrics.cut_answers.inc();
            call.record_failure(&guard, cause);
            let broken = call.broken_answer(format!("the stream broke off: {cause}"));
            // The caller does not wait for the look at the server.
            tokio::spawn(async move { call.record_break(&guard, cause).await });
            return Err(broken.into());
        }
        sequence.restart();
        self.state = State::resuming(async move {
            call.record_stream_failure(&guard, cause).await;
            drop(guard);
            let response = call.attempts(&mut sequence).await;
            (call, Continuation::Elsewhere(sequence, response))
        });
        Ok(())
    }

    fn finish_resume(&mut self, (call, continuation): Resumed) -> Result<(), BoxError> {
        let (sequence, response) = match continuation {
            Continuation::Elsewhere(sequence, response) => (sequence, response),
            Continuation::Here(sequence, open, guard, events) => {
                let now = Instant::now();
                if let Some(events) = events {
                    self.pending_events = events;
                    self.last_event_at = now;
                }
                self.search_at = now + SEARCH_INTERVAL;
                self.timer.as_mut().reset((now + LEAVING_CHECK_INTERVAL).into());
                self.state = State::streaming(call, sequence, *open, guard);
                return Ok(());
            }
        };
        let metrics = &call.gateway.shared.metrics;
        let refusal = match response {
            Ok(ProxyResponse::Stream(open)) => {
                metrics.resumed.with_label_values(&["recompute"]).inc();
                let ProxyStream { head, body, connection, guard, first } = *open;
                self.pending_events = first;
                self.last_event_at = Instant::now();
                self.timer.as_mut().reset((self.last_event_at + LEAVING_CHECK_INTERVAL).into());
                let open = OpenStream { body, connection, head: head.headers };
                self.state = State::streaming(call, sequence, open, guard);
                return Ok(());
            }
            Ok(ProxyResponse::Buffered(_)) => "another server refused to go on".to_owned(),
            Err(refusal) => refusal.message,
        };
        metrics.cut_answers.inc();
        info!("event=stream-given-up id={} last={:?} cause={refusal:?}", call.metadata.id, sequence.last());
        Err(call.broken_answer(refusal).into())
    }

    /// Ends a response whose last event has been forwarded.
    fn finish(&mut self) {
        let State::Streaming(source) = mem::replace(&mut self.state, State::Ended) else { return };
        let StreamSource { call, sequence, open, guard, .. } = *source;
        if sequence.repeated() > 0 {
            call.gateway.shared.metrics.dropped.with_label_values(&["repeated"]).inc_by(sequence.repeated());
        }
        call.record_outcome(&guard, AttemptOutcome::Success);
        call.window.record_run(call.run_started);
        call.record_answer();
        open.connection.release(&open.head);
    }

    /// Whether the silent server is given up: the stream can go on elsewhere, or the request's deadline has passed.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            let State::Streaming(source) = &mut self.state else { return false };
            if let Some(search) = &mut source.search
                && let Poll::Ready(found) = search.get_mut().as_mut().poll(context)
            {
                source.search = None;
                let StreamSource { call, guard, .. } = &mut **source;
                if found.is_some_and(|fallback| call.accept_fallback(fallback, guard, self.last_event_at)) {
                    return true;
                }
            }
            if self.timer.as_mut().poll(context).is_pending() {
                return false;
            }
            let now = Instant::now();
            // As long as time is left, a silent server may still end the stream in it.
            let idle_timeout = source.call.idle_timeout().unwrap_or_else(|| source.call.time_left());
            let due = (self.last_event_at + idle_timeout).max(self.search_at);
            // A run that has been migrated goes on at its new server.
            if source.call.time_to_deadline().is_zero()
                || (now >= due && matches!(source.call.migration, Migration::Done(_)))
            {
                return true;
            }
            let wake_at = if now < due {
                due
            } else {
                if source.search.is_none() {
                    source.search = source.call.search_fallback(&source.guard, self.last_event_at).map(Mutex::new);
                }
                self.search_at = now + SEARCH_INTERVAL;
                self.search_at
            };
            let latest = now + source.call.time_to_deadline().min(LEAVING_CHECK_INTERVAL);
            self.timer.as_mut().reset(wake_at.min(latest).into());
        }
    }

    /// Requests the migration of the run when its server is about to terminate, and polls for the result.
    fn poll_migration(&mut self, context: &mut Context<'_>) {
        let State::Streaming(source) = &mut self.state else { return };
        source.call.request_migration(&source.guard);
        let _ = source.call.poll_migration(context);
    }

    /// Whether a migration has been requested and not answered.
    fn is_migrating(&self) -> bool {
        matches!(&self.state, State::Streaming(source) if matches!(source.call.migration, Migration::Pending(_)))
    }

    /// Reads from the server; if the stream fails during a migration, waits for its result.
    fn poll_stream(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, &'static str>> {
        self.poll_migration(context);
        let result = self.poll_source(context);
        let State::Streaming(source) = &mut self.state else { return result };
        let Poll::Ready(Err(cause)) = result else { return result };
        // The stream of the stopped run may end before the migration is answered.
        source.error_cause = Some(cause);
        if self.is_migrating() { Poll::Pending } else { Poll::Ready(Err(cause)) }
    }

    /// Reads from the server and returns the events to forward.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, &'static str>> {
        let State::Streaming(source) = &mut self.state else { return Poll::Ready(Ok(None)) };
        if let Some(error_cause) = source.error_cause {
            return Poll::Ready(Err(error_cause));
        }
        let too_long = match (source.sequence.error(), source.sequence.poll_given_up(context)) {
            (Some(SequenceError::TooLong(error)), _) | (None, Poll::Ready(error)) => Some(error),
            (Some(_), _) => return Poll::Ready(Err("disorder")),
            (None, Poll::Pending) => None,
        };
        if let Some(error) = too_long {
            let cause = source.call.record_too_long(&source.guard, "event", &error);
            source.error_cause = Some(cause);
            return Poll::Ready(Err(cause));
        }
        let data = match Pin::new(&mut source.open.body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) if source.sequence.is_partial() => return Poll::Ready(Err("cut")),
            Poll::Ready(None) => return Poll::Ready(Ok(None)),
            Poll::Ready(Some(Err(_))) => return Poll::Ready(Err("cut")),
            Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        let before = source.sequence.forwarded();
        let events = source.sequence.read(&data);
        if source.sequence.forwarded() > before {
            self.last_event_at = Instant::now();
            source.search = None;
        }
        Poll::Ready(Ok(Some(events)))
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        loop {
            if !self.pending_events.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(mem::take(&mut self.pending_events)))));
            }
            let last_event_at = self.last_event_at;
            let cause = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    let resumed = ready!(resuming.get_mut().as_mut().poll(context));
                    if let Err(error) = self.finish_resume(resumed) {
                        return Poll::Ready(Some(Err(error)));
                    }
                    continue;
                }
                State::Streaming(_) => match self.poll_stream(context) {
                    Poll::Ready(Ok(None)) => {
                        self.finish();
                        continue;
                    }
                    Poll::Ready(Ok(Some(events))) => {
                        self.pending_events = events;
                        // A server that sends only what is no part of the answer counts as silent.
                        if self.last_event_at > last_event_at || !self.poll_silence(context) {
                            continue;
                        }
                        "silent"
                    }
                    Poll::Ready(Err(cause)) => cause,
                    Poll::Pending if self.poll_silence(context) => "silent",
                    Poll::Pending => return Poll::Pending,
                },
            };
            if let Err(error) = self.resume(cause) {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}
