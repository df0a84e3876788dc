//! The body of a stream that is passed through: whole events, from one server after another where allowed.
//!
//! It is polled by the caller's connection and reads on only as the caller takes what it has.
//! Dropping it closes the connection to the server, which ends the run there.

use std::{
    future::Future,
    mem,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use log::info;
use parking_lot::Mutex;
use tokio::time::{Sleep, sleep_until};
use volo_http::error::BoxError;

use super::{
    numbered_events::EventSequence,
    outcome::{MigratedRun, OpenStream, ProxyResponse},
    proxy::ProxyCall,
    refusal::Refusal,
};
use crate::{
    connection::BackendConnection,
    process::{AttemptOutcome, ReplicaGuard},
    version::Sample,
};

struct Source {
    call: Box<ProxyCall>,
    order: EventSequence,
    body: Incoming,
    link: BackendConnection,
    guard: ReplicaGuard,
    head: HeaderMap,
    /// The move to another server, once it has been asked for.
    moving: Moving,
    /// Why the stream cannot go on, once what came before has been passed on.
    fault: Option<&'static str>,
}

/// Whether a stream is moved because its server is leaving.
enum Moving {
    /// It is not.
    No,
    /// The move has been asked for. The lock is never waited for; it makes the state `Sync`.
    Asked(Mutex<BoxFuture<'static, Result<MigratedRun, String>>>),
    /// The run has stopped, and its memory is at another server.
    Done(MigratedRun),
    /// The run could not be moved and goes on where it is.
    Failed,
}

type Resumed = (Box<ProxyCall>, EventSequence, Result<ProxyResponse, Refusal>);
type Resuming = Pin<Box<dyn Future<Output = Resumed> + Send>>;

enum State {
    /// A server's events are passed on.
    Streaming(Box<Source>),
    /// Another server is asked to go on. The lock is never waited for; it makes the state `Sync`.
    Resuming(Mutex<Resuming>),
    /// The answer has ended.
    Ended,
}

/// The body of a stream that is passed through.
pub(crate) struct ProxyBody {
    state: State,
    first: Bytes,
    timer: Pin<Box<Sleep>>,
    heard: Instant,
}

impl ProxyBody {
    /// Passes on a stream that has begun with the events in `first`.
    pub fn new(
        call: ProxyCall,
        order: EventSequence,
        body: Incoming,
        link: BackendConnection,
        guard: ReplicaGuard,
        first: Bytes,
        head: HeaderMap,
    ) -> Self {
        let heard = Instant::now();
        let timer = Box::pin(sleep_until((heard + call.idle_timeout()).into()));
        let source = Source { call: Box::new(call), order, body, link, guard, head, moving: Moving::No, fault: None };
        Self { state: State::Streaming(Box::new(source)), first, timer, heard }
    }

    /// Asks another server to go on, if that is allowed.
    ///
    /// # Errors
    /// Gives the error that breaks the answer off.
    fn resume(&mut self, cause: &'static str) -> Result<(), BoxError> {
        let State::Streaming(source) = mem::replace(&mut self.state, State::Ended) else { return Ok(()) };
        let Source { mut call, mut order, guard, link, body, moving, .. } = *source;
        // The old run must have ended before another goes on.
        drop((link, body));
        if let Moving::Done(moved) = moving {
            call.gateway.shared.metrics.resumed.with_label_values(&["import"]).inc();
            order.restart();
            let resuming = async move {
                drop(guard);
                let answer = call.resume_migrated(moved, &mut order).await;
                (call, order, answer)
            };
            self.state = State::Resuming(Mutex::new(Box::pin(resuming)));
            return Ok(());
        }
        let metrics = &call.gateway.shared.metrics;
        let resumes = call.time_left().as_millis();
        let (id, instance) = (call.metadata.id.clone(), guard.replica().id.clone());
        let last = order.last();
        metrics.dropped.with_label_values(&[cause]).inc();
        let allowed = call.may_resume(cause);
        info!(
            "event=stream-broken id={id} instance={instance} cause={cause} last={last:?} left_ms={resumes} resume={allowed}"
        );
        if !allowed {
            call.gateway.shared.metrics.cut_answers.inc();
            call.observe(&guard, Sample::Failed);
            call.judge(&guard, AttemptOutcome::Failure);
            return Err(format!("the stream broke off: {cause}").into());
        }
        order.restart();
        let resuming = async move {
            call.record_stream_failure(&guard, cause).await;
            drop(guard);
            let answer = call.attempts(&mut order).await;
            (call, order, answer)
        };
        self.state = State::Resuming(Mutex::new(Box::pin(resuming)));
        Ok(())
    }

    fn resumed(&mut self, (call, order, answer): Resumed) -> Result<(), BoxError> {
        let metrics = &call.gateway.shared.metrics;
        let refusal = match answer {
            Ok(ProxyResponse::Stream(open)) => {
                metrics.resumed.with_label_values(&["recompute"]).inc();
                let OpenStream { head, body, link, guard, first } = *open;
                self.first = first;
                self.heard = Instant::now();
                self.timer.as_mut().reset((self.heard + call.idle_timeout()).into());
                let head = head.headers;
                self.state = State::Streaming(Box::new(Source {
                    call,
                    order,
                    body,
                    link,
                    guard,
                    head,
                    moving: Moving::No,
                    fault: None,
                }));
                return Ok(());
            }
            Ok(ProxyResponse::Buffered(_)) => "another server refused to go on".to_owned(),
            Err(refusal) => refusal.message,
        };
        metrics.cut_answers.inc();
        info!("event=stream-given-up id={} last={:?} cause={refusal:?}", call.metadata.id, order.last());
        Err(refusal.into())
    }

    /// Ends an answer of which the last event has been passed on.
    fn finish(&mut self) {
        let State::Streaming(source) = mem::replace(&mut self.state, State::Ended) else { return };
        let Source { call, order, link, guard, head, .. } = *source;
        if order.repeated() > 0 {
            call.gateway.shared.metrics.dropped.with_label_values(&["repeated"]).inc_by(order.repeated());
        }
        call.judge(&guard, AttemptOutcome::Success);
        link.release(&head);
    }

    /// Whether the stream has been silent for too long or its time is over.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> bool {
        let State::Streaming(source) = &self.state else { return false };
        while self.timer.as_mut().poll(context).is_ready() {
            let due = self.heard + source.call.idle_timeout();
            if source.call.time_left().is_zero() || Instant::now() >= due {
                return true;
            }
            self.timer.as_mut().reset(due.into());
        }
        false
    }

    /// Has the run moved when its server is about to be gone.
    fn poll_move(&mut self, context: &mut Context<'_>) {
        let State::Streaming(source) = &mut self.state else { return };
        let replica = source.guard.replica();
        if matches!(source.moving, Moving::No) && replica.must_migrate(source.call.gateway.shared.now()) {
            source.moving = Moving::Asked(Mutex::new(source.call.migrate(&source.guard)));
        }
        let Moving::Asked(asked) = &mut source.moving else { return };
        let Poll::Ready(result) = asked.get_mut().as_mut().poll(context) else { return };
        source.moving = match result {
            Ok(moved) => Moving::Done(moved),
            Err(error) => {
                info!("event=move-failed id={} error={error:?}", source.call.metadata.id);
                Moving::Failed
            }
        };
    }

    /// Whether the stream has ended while its move has not been answered.
    fn is_moving(&self) -> bool {
        matches!(&self.state, State::Streaming(source) if matches!(source.moving, Moving::Asked(_)))
    }

    /// Takes what the server has sent, and waits for a move that is under way when the stream has ended.
    fn poll_passing(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, &'static str>> {
        self.poll_move(context);
        let taken = self.poll_source(context);
        let State::Streaming(source) = &mut self.state else { return taken };
        let Poll::Ready(Err(cause)) = taken else { return taken };
        // The end of a stopped run may come before the answer to the move.
        source.fault = Some(cause);
        if self.is_moving() { Poll::Pending } else { Poll::Ready(Err(cause)) }
    }

    /// Takes what the server has sent; gives events to pass on.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, &'static str>> {
        let State::Streaming(source) = &mut self.state else { return Poll::Ready(Ok(None)) };
        if let Some(fault) = source.fault {
            return Poll::Ready(Err(fault));
        }
        let data = match Pin::new(&mut source.body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) if source.order.is_partial() => return Poll::Ready(Err("cut")),
            Poll::Ready(None) => return Poll::Ready(Ok(None)),
            Poll::Ready(Some(Err(_))) => return Poll::Ready(Err("cut")),
            Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        self.heard = Instant::now();
        let (events, disorder) = source.order.read(&data);
        source.fault = disorder.map(|_| "disorder");
        Poll::Ready(Ok(Some(events)))
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        loop {
            if !self.first.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(mem::take(&mut self.first)))));
            }
            let broken = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    let resumed = ready!(resuming.get_mut().as_mut().poll(context));
                    if let Err(error) = self.resumed(resumed) {
                        return Poll::Ready(Some(Err(error)));
                    }
                    continue;
                }
                State::Streaming(_) => match self.poll_passing(context) {
                    Poll::Ready(Ok(None)) => {
                        self.finish();
                        continue;
                    }
                    Poll::Ready(Ok(Some(events))) => {
                        self.first = events;
                        continue;
                    }
                    Poll::Ready(Err(cause)) => cause,
                    Poll::Pending if self.poll_timer(context) => "silent",
                    Poll::Pending => return Poll::Pending,
                },
            };
            if let Err(error) = self.resume(broken) {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}
