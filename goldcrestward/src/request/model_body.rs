//! The response body of a model stream, which reopens the stream at another engine until it is complete.
//!
//! The body is polled by the caller's connection and reads the next chunk only when the previous one has been
//! sent, so that a slow caller buffers at most one chunk. Dropping the body cancels the attempt.

use std::{
    future::Future,
    mem,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame};
use parking_lot::Mutex;
use tokio::time::{Sleep, sleep};
use volo_http::error::BoxError;

use super::{
    attempt::Failure,
    migration::LEAVING_CHECK_INTERVAL,
    model::{IDLE_TIMEOUT, ModelCall, ModelStream, OpenResult},
    refusal::Refusal,
    token_events::StreamError,
};

type Reopened = (ModelCall, Result<OpenResult, Refusal>);
type Reopening = Pin<Box<dyn Future<Output = Reopened> + Send>>;

enum State {
    /// Events of an engine are forwarded.
    Streaming(Box<(ModelCall, ModelStream)>),
    /// The stream is being reopened at another engine. The mutex is never contended; it makes the state `Sync`.
    Reopening(Mutex<Reopening>),
    /// The response has ended.
    Ended,
}

/// The response body of a model stream.
pub(crate) struct ModelBody {
    state: State,
    idle_timer: Pin<Box<Sleep>>,
    last_token_at: Instant,
    last_event_at: Instant,
}

impl ModelBody {
    /// Creates a body that forwards the stream that `call` has opened.
    pub fn new(call: ModelCall, open: ModelStream) -> Self {
        let state = State::Streaming(Box::new((call, open)));
        let now = Instant::now();
        Self { state, idle_timer: Box::pin(sleep(LEAVING_CHECK_INTERVAL)), last_token_at: now, last_event_at: now }
    }

    /// Starts to reopen the stream at another engine.
    fn reopen(&mut self, failure: Failure) {
        let State::Streaming(parts) = mem::replace(&mut self.state, State::Ended) else { return };
        let (mut call, ModelStream { guard, reader, .. }) = *parts;
        let next = reader.next_token();
        let reopening = async move {
            let result = call.reopen(&guard, failure, next).await;
            (call, result)
        };
        self.state = State::Reopening(Mutex::new(Box::pin(reopening)));
    }

    fn finish_reopen(&mut self, (call, result): Reopened) -> Option<BoxError> {
        let message = match result {
            Ok(OpenResult::Started(open)) => {
                self.last_token_at = Instant::now();
                self.last_event_at = self.last_token_at;
                self.state = State::Streaming(Box::new((call, *open)));
                return None;
            }
            Ok(OpenResult::Refused(_)) => "a back end refused to resume".to_owned(),
            Err(refusal) => {
                call.shared().count_refusal(&refusal);
                refusal.message
            }
        };
        call.shared().metrics.cut_answers.inc();
        call.count_end("cut");
        self.state = State::Ended;
        Some(message.into())
    }

    /// Parses a chunk of the engine's stream and returns the events to forward.
    fn forward(&mut self, data: &Bytes) -> Bytes {
        let State::Streaming(parts) = &mut self.state else { return Bytes::new() };
        let (call, open) = &mut **parts;
        let before = open.reader.next_token();
        let out = open.reader.read(data);
        let tokens = open.reader.next_token() - before;
        if tokens > 0 {
            let now = Instant::now();
            call.shared().metrics.between_tokens.observe((now - self.last_token_at).as_secs_f64());
            call.count_tokens(tokens);
            self.last_token_at = now;
        }
        if !out.is_empty() {
            self.last_event_at = Instant::now();
        }
        if self.must_migrate() {
            self.reopen(Failure::Leaving);
        }
        out
    }

    fn must_migrate(&self) -> bool {
        let State::Streaming(parts) = &self.state else { return false };
        let (call, open) = &**parts;
        open.reader.error().is_none() && !open.reader.is_done() && call.must_migrate(&open.guard)
    }

    /// Reopens the stream if its current one cannot be continued; returns whether it does.
    fn reopen_after_error(&mut self) -> bool {
        let State::Streaming(parts) = &self.state else { return false };
        let (call, open) = &**parts;
        let Some(error) = open.reader.error() else { return false };
        let failure = call.record_stream_error(&open.guard, error);
        self.reopen(failure);
        true
    }

    fn finish(&mut self) {
        let State::Streaming(parts) = mem::replace(&mut self.state, State::Ended) else { return };
        let (call, open) = *parts;
        let repeated = open.reader.repeated();
        if repeated > 0 {
            call.shared().metrics.dropped.with_label_values(&["repeated"]).inc_by(repeated);
        }
        call.record_success(&open.guard);
        call.count_end("whole");
    }

    /// Whether the engine has been idle for too long. The timer is reset when it fires rather than for each chunk, and also
    /// wakes the stream to look whether its engine is leaving.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> bool {
        while self.idle_timer.as_mut().poll(context).is_ready() {
            let idle = self.last_event_at.elapsed();
            if idle >= IDLE_TIMEOUT {
                return true;
            }
            self.idle_timer.as_mut().reset((Instant::now() + (IDLE_TIMEOUT - idle).min(LEAVING_CHECK_INTERVAL)).into());
        }
        false
    }
}

impl Body for ModelBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        loop {
            match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Reopening(reopening) => {
                    let reopened = ready!(reopening.get_mut().as_mut().poll(context));
                    if let Some(error) = self.finish_reopen(reopened) {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                State::Streaming(parts) => {
                    let open = &mut parts.1;
                    if !open.first.is_empty() {
                        let first = mem::take(&mut open.first);
                        return Poll::Ready(Some(Ok(Frame::data(first))));
                    }
                    if open.reader.is_done() {
                        self.finish();
                        continue;
                    }
                    if self.reopen_after_error() {
                        continue;
                    }
                    let State::Streaming(parts) = &mut self.state else { continue };
                    let open = &mut parts.1;
                    if let Poll::Ready(error) = open.reader.poll_given_up(context) {
                        let failure = parts.0.record_stream_error(&parts.1.guard, StreamError::TooLong(error));
                        self.reopen(failure);
                        continue;
                    }
                    let data = match Pin::new(&mut open.body).poll_frame(context) {
                        Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                        Poll::Ready(None | Some(Err(_))) => {
                            self.reopen(Failure::Disconnected);
                            continue;
                        }
                        Poll::Pending if self.poll_idle(context) => {
                            self.reopen(Failure::TimedOut);
                            continue;
                        }
                        Poll::Pending if self.must_migrate() => {
                            self.reopen(Failure::Leaving);
                            continue;
                        }
                        Poll::Pending => return Poll::Pending,
                    };
                    let out = self.forward(&data);
                    if !out.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(out))));
                    }
                    // An engine that sends only what is no part of the answer counts as idle.
                    if self.poll_idle(context) {
                        self.reopen(Failure::TimedOut);
                    }
                }
            }
        }
    }
}

impl Drop for ModelBody {
    fn drop(&mut self) {
        if let State::Streaming(parts) = &self.state {
            let is_cut = parts.0.shared().lifetime.has_ended();
            parts.0.count_end(if is_cut { "cut" } else { "hung-up" });
        }
    }
}
