//! HTTP listener with a graceful shutdown that interrupts no request.
//!
//! It has its own accept loop because the HTTP library's server limits a shutdown to 30 seconds.

use std::{
    cell::RefCell, convert::Infallible, future::poll_fn, io, net::SocketAddr, pin::Pin, sync::Arc, task::Poll,
    time::Duration,
};

use futures_util::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Version, header};
use http_body::Body as _;
use hyper::{body::Incoming, server::conn::http1};
use hyper_util::rt::TokioIo;
use log::warn;
use metainfo::{METAINFO, MetaInfo};
use motore::service::Service;
use prometheus::IntCounterVec;
use rustix::net::{RecvFlags, recv};
use snafu::ResultExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::timeout,
};
use volo::net::Address;
use volo_http::{
    context::ServerContext,
    request::Request,
    response::Response,
    server::{IntoResponse, Router},
};

use super::{
    activity::{Activity, AmbiguousFraming},
    caller_closes::{CallerCloses, CloseReason},
    close_notice,
    drain::{Drain, Stage},
    error::{ListenSnafu, Result},
    framing::HeadInspector,
    limits_in_force::LimitsInForce,
    open_requests::ConnectionRecord,
    running_requests::RunningRequests,
    socket::set_up_accepted,
    unread_body::UnreadBody,
};
use crate::request::{Reason, Refusal};

