//! Tests of requests on connections that a peer carries and ends.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    connection::{
        BackendConnection, BackendConnections, CarriedConnection, CarriedConnections, Notice, PeerClient, PeerHandler,
        ResponseObserver, Secrets, SendError, serve_peers,
    },
    pb::{self, TunnelResult, answer, request},
};

/// Time in which an idle connection that is to end has ended.
const END_TIME: Duration = Duration::from_millis(300);
/// Time after which a call counts as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);
/// Length of a body that exceeds what a tunnel takes at once, in bytes.
const LONG_BODY_BYTES: usize = 1024 * 1024;
/// Answer to a request whose body has not been read.
const EARLY_ANSWER: &[u8] = b"HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\nContent-Length: 5\r\n\r\nlarge";
/// Requests that are answered early.
const EARLY_REQUESTS: usize = 20;

/// Why a connection ends that has carried a request and is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its server is to get no more requests.
    Withdrawn,
    /// The carrier ends before a further request is certain to.
    Late,
    /// The carrier ends it once it is idle.
    Ending,
    /// The server has closed it.
    Closed,
}

#[derive(Default)]
struct State {
    withdrawn: AtomicBool,
    late: AtomicBool,
    ending: AtomicBool,
    /// Requests that a server has got.
    requests: AtomicUsize,
}

struct Observer(Arc<State>);

impl ResponseObserver for Observer {
    fn notice(&self, _: &HeaderMap, _: StatusCode, _: &HeaderMap) -> Option<Notice> {
        None
    }

    fn record_notice(&self, _: Notice) {}

    fn is_withdrawn(&self) -> bool {
        self.0.withdrawn.load(Ordering::Relaxed)
    }

    fn may_begin(&self, is_first: bool) -> bool {
        is_first || !self.0.late.load(Ordering::Relaxed)
    }

    fn is_ending(&self) -> bool {
        self.0.ending.load(Ordering::Relaxed)
    }
}

#[derive(Clone)]
struct Handler {
    server: SocketAddr,
    carried: CarriedConnections,
    state: Arc<State>,
}

impl PeerHandler for Handler {
    async fn handle(&self, _: request::Body) -> Option<answer::Body> {
        None
    }

    fn count_unknown(&self) {}

    async fn open_tunnel(&self, open: pb::OpenTunnel) -> Result<CarriedConnection, TunnelResult> {
        let socket = TcpStream::connect(self.server).await.map_err(|_| TunnelResult::Unreached)?;
        let observer = Box::new(Observer(self.state.clone()));
        Ok(CarriedConnection { socket, guard: self.carried.begin(&open).ok_or(TunnelResult::Stopping)?, observer })
    }
}

/// A server and the carrier of connections to it, whose frames to the asking side can be held up.
struct Carrier {
    address: SocketAddr,
    server: SocketAddr,
    state: Arc<State>,
    /// Whether frames to the asking side wait.
    held: watch::Sender<bool>,
    /// Whether the server closes its idle connections.
    closing: watch::Sender<bool>,
}

impl Carrier {
    /// Starts both; the server answers requests until it has `answers` of them, and closes the connection of the next.
    async fn start(answers: usize) -> Self {
        let (state, closing) = (Arc::<State>::default(), watch::Sender::new(false));
        let server = start_server(answers, state.clone(), closing.subscribe()).await;
        Self::start_before(server, state, closing).await
    }

    /// Starts the carrier of connections to `server`.
    async fn start_before(server: SocketAddr, state: Arc<State>, closing: watch::Sender<bool>) -> Self {
        let held = watch::Sender::new(false);
        let count = IntGauge::new("carried", "carried").expect("a gauge");
        let carried = CarriedConnections::new(count, Arc::new(|| false));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = start_way(listener.local_addr().expect("a bound socket"), held.subscribe()).await;
        let rejected = IntCounter::new("rejected", "rejected").expect("a counter");
        let handler = Handler { server, carried, state: state.clone() };
        tokio::spawn(serve_peers(listener, secrets(), handler, rejected));
        Self { address, server, state, held, closing }
    }

