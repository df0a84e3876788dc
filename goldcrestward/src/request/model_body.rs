//! The body of a streamed answer: one engine's events after another's, until the answer is whole.
//!
//! It is polled by the caller's connection and reads on only as the caller takes what it has,
//! so a slow caller holds no more than one piece. Dropping it cancels the attempt.

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
    model::{IDLE_TIMEOUT, ModelCall, OpenResult, OpenedStream},
    refusal::Refusal,
};

type Reopened = (ModelCall, Result<OpenResult, Refusal>);
type Reopening = Pin<Box<dyn Future<Output = Reopened> + Send>>;

enum State {
    /// An engine's stream is passed on.
    Streaming(Box<(ModelCall, OpenedStream)>),
    /// Another engine is asked to go on. The lock is never waited for; it makes the state `Sync`.
    Reopening(Mutex<Reopening>),
    /// The answer has ended.
    Ended,
}

/// The body of a streamed answer.
pub(crate) struct ModelBody {
    state: State,
    silence: Pin<Box<Sleep>>,
    last: Instant,
}

impl ModelBody {
    /// Passes on what an attempt has begun.
    pub fn new(call: ModelCall, open: OpenedStream) -> Self {
        let state = State::Streaming(Box::new((call, open)));
        Self { state, silence: Box::pin(sleep(IDLE_TIMEOUT)), last: Instant::now() }
    }

    /// Asks another engine to go on.
    fn reopen(&mut self, failure: Failure) {
        let State::Streaming(parts) = mem::replace(&mut self.state, State::Ended) else { return };
        let (mut call, OpenedStream { guard, reader, .. }) = *parts;
        let next = reader.next_token();
        let reopening = async move {
            let result = call.reopen(&guard, failure, next).await;
            (call, result)
        };
        self.state = State::Reopening(Mutex::new(Box::pin(reopening)));
    }

    fn reopened(&mut self, (call, result): Reopened) -> Option<BoxError> {
        let message = match result {
            Ok(OpenResult::Started(open)) => {
                self.last = Instant::now();
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
        call.end("cut");
        self.state = State::Ended;
        Some(message.into())
    }

    /// Takes a piece of the engine's stream; gives what to pass on.
    fn take(&mut self, data: &Bytes) -> Bytes {
        let State::Streaming(parts) = &mut self.state else { return Bytes::new() };
        let (call, open) = &mut **parts;
        let before = open.reader.next_token();
        let (out, broken) = open.reader.read(data);
        let tokens = open.reader.next_token() - before;
        if tokens > 0 {
            let now = Instant::now();
            call.shared().metrics.between_tokens.observe((now - self.last).as_secs_f64());
            call.passed(tokens);
            self.last = now;
        }
        if let Some(broken) = broken {
            call.count_stream_error(broken);
            self.reopen(Failure::WrongResponse);
        } else if open.guard.replica().is_leaving() && !open.reader.is_whole() {
            self.reopen(Failure::Leaving);
        }
        out
    }

    fn finish(&mut self) {
        let State::Streaming(parts) = mem::replace(&mut self.state, State::Ended) else { return };
        let (call, open) = *parts;
        let repeated = open.reader.repeated();
        if repeated > 0 {
            call.shared().metrics.dropped.with_label_values(&["repeated"]).inc_by(repeated);
        }
        call.succeeded(&open.guard);
        call.end("whole");
    }

    /// Whether nothing has come for too long. The timer is set anew only when it fires, not for each piece.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> bool {
        while self.silence.as_mut().poll(context).is_ready() {
            let quiet = self.last.elapsed();
            if quiet >= IDLE_TIMEOUT {
                return true;
            }
            self.silence.as_mut().reset((Instant::now() + (IDLE_TIMEOUT - quiet)).into());
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
                    if let Some(error) = self.reopened(reopened) {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                State::Streaming(parts) => {
                    let open = &mut parts.1;
                    if !open.first.is_empty() {
                        let first = mem::take(&mut open.first);
                        return Poll::Ready(Some(Ok(Frame::data(first))));
                    }
                    if open.reader.is_whole() {
                        self.finish();
                        continue;
                    }
                    let data = match Pin::new(&mut open.body).poll_frame(context) {
                        Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                        Poll::Ready(None | Some(Err(_))) => {
                            self.reopen(Failure::Disconnected);
                            continue;
                        }
                        Poll::Pending if self.poll_silence(context) => {
                            self.reopen(Failure::TimedOut);
                            continue;
                        }
                        Poll::Pending => return Poll::Pending,
                    };
                    let out = self.take(&data);
                    if !out.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(out))));
                    }
                }
            }
        }
    }
}

impl Drop for ModelBody {
    fn drop(&mut self) {
        if let State::Streaming(parts) = &self.state {
            parts.0.end("hung-up");
        }
    }
}
