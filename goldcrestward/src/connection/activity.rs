//! Tracks the requests and idle time of a caller's connection.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::Notify;
use volo_http::{body::Body, error::BoxError, response::Response};

use super::{
    limits_in_force::LimitsInForce,
    open_requests::{CallerEnd, OpenRequests},
    request_record::RequestRecord,
    running_requests::RunningRequest,
    unread_body::UnreadBody,
};

/// State of one connection: its running requests, the end of the last one, and the head being received.
pub(crate) struct Activity {
    start: Instant,
    running: AtomicUsize,
    ended_ms: AtomicU64,
    limits: Arc<LimitsInForce>,
    /// Idle time-out in ms at the last answer, or at the start of the connection.
    answer_limit_ms: AtomicU64,
    ambiguous: AtomicBool,
    /// Size of the last head in bytes.
    head_bytes: AtomicUsize,
    /// Whether part of the last request's body has not been read.
    unread: AtomicBool,
    /// Whether a response ends with the connection.
    open_ended: AtomicBool,
    /// Time in ms since `start` at which the incomplete head began, plus one; 0 if there is none.
    head_since: AtomicU64,
    head_begun: Notify,
    reads_unsignalled: AtomicBool,
    /// Whether the last answer lets its caller send another request on the connection.
    invites_next: AtomicBool,
    /// Whether the caller has closed its side.
    caller_closed: AtomicBool,
    /// Whether the HTTP library holds bytes of an answer that the kernel has not taken.
    undelivered: AtomicBool,
    delivered: AtomicWaker,
    /// Whether an answer has ended with an error.
    answer_failed: AtomicBool,
    /// Whether the connection was reset.
    was_reset: AtomicBool,
    open_requests: OpenRequests,
    /// Whether the HTTP library has all of an answer that the kernel has not taken.
    has_made: AtomicBool,
    /// Whether the caller had closed its side before the end of such an answer was written.
    is_gone: AtomicBool,
}

/// Marks a request with both a length and chunks, whose end different HTTP parsers find at different places.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AmbiguousFraming;

impl Activity {
    pub fn new(limits: Arc<LimitsInForce>) -> Arc<Self> {
        let answer_limit_ms = AtomicU64::new(limits.idle_timeout().as_millis() as u64);
        Arc::new(Self {
            start: Instant::now(),
            running: AtomicUsize::new(0),
            ended_ms: AtomicU64::new(0),
            limits,
            answer_limit_ms,
            ambiguous: AtomicBool::new(false),
            head_bytes: AtomicUsize::new(0),
            unread: AtomicBool::new(false),
            open_ended: AtomicBool::new(false),
            head_since: AtomicU64::new(0),
            head_begun: Notify::new(),
            reads_unsignalled: AtomicBool::new(false),
            invites_next: AtomicBool::new(false),
            caller_closed: AtomicBool::new(false),
            undelivered: AtomicBool::new(false),
            delivered: AtomicWaker::new(),
            answer_failed: AtomicBool::new(false),
            was_reset: AtomicBool::new(false),
            open_requests: OpenRequests::default(),
            has_made: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
        })
    }

    /// Counts a request as running until the guard is dropped, which holds `counted` as long.
    pub fn begin_request(self: &Arc<Self>, counted: Option<RunningRequest>) -> RequestGuard {
        // A head that is too long to be examined is not recognised as complete before.
        self.end_head();
        self.running.fetch_add(1, Ordering::Relaxed);
        let record = self.open_requests.begin();
        RequestGuard { activity: self.clone(), record, is_answered: false, _counted: counted }
    }

    /// The requests that have not been answered yet.
    pub(super) fn open_requests(&self) -> &OpenRequests {
        &self.open_requests
    }

    /// Whether the end of an answer is to be written, and it is not known yet that its caller has gone.
    pub(super) fn ends_answer(&self) -> bool {
        self.has_made.load(Ordering::Relaxed) && !self.is_gone.load(Ordering::Relaxed)
    }

    /// Records that the caller had closed its side before the end of an answer was written.
    pub(super) fn set_gone(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
    }

