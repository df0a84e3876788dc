//! The accept loop for HTTP, with a drain that cuts nothing.
//!
//! The library's own server limits a stop to 30 seconds, so the loop is ours.

use std::{
    cell::RefCell, convert::Infallible, future::poll_fn, io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration,
};

use futures_util::future::BoxFuture;
use hyper::{body::Incoming, server::conn::http1};
use hyper_util::rt::{TokioIo, TokioTimer};
use metainfo::{METAINFO, MetaInfo};
use motore::service::Service;
use prometheus::IntCounterVec;
use snafu::ResultExt;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, watch},
};
use tokio_util::task::TaskTracker;
use volo::net::Address;
use volo_http::{
    context::ServerContext,
    request::Request,
    response::Response,
    server::{IntoResponse, Router},
};

use super::{
    activity::{Activity, AmbiguousFraming},
    error::{ListenSnafu, Result},
    framing::FramedHeads,
};
use crate::{
    config::CallerLimits,
    request::{Reason, Refusal},
};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 4096;
/// Connections open at once on one listener.
const CONNECTIONS: usize = 20_000;
/// Bytes of a request's head.
pub(crate) const HEADER_BYTES: usize = 64 * 1024;
/// Bytes of a connection's buffer that the library needs at least.
const LEAST_BUFFER: usize = 8 * 1024;
/// Time beyond the idle limit after which a connection is closed, so that a request on its way is not.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket with a long backlog.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener> {
    open(address).context(ListenSnafu { address })
}

fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Tells listeners to stop, and waits for their connections.
#[derive(Clone)]
pub(crate) struct Drain {
    stop: Arc<watch::Sender<bool>>,
    connections: TaskTracker,
}

impl Drain {
    /// A drain that has not begun.
    pub fn new() -> Self {
        Self { stop: Arc::new(watch::channel(false).0), connections: TaskTracker::new() }
    }

    /// Stops accepting, lets each connection end its request, and waits for all.
    pub async fn finish(&self) {
        self.stop.send_replace(true);
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Serves a router on a socket.
pub(crate) struct Listener {
    /// The socket.
    pub socket: TcpListener,
    /// What answers.
    pub router: Router,
    /// How it is stopped.
    pub drain: Drain,
    /// Counts refusals by reason and run state.
    pub refusals: IntCounterVec,
    /// What callers may send and how long they may be idle, as it is now in force.
    pub limits: CurrentCallerLimits,
}

/// Gives the limits that are now in force.
pub(crate) type CurrentCallerLimits = Arc<dyn Fn() -> CallerLimits + Send + Sync>;

impl Listener {
    /// Accepts connections until the drain begins.
    pub async fn run(self) {
        let router = Arc::new(self.router);
        let permits = Arc::new(Semaphore::new(CONNECTIONS));
        let mut stopped = self.drain.stop.subscribe();
        loop {
            let permit = tokio::select! {
                permit = permits.clone().acquire_owned() => permit,
                _ = stopped.wait_for(|stop| *stop) => return,
            };
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                _ = stopped.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let activity = Activity::new();
            let service = Bridge { router: router.clone(), peer, activity: activity.clone() };
            let stop = self.drain.stop.subscribe();
            let (refusals, limits) = (self.refusals.clone(), self.limits.clone());
            self.drain.connections.spawn(async move {
                serve(stream, service, stop, &refusals, &activity, &limits).await;
                drop(permit);
            });
        }
    }
}

type Connection = http1::Connection<TokioIo<FramedHeads>, Bridge>;

async fn serve(
    stream: TcpStream,
    service: Bridge,
    mut stop: watch::Receiver<bool>,
    refusals: &IntCounterVec,
    activity: &Arc<Activity>,
    limits: &CurrentCallerLimits,
) {
    stream.set_nodelay(true).ok();
    let mut builder = http1::Builder::new();
    let CallerLimits { header_timeout, idle_timeout, header_bytes, .. } = limits();
    // The library counts idle time before a head as time for it; a longer idle limit may come into force later.
    let head_time = header_timeout + idle_timeout;
    builder.timer(TokioTimer::new()).header_read_timeout(head_time).max_buf_size(header_bytes.max(LEAST_BUFFER));
    let mut connection = builder.serve_connection(TokioIo::new(FramedHeads::new(stream, activity.clone())), service);
    let mut slow = false;
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
        () = idle_too_long(activity, limits) => None,
        () = activity.head_too_slow(|| limits().header_timeout) => {
            slow = true;
            None
        }
    };
    if slow {
        return refuse_slow_head(connection, refusals).await;
    }
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    match ended {
        Ok(()) => {
            connection.into_parts().io.into_inner().into_inner().shutdown().await.ok();
        }
        Err(error) => refuse_head(connection, &error, refusals).await,
    }
}

/// Waits until the connection has been idle for longer than the limit that is then in force.
async fn idle_too_long(activity: &Activity, limits: &CurrentCallerLimits) {
    loop {
        let limit = limits().idle_timeout + IDLE_SLACK;
        let idle = activity.idle();
        if idle >= limit {
            return;
        }
        tokio::time::sleep(limit - idle).await;
    }
}

/// Refuses a request whose head came too slowly, and counts one that was too large.
async fn refuse_head(connection: Connection, error: &hyper::Error, refusals: &IntCounterVec) {
    if error.is_timeout() {
        return refuse_slow_head(connection, refusals).await;
    }
    if error.is_parse_too_large() {
        // The library has answered; it only needs to be counted.
        let refusal = Refusal::not_run(Reason::HeaderTooLarge, "the request's head is too large");
        refusals.with_label_values(&[refusal.reason.label(), refusal.run.label()]).inc();
    }
}

/// Refuses a request whose head has not come to its end in time; a connection without one is just closed.
async fn refuse_slow_head(connection: Connection, refusals: &IntCounterVec) {
    let parts = connection.into_parts();
    if parts.read_buf.is_empty() {
        return;
    }
    let refusal = Refusal::not_run(Reason::HeaderTimeout, "the request's head did not arrive in time");
    refusals.with_label_values(&[refusal.reason.label(), refusal.run.label()]).inc();
    let mut stream = parts.io.into_inner().into_inner();
    stream.write_all(refusal.to_http_text().as_bytes()).await.ok();
    stream.shutdown().await.ok();
}

/// Hands a connection's requests to the router.
struct Bridge {
    router: Arc<Router>,
    peer: SocketAddr,
    activity: Arc<Activity>,
}

impl hyper::service::Service<http::Request<Incoming>> for Bridge {
    type Response = Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        let router = self.router.clone();
        let peer = Address::from(self.peer);
        let running = self.activity.begin();
        let ambiguous = self.activity.is_ambiguous();
        Box::pin(METAINFO.scope(RefCell::new(MetaInfo::default()), async move {
            let mut context = ServerContext::new(peer);
            let mut request: Request = request.map(volo_http::body::Body::from_incoming);
            if ambiguous {
                request.extensions_mut().insert(AmbiguousFraming);
            }
            Ok(running.until_sent(router.call(&mut context, request).await.into_response()))
        }))
    }
}