    /// Opens a connection to the server.
    async fn open(&self) -> (BackendConnections, BackendConnection) {
        let connects = IntCounterVec::new(Opts::new("connects", "connects"), &["result"]).expect("a counter");
        let connections = BackendConnections::new(connects);
        let open = pb::OpenTunnel { instance: "server".into(), ..pb::OpenTunnel::default() };
        let tunnel = PeerClient::new(secrets()).open_tunnel(self.address, open).await.expect("a tunnel");
        let instance = Arc::from("server");
        let opened = connections.open_over(tunnel, "carrier".into(), self.server, &instance).await;
        (connections, opened.expect("a connection"))
    }

    /// Opens a connection to the server and has a request answered on it.
    async fn used_connection(&self) -> BackendConnection {
        let instance = Arc::from("server");
        let (connections, mut connection) = self.open().await;
        let response = connection.send(post(0)).await.expect("the server answers");
        let (head, body) = response.into_parts();
        body.collect().await.expect("the answer is whole");
        connection.release(&head.headers);
        let taking = async {
            loop {
                match connections.take(self.server, &instance, true) {
                    Some(connection) => return connection,
                    // It is ready a little after the end of the answer.
                    None => sleep(Duration::from_millis(1)).await,
                }
            }
        };
        timeout(STUCK_TIMEOUT, taking).await.expect("the connection is kept")
    }

    fn end(&self, end: End) {
        match end {
            End::Withdrawn => self.state.withdrawn.store(true, Ordering::Relaxed),
            End::Late => self.state.late.store(true, Ordering::Relaxed),
            End::Ending => self.state.ending.store(true, Ordering::Relaxed),
            End::Closed => drop(self.closing.send_replace(true)),
        }
    }

    fn requests(&self) -> usize {
        self.state.requests.load(Ordering::Relaxed)
    }
}

fn secrets() -> Secrets {
    Secrets::new(&["a secret of the tests".to_owned()])
}

fn post(length: usize) -> Request<Full<Bytes>> {
    let request = Request::post("/").header("host", "server").body(Full::new(Bytes::from(vec![b'x'; length])));
    request.expect("a request")
}

async fn start_server(answers: usize, state: Arc<State>, closing: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (state, mut closing) = (state.clone(), closing.clone());
            tokio::spawn(async move {
                let mut buffer = vec![0; 16 * 1024];
                loop {
                    let read = tokio::select! {
                        read = stream.read(&mut buffer) => read,
                        _ = closing.wait_for(|is_closing| *is_closing) => return,
                    };
                    let Ok(1..) = read else { return };
                    if state.requests.fetch_add(1, Ordering::Relaxed) >= answers {
                        return;
                    }
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.ok();
                }
            });
        }
    });
    address
}

/// Starts a server that answers after the first bytes of a request and closes the connection over the rest.
async fn start_early_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0; 1024];
                let Ok(1..) = stream.read(&mut buffer).await else { return };
                stream.write_all(EARLY_ANSWER).await.ok();
            });
        }
    });
    address
}