/// Connections that may wait in the kernel to be accepted.
const LISTEN_BACKLOG: u32 = 4096;
/// Most connections open at once on one listener.
const MAX_CONNECTIONS: usize = 20_000;
/// Largest request head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest time for which what a caller goes on to send is read after its last response.
const DISCARD_TIME: Duration = Duration::from_secs(2);
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;
/// Most bytes of an unread request in which its id is sought.
const PEEKED_BYTES: usize = 2 * 1024;
/// Time for the first request on a connection that is accepted at the end of a stop to be read.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(50);
/// Idle time after which a request hardly comes at the moment of a close.
const LONG_IDLE_TIME: Duration = Duration::from_secs(5);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listening socket.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener> {
    listen(address).context(ListenSnafu { address })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves a router on a socket.
pub(crate) struct Listener {
    pub socket: TcpListener,
    pub router: Router,
    /// Stops the listener when it begins.
    pub drain: Drain,
    /// Counter of refusals by reason and run state.
    pub refusals: IntCounterVec,
    pub closes: Arc<CallerCloses>,
    pub limits: Arc<LimitsInForce>,
}

impl Listener {
    /// Accepts connections until the drain ends.
    pub async fn run(self) {
        let Self { socket, router, drain, refusals, closes, limits } = self;
        // The end of the drain waits until the queue has been taken over.
        let _token = drain.connections.token();
        let router = Arc::new(router);
        let spawn = |stream, peer, permit: Option<OwnedSemaphorePermit>| {
            let activity = Activity::new(limits.clone());
            let stop = drain.stop.subscribe();
            let service = RouterService {
                router: router.clone(),
                peer,
                activity: activity.clone(),
                stop: stop.clone(),
                is_new: *stop.borrow() != Stage::Open,
                closes: closes.clone(),
                refusals: refusals.clone(),
                running: drain.running.clone(),
            };
            let refusals = refusals.clone();
            let (closes, limits) = (closes.clone(), limits.clone());
            drain.connections.spawn(async move {
                serve(stream, service, stop, &refusals, closes, &activity, &limits).await;
                drop(permit);
            });
        };
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let mut stopped = drain.stop.subscribe();
        loop {
            let permit = tokio::select! {
                permit = permits.clone().acquire_owned() => permit.ok(),
                _ = stopped.wait_for(|stage| *stage == Stage::Ending) => break,
            };
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                _ = stopped.wait_for(|stage| *stage == Stage::Ending) => break,
            };
            match accepted {
                Ok((stream, peer)) => spawn(stream, peer, permit),
                Err(error) => {
                    closes.record_failed_accept(&error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // What the kernel has accepted is reset when the socket is closed.
        for (stream, peer) in take_queued(socket) {
            spawn(stream, peer, None);
        }
    }
}

/// Returns the connections that wait to be accepted. The kernel is asked, as the runtime may not have signalled them yet.
fn take_queued(socket: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut taken = Vec::new();
    let take = || {
        let socket = socket.into_std()?;
        loop {
            let (stream, peer) = socket.accept()?;
            stream.set_nonblocking(true)?;
            taken.push((TcpStream::from_std(stream)?, peer));
        }
    };
    let result: io::Result<Infallible> = take();
    if let Err(error) = result
        && error.kind() != io::ErrorKind::WouldBlock
    {
        warn!("event=queue-not-accepted taken={} error={:?}", taken.len(), error.to_string());
    }
    taken
}

type Connection = http1::Connection<TokioIo<HeadInspector>, RouterService>;

async fn serve(
    stream: TcpStream,
    service: RouterService,
    mut stop: watch::Receiver<Stage>,
    refusals: &IntCounterVec,
    closes: Arc<CallerCloses>,
    activity: &Arc<Activity>,
    limits: &LimitsInForce,
) {
    set_up_accepted(&stream);
    let mut record = ConnectionRecord::new(activity, &closes);
    let mut builder = http1::Builder::new();
    // The HTTP library's limits on heads are fixed for the connection, and its time-out counts idle time, so `Activity` has its
    // own. A largest head that is raised over this buffer holds for new connections only.
    builder.header_read_timeout(None).max_buf_size(limits.current().header_bytes.max(MAX_HEAD_BYTES));
    let mut connection =
        builder.serve_connection(TokioIo::new(HeadInspector::new(stream, activity.clone(), closes.clone())), service);
    let (reason, ended) = loop {
        let reason = tokio::select! {
            biased;
            ended = &mut connection => break (CloseReason::LastAnswer, ended),
            () = activity.head_timed_out(|| limits.current().header_timeout) => CloseReason::HeadTimeout,
            () = stop_due(&mut stop, activity) => CloseReason::Stop,
            () = activity.idle_timed_out() => CloseReason::Idle,
        };
        if reason == CloseReason::HeadTimeout {
            return refuse_head_timeout(connection, refusals, &closes, activity).await;
        }
        let arrived = tokio::select! {
            biased;
            ended = take_arrived(&mut connection, activity) => ended,
            () = activity.head_timed_out(|| limits.current().header_timeout) => {
                return refuse_head_timeout(connection, refusals, &closes, activity).await;
            }
        };
        if let Some(ended) = arrived {
            break (CloseReason::LastAnswer, ended);
        }
        if reason == CloseReason::Idle && activity.idle() < limits.idle_grace() {
            // A request has arrived at the last moment.
            continue;
        }
        // A request that is being served gets its answer.
        let reason = if activity.is_busy() { CloseReason::LastAnswer } else { reason };
        Pin::new(&mut connection).graceful_shutdown();
        break (reason, (&mut connection).await);
    };
    record.end(&ended);
    match ended {
        Ok(()) => {
            let parts = connection.into_parts();
            let mut stream = parts.io.into_inner().finish();
            if reason.is_unannounced() && parts.read_buf.is_empty() && !activity.is_left() {
                return close_idle(&mut stream, reason, refusals, &closes, activity).await;
            }
            stream.shutdown().await.ok();
            let mut next = [0; PEEKED_BYTES];
            let unread = peek(&stream, &mut next);
            let has_next = !parts.read_buf.is_empty() || !unread.is_empty();
            if has_next && !activity.has_unread_body() {
                closes.record(reason, activity, &parts.read_buf, unread);
            } else if activity.awaits_next() {
                closes.record_unannounced(reason, activity);
            }
            if reason == CloseReason::LastAnswer && !activity.awaits_next() && (has_next || activity.has_unread_body())
            {
                discard_rest(&mut stream).await;
            }
        }
        Err(error) => {
            closes.record_broken(activity);
            if error.is_parse() {
                end_refused_head(connection, &error, refusals, &closes, activity).await;
            }
        }
    }
}

/// Closes an idle connection, and counts a request that crosses the close, which is refused.
async fn close_idle(
    stream: &mut TcpStream,
    reason: CloseReason,
    refusals: &IntCounterVec,
    closes: &CallerCloses,
    activity: &Activity,
) {
    match close_notice::close(stream).await {
        Some((refusal, crossing)) => {
            refusals.with_label_values(&[refusal.reason.label(), refusal.run.label()]).inc();
            closes.record_crossing(reason, &refusal, &crossing);
        }
        None if reason == CloseReason::Stop && activity.awaits_next() => closes.record_unannounced(reason, activity),
        None => {}
    }
}

/// Waits until the stop closes the connection. It is kept although it is idle, as a close could cross the next request, whose
/// answer says that the connection ends. One that has been idle for long is closed before the end, so that its caller connects to
/// another daemon. A new one has some time to be used first.
async fn stop_due(stop: &mut watch::Receiver<Stage>, activity: &Activity) {
    stop.wait_for(|stage| *stage != Stage::Open).await.ok();
    tokio::select! {
        () = activity.unused_for(LONG_IDLE_TIME) => return,
        _ = stop.wait_for(|stage| *stage == Stage::Ending) => {}
    }
    activity.idle_for(FIRST_REQUEST_TIME).await;
}

/// Reads what has arrived, as far as a request that has begun to arrive is being served. Returns the result of a connection
/// that ends meanwhile.
async fn take_arrived(connection: &mut Connection, activity: &Activity) -> Option<hyper::Result<()>> {
    activity.set_reads_unsignalled(true);
    let ended = poll_fn(|context| match Pin::new(&mut *connection).poll(context) {
        Poll::Pending if !activity.is_receiving_head() => Poll::Ready(None),
        polled => polled.map(Some),
    })
    .await;
    activity.set_reads_unsignalled(false);
    ended
}

/// Returns the first bytes that have arrived on a connection and have not been read.
fn peek<'a>(stream: &TcpStream, buffer: &'a mut [u8]) -> &'a [u8] {
    let count = recv(stream, &mut *buffer, RecvFlags::PEEK | RecvFlags::DONTWAIT).map_or(0, |(count, _)| count);
    &buffer[..count]
}

/// Reads what a caller goes on to send after its last response, for a time: the response could be lost in the reset that
/// follows when a connection is closed over unread bytes.
async fn discard_rest(stream: &mut TcpStream) {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let rest = async { while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
    timeout(DISCARD_TIME, rest).await.ok();
}

/// Ends a connection on which a head came that cannot be read, which the HTTP library has refused. Counts one that was too
/// large as a refused request.
async fn end_refused_head(
    connection: Connection,
    error: &hyper::Error,
    refusals: &IntCounterVec,
    closes: &CallerCloses,
    activity: &Activity,
) {
    let parts = connection.into_parts();
    closes.record(CloseReason::Framing, activity, &parts.read_buf, &[]);
    if error.is_parse_too_large() {
        refuse_large_head(refusals);
    }
    end_refused(parts.io.into_inner().into_inner()).await;
}

/// Counts a request whose head is too large, and returns its refusal.
fn refuse_large_head(refusals: &IntCounterVec) -> Refusal {
    let refusal = Refusal::not_run(Reason::HeaderTooLarge, "the request's head is too large");
    refusals.with_label_values(&[refusal.reason.label(), refusal.run.label()]).inc();
    refusal
}

/// Closes a connection behind a refusal that says so.
async fn end_refused(mut stream: TcpStream) {
    stream.shutdown().await.ok();
    discard_rest(&mut stream).await;
}

/// Refuses a request whose head was not complete in time.
async fn refuse_head_timeout(
    connection: Connection,
    refusals: &IntCounterVec,
    closes: &CallerCloses,
    activity: &Activity,
) {
    let parts = connection.into_parts();
    closes.record(CloseReason::HeadTimeout, activity, &parts.read_buf, &[]);
    let refusal = Refusal::not_run(Reason::HeaderTimeout, "the request's head did not arrive in time");
    refusals.with_label_values(&[refusal.reason.label(), refusal.run.label()]).inc();
    let mut stream = parts.io.into_inner().into_inner();
    stream.write_all(refusal.to_http_text().as_bytes()).await.ok();
    end_refused(stream).await;
}

/// Passes the requests of a connection to the router.
struct RouterService {
    router: Arc<Router>,
    peer: SocketAddr,
    activity: Arc<Activity>,
    /// From the beginning of the stop on, answers say that they are the last.
    stop: watch::Receiver<Stage>,
    /// Whether the connection was accepted after the notice of the stop.
    is_new: bool,
    closes: Arc<CallerCloses>,
    refusals: IntCounterVec,
    running: RunningRequests,
}

impl hyper::service::Service<http::Request<Incoming>> for RouterService {
    type Response = Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        let router = self.router.clone();
        let peer = Address::from(self.peer);
        let is_open = *self.stop.borrow() == Stage::Open;
        if !is_open {
            self.closes.record_late_arrival(self.is_new);
        }
        let counted = is_open.then(|| self.running.begin());
        let guard = self.activity.begin_request(counted);
        let (activity, stop) = (self.activity.clone(), self.stop.clone());
        let ambiguous = self.activity.is_ambiguous();
        let refusal = self.activity.is_head_too_large().then(|| {
            self.closes.record(CloseReason::Framing, &self.activity, &[], &[]);
            refuse_large_head(&self.refusals)
        });
        Box::pin(METAINFO.scope(RefCell::new(MetaInfo::default()), async move {
            let mut context = ServerContext::new(peer);
            let rest = UnreadBody::default();
            let withheld = expects_continue(request.headers());
            let track = |body| volo_http::body::Body::from_body(activity.track_body(body, withheld, &rest));
            let mut request: Request = request.map(track);
            request.extensions_mut().insert(guard.record().clone());
            if ambiguous {
                request.extensions_mut().insert(AmbiguousFraming);
            }
            let version = request.version();
            // The caller sends nothing after a request by which it has announced the end itself.
            let is_callers_last = version == Version::HTTP_10 || says_close(request.headers());
            let mut response = match &refusal {
                Some(refusal) => {
                    drop(request);
                    refusal.response()
                }
                None => router.call(&mut context, request).await.into_response(),
            };
            // The HTTP library closes the connection after an answer to a request whose body has not been read to its end.
            if activity.has_unread_body() && rest.discard_arrived().await {
                activity.end_body();
            }
            if activity.has_unread_body() || refusal.is_some() || *stop.borrow() != Stage::Open {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            activity.begin_answer(!is_callers_last && !says_close(response.headers()));
            if version == Version::HTTP_10 && !has_length(&response) {
                activity.begin_open_ended();
            }
            Ok(guard.attach(response))
        }))
    }
}

/// Whether a message says that its connection is closed after it.
fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Whether the caller of a request sends its body only when asked.
fn expects_continue(headers: &HeaderMap) -> bool {
    headers.get(header::EXPECT).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

fn has_length(response: &Response) -> bool {
    response.headers().contains_key(header::CONTENT_LENGTH) || response.body().size_hint().exact().is_some()
}

#[cfg(test)]
#[path = "listener_test.rs"]
mod listener_test;