    /// Removes the requests whose answers the kernel has taken. Returns them if their caller had gone before.
    pub(super) fn end_answers(&self) -> Vec<Arc<RequestRecord>> {
        if !self.has_made.swap(false, Ordering::Relaxed) {
            return Vec::new();
        }
        let answered = self.open_requests.take_made();
        if self.is_gone.load(Ordering::Relaxed) { answered } else { Vec::new() }
    }

    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed) > 0
    }

    /// Whether a request is running, or its answer has not been written to its end.
    pub fn is_busy(&self) -> bool {
        self.is_running() || self.undelivered.load(Ordering::Relaxed)
    }

    /// Whether the connection ends without the whole of an answer: a request is running, or its answer has failed.
    pub fn lacks_answer(&self) -> bool {
        self.is_running() || self.answer_failed.load(Ordering::Relaxed)
    }

    /// Records that part of an answer is handed to the HTTP library.
    fn begin_delivery(&self) {
        self.undelivered.store(true, Ordering::Relaxed);
    }

    /// Records that the kernel has taken all that was handed to the HTTP library.
    pub fn end_delivery(&self) {
        if self.undelivered.swap(false, Ordering::Relaxed) {
            self.begin_idle();
            self.delivered.wake();
        }
    }

    /// Waits until the kernel has taken all that was handed to the HTTP library.
    fn poll_delivered(&self, context: &Context<'_>) -> Poll<()> {
        self.delivered.register(context.waker());
        if self.undelivered.load(Ordering::Relaxed) { Poll::Pending } else { Poll::Ready(()) }
    }

    fn begin_idle(&self) {
        self.ended_ms.store(self.start.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Records whether the framing of the last head is ambiguous.
    pub fn set_ambiguous(&self, ambiguous: bool) {
        self.ambiguous.store(ambiguous, Ordering::Relaxed);
    }

    /// Whether the framing of the last head is ambiguous.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Relaxed)
    }

    /// Records the size of the last head.
    pub fn set_head_bytes(&self, bytes: usize) {
        self.head_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Whether the last head exceeds the limit in force.
    pub fn is_head_too_large(&self) -> bool {
        self.head_bytes.load(Ordering::Relaxed) > self.limits.current().header_bytes
    }

    /// Tracks whether the body of a request is read to its end. What is not read is left in `rest`, unless it is `withheld` by
    /// the caller until it is asked for.
    pub fn track_body(self: &Arc<Self>, body: Incoming, withheld: bool, rest: &UnreadBody) -> RequestBody {
        self.unread.store(!body.is_end_stream(), Ordering::Relaxed);
        RequestBody { body: Some(body), withheld, activity: self.clone(), rest: rest.clone() }
    }

    /// Records that the last request's body has been read to its end.
    pub fn end_body(&self) {
        self.unread.store(false, Ordering::Relaxed);
    }

    /// Whether the last request was answered before its body had been read to the end.
    pub fn has_unread_body(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// Records that a response begins whose end is the end of the connection.
    pub fn begin_open_ended(&self) {
        self.open_ended.store(true, Ordering::Relaxed);
    }

    /// Whether the end of the response is the end of the connection.
    pub fn is_open_ended(&self) -> bool {
        self.open_ended.load(Ordering::Relaxed)
    }

    /// Records that part of a head has arrived.
    pub fn begin_head(&self) {
        let now = self.start.elapsed().as_millis() as u64 + 1;
        if self.head_since.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).is_ok() {
            self.head_begun.notify_one();
        }
    }

    /// Records that a head is complete.
    pub fn end_head(&self) {
        self.head_since.store(0, Ordering::Relaxed);
    }

    /// Whether part of a head has arrived, and the rest is awaited.
    pub fn is_receiving_head(&self) -> bool {
        !self.is_running() && self.head_since.load(Ordering::Relaxed) > 0
    }

    /// Sets whether reads ask the kernel also when no arrival has been signalled yet.
    pub fn set_reads_unsignalled(&self, reads: bool) {
        self.reads_unsignalled.store(reads, Ordering::Relaxed);
    }

    /// Whether reads ask the kernel also when no arrival has been signalled yet.
    pub fn reads_unsignalled(&self) -> bool {
        self.reads_unsignalled.load(Ordering::Relaxed)
    }

    /// Waits until a head has been incomplete for longer than the limit in force at that time, not counting the time in which
    /// the answer before it was being written.
    pub async fn head_timed_out(&self, limit: impl Fn() -> Duration) {
        loop {
            while let Some(begun_ms) = self.head_since.load(Ordering::Relaxed).checked_sub(1) {
                let since = Duration::from_millis(begun_ms.max(self.ended_ms.load(Ordering::Relaxed)));
                let age = if self.is_busy() { Duration::ZERO } else { self.start.elapsed().saturating_sub(since) };
                let limit = limit();
                if age >= limit {
                    return;
                }
                tokio::time::sleep(limit - age).await;
            }
            self.head_begun.notified().await;
        }
    }

    /// Records that an answer begins, and whether it lets the caller send another request on the connection.
    pub fn begin_answer(&self, invites_next: bool) {
        self.answer_limit_ms.store(self.limits.idle_timeout().as_millis() as u64, Ordering::Relaxed);
        self.invites_next.store(invites_next, Ordering::Relaxed);
    }

    /// Records that the caller has closed its side of the connection.
    pub fn end_caller(&self) {
        self.caller_closed.store(true, Ordering::Relaxed);
    }

    /// Records that the connection was reset.
    pub(super) fn reset(&self) {
        self.was_reset.store(true, Ordering::Relaxed);
    }

    /// How the caller has ended the connection, if it has.
    pub(super) fn caller_end(&self) -> Option<CallerEnd> {
        match (self.was_reset.load(Ordering::Relaxed), self.is_left()) {
            (true, _) => Some(CallerEnd::Reset),
            (false, true) => Some(CallerEnd::Closed),
            (false, false) => None,
        }
    }

    /// Whether the caller has closed its side of the connection.
    pub fn is_left(&self) -> bool {
        self.caller_closed.load(Ordering::Relaxed)
    }

    /// Whether the caller may send a request: its last answer allows another one, and it has not closed its side.
    pub fn awaits_next(&self) -> bool {
        self.invites_next.load(Ordering::Relaxed) && !self.is_left()
    }

    /// The idle time-outs in force now and at the last answer, in ms.
    pub fn idle_limits_ms(&self) -> (u64, u64) {
        (self.limits.idle_timeout().as_millis() as u64, self.answer_limit_ms.load(Ordering::Relaxed))
    }

    /// Waits until the connection has been idle for longer than any time-out by which its caller may go: the one at its
    /// last answer, or one in force since.
    pub async fn idle_timed_out(&self) {
        loop {
            let (limit_ms, answer_limit_ms) = self.idle_limits_ms();
            let limit = Duration::from_millis(limit_ms.max(answer_limit_ms)) + self.limits.idle_grace();
            let idle = self.idle();
            if idle >= limit {
                return;
            }
            tokio::time::sleep(limit - idle).await;
        }
    }

    /// Waits until the connection has been idle for some time.
    pub async fn unused_for(&self, time: Duration) {
        while let Some(left) = time.checked_sub(self.idle()).filter(|left| !left.is_zero()) {
            tokio::time::sleep(left).await;
        }
    }

    /// Waits until the connection has been idle for some time, or is busy.
    pub async fn idle_for(&self, time: Duration) {
        while let Some(left) = time.checked_sub(self.idle()).filter(|left| !left.is_zero() && !self.is_busy()) {
            tokio::time::sleep(left).await;
        }
    }

    /// Time since the last answer was written; zero while one is awaited or written, or a request is arriving.
    pub fn idle(&self) -> Duration {
        if self.is_busy() || self.is_receiving_head() {
            return Duration::ZERO;
        }
        let ended = Duration::from_millis(self.ended_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(ended)
    }
}

/// Counts a request as running until it is dropped.
pub(crate) struct RequestGuard {
    activity: Arc<Activity>,
    record: Arc<RequestRecord>,
    /// Whether there is an answer, which has not failed so far.
    is_answered: bool,
    _counted: Option<RunningRequest>,
}

impl RequestGuard {
    pub fn record(&self) -> &Arc<RequestRecord> {
        &self.record
    }

    /// Attaches the guard to the response body, so that the request counts as running until the HTTP library has taken all of
    /// the body.
    pub fn attach(mut self, response: Response) -> Response {
        self.activity.begin_delivery();
        self.record.set_status(response.status().as_u16());
        self.is_answered = true;
        let (parts, body) = response.into_parts();
        Response::from_parts(parts, Body::from_body(GuardedBody { body, error: None, guard: self }))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.begin_idle();
        self.activity.running.fetch_sub(1, Ordering::Relaxed);
        if self.is_answered {
            self.record.set_made();
            self.activity.has_made.store(true, Ordering::Relaxed);
        }
    }
}

/// A body that holds the guard of its request. What came before an error is written first, as the HTTP library drops what it
/// holds when it gets one.
struct GuardedBody {
    body: Body,
    error: Option<BoxError>,
    guard: RequestGuard,
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.error.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Err(error)) => {
                    self.guard.activity.answer_failed.store(true, Ordering::Relaxed);
                    self.guard.record.fail(&*error);
                    self.guard.is_answered = false;
                    self.error = Some(error);
                }
                polled => {
                    if let Some(Ok(frame)) = &polled {
                        self.guard.record.add_sent(frame.data_ref().map_or(0, Bytes::len));
                    }
                    self.guard.activity.begin_delivery();
                    return Poll::Ready(polled);
                }
            }
        }
        ready!(self.guard.activity.poll_delivered(context));
        Poll::Ready(self.error.take().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a caller's request, which notes that it has been read to its end and is left to its connection if not.
pub(crate) struct RequestBody {
    /// `None` once it has failed or is dropped.
    body: Option<Incoming>,
    /// Whether the caller waits for 100 (Continue), which the HTTP library sends when the body is polled.
    withheld: bool,
    activity: Arc<Activity>,
    rest: UnreadBody,
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.activity.has_unread_body() && !self.withheld {
            self.rest.put(self.body.take());
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.withheld = false;
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let polled = Pin::new(body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            // The library says next that the body has ended, although its rest is unread.
            self.body = None;
        } else if matches!(polled, Poll::Ready(None)) || self.is_end_stream() {
            self.activity.end_body();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}