/// Starts a way to the carrier that passes nothing back while it is held.
async fn start_way(to: SocketAddr, held: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else { return };
            let ((mut near_reader, mut near_writer), (mut far_reader, mut far_writer)) =
                (near.into_split(), far.into_split());
            tokio::spawn(async move { tokio::io::copy(&mut near_reader, &mut far_writer).await });
            let mut held = held.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 16 * 1024];
                while let Ok(count @ 1..) = far_reader.read(&mut buffer).await {
                    held.wait_for(|is_held| !is_held).await.ok();
                    if near_writer.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against LOST: a request that was sent on a carried connection while its carrier or its server ended that counted
/// as one that may have run, although no byte of it had reached the server.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_tunnel_that_ends_meanwhile_is_not_sent() {
    let mut failed = Vec::new();
    for end in [End::Withdrawn, End::Ending, End::Closed] {
        for length in [0, 100, LONG_BODY_BYTES] {
            let carrier = Carrier::start(usize::MAX).await;
            let mut connection = carrier.used_connection().await;
            carrier.held.send_replace(true);
            carrier.end(end);
            sleep(END_TIME).await;
            let sending = tokio::spawn(async move { connection.send(post(length)).await.map(drop) });
            sleep(END_TIME).await;
            carrier.held.send_replace(false);
            let result = timeout(STUCK_TIMEOUT, sending).await.expect("the call ends").expect("the task ends");
            assert_eq!(carrier.requests(), 1, "{end:?}");
            if result != Err(SendError::NotSent) {
                failed.push((end, length, result));
            }
        }
    }
    assert!(failed.is_empty(), "of 9: {failed:?}");
}

/// Guards against LOST: a carrier that was not to pass a request on did not say so.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_its_carrier_does_not_pass_on_is_not_sent() {
    let lengths = [0, 100, LONG_BODY_BYTES];
    for (end, length) in [End::Withdrawn, End::Late].into_iter().flat_map(|end| lengths.map(|length| (end, length))) {
        let carrier = Carrier::start(usize::MAX).await;
        let mut connection = carrier.used_connection().await;
        carrier.end(end);
        let sent = timeout(STUCK_TIMEOUT, connection.send(post(length))).await.expect("the call ends");
        assert_eq!((sent.map(drop), carrier.requests()), (Err(SendError::NotSent), 1), "{end:?}, {length} bytes");
    }
}

/// Guards against LOST: a connection that a stopping carrier had opened for one request was kept unused, and carried another
/// one whose time the carrier did not know.
#[tokio::test(flavor = "multi_thread")]
async fn unused_connection_by_way_of_a_peer_is_not_kept() {
    let carrier = Carrier::start(usize::MAX).await;
    let (connections, connection) = carrier.open().await;
    connection.keep();
    assert!(connections.take(carrier.server, &Arc::from("server"), true).is_none());
}

/// Guards against REFUSED and TWICE: what has reached a server must not count as not sent.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_reached_its_server_may_have_been_sent() {
    for length in [0, 100, LONG_BODY_BYTES] {
        let carrier = Carrier::start(1).await;
        let mut connection = carrier.used_connection().await;
        let sent = timeout(STUCK_TIMEOUT, connection.send(post(length))).await.expect("the call ends");
        assert_eq!((sent.map(drop), carrier.requests()), (Err(SendError::MaybeSent), 2), "{length} bytes");
    }
}

/// Guards against LOST: a carrier that could not pass on the rest of a request gave up the answer that its server had sent.
#[tokio::test(flavor = "multi_thread")]
async fn answer_before_the_end_of_a_carried_request_is_passed_on() {
    let server = start_early_server().await;
    let carrier = Carrier::start_before(server, Arc::default(), watch::Sender::new(false)).await;
    let mut lost = Vec::new();
    for number in 0..EARLY_REQUESTS {
        let (_connections, mut connection) = carrier.open().await;
        let sending = async {
            let (head, body) = connection.send(post(LONG_BODY_BYTES)).await?.into_parts();
            let body = body.collect().await.map_err(|_| SendError::MaybeSent)?;
            Ok((head.status, body.to_bytes()))
        };
        let result: Result<_, SendError> = timeout(STUCK_TIMEOUT, sending).await.expect("the call ends");
        if result.as_ref().ok() != Some(&(StatusCode::PAYLOAD_TOO_LARGE, Bytes::from_static(b"large"))) {
            lost.push((number, result));
        }
    }
    assert!(lost.is_empty(), "of {EARLY_REQUESTS}: {lost:?}");
}
