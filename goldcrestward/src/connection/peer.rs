//! Request streams between daemons: one connection to each peer, with authenticated frames.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use log::warn;
use parking_lot::Mutex;
use prometheus::IntCounter;
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, oneshot},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{
    carried::CarriedConnection,
    error::{PeerSnafu, Result as PeerResult},
    observed_stream::{ObservedStream, Receipts},
    seal::Secrets,
    socket::{open_socket, set_up},
    tunnel::{Tunnel, TunnelEnd, carry},
};
use crate::pb::{self, TunnelResult, answer, request};

/// Largest frame of the handshake, before the remote end has proved that it knows the secret, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;
/// Largest frame between daemons, in bytes: the state of a site of the largest size that is supported, several times.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Time limit for opening a connection and completing the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for sending a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the queue of requests or answers of one connection.
const QUEUE_LENGTH: usize = 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the accepting end closes an idle connection whose other end has not.
const ACCEPTED_IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time without a byte from a peer that owes an answer after which it is asked for a sign of life.
const PROBE_AFTER: Duration = Duration::from_millis(400);
/// Time without a byte after that question until the connection counts as dead.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Connections that are carried for peers at once.
const MAX_TUNNELS: usize = 512;

type Stream = Framed<ObservedStream, LengthDelimitedCodec>;
/// Channel to a caller that awaits an answer; `None` if the peer's answer has no body that this build knows.
type AnswerSender = oneshot::Sender<Option<answer::Body>>;
/// Channels to the callers, by request id.
type PendingAnswers = HashMap<u64, AnswerSender>;

/// Serves the requests of peers.
pub(crate) trait PeerHandler: Clone + Send + Sync + 'static {
    /// Serves one request. On `None` the answer has no body, and the request fails at the peer.
    fn handle(&self, body: request::Body) -> impl Future<Output = Option<answer::Body>> + Send;

    /// Counts a request that only newer builds know. It is answered without a body.
    fn count_unknown(&self);

    /// Opens a connection to a backend server, whose bytes the peer's stream then carries.
    fn open_tunnel(&self, open: pb::OpenTunnel)
    -> impl Future<Output = Result<CarriedConnection, TunnelResult>> + Send;
}

/// A stream whose remote end has proved that it knows the site's secret.
pub(super) struct AuthenticatedStream {
    sender: FrameSender,
    receiver: FrameReceiver,
    receipts: Receipts,
}

/// Sends authenticated frames.
pub(super) struct FrameSender {
    sink: SplitSink<Stream, Bytes>,
    secrets: Secrets,
    session: Arc<[u8]>,
    sent: u64,
}

/// Receives authenticated frames.
pub(super) struct FrameReceiver {
    stream: SplitStream<Stream>,
    secrets: Secrets,
    session: Arc<[u8]>,
    received: u64,
}

impl FrameSender {
    pub async fn send(&mut self, payload: Vec<u8>) -> Option<()> {
        let mac = self.secrets.sign(&[&self.session, &self.sent.to_le_bytes(), &payload]);
        self.sent += 1;
        let frame = pb::Frame { payload, mac }.encode_to_vec();
        if frame.len() > MAX_FRAME_BYTES {
            warn!("event=frame-too-large bytes={} max={MAX_FRAME_BYTES}", frame.len());
        }
        let sending = self.sink.send(Bytes::from(frame));
        timeout(SEND_TIMEOUT, sending).await.ok()?.ok()
    }

    /// Ends this side of the stream. The other side can still be read.
    pub async fn close(&mut self) {
        timeout(SEND_TIMEOUT, self.sink.close()).await.ok();
    }
}

impl FrameReceiver {
    pub async fn next(&mut self) -> Option<Vec<u8>> {
        let frame = pb::Frame::decode(self.stream.next().await?.ok()?).ok()?;
        // The two ends count in different halves of the counter's range.
        let counter = self.received ^ (1 << 63);
        self.received += 1;
        let parts: [&[u8]; 3] = [&self.session, &counter.to_le_bytes(), &frame.payload];
        self.secrets.verify(&parts, &frame.mac).then_some(frame.payload)
    }
}

impl AuthenticatedStream {
    /// Performs the handshake; the initiator sends the first message.
    async fn new(socket: TcpStream, secrets: Secrets, is_initiator: bool) -> Option<Self> {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_BYTES).new_codec();
        let mut stream = Framed::new(ObservedStream::new(socket), codec);
        let own_nonce: [u8; 16] = rand::random();
        if is_initiator {
            stream.send(hello(&own_nonce, Vec::new())).await.ok()?;
            let reply = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
            let session = [&own_nonce[..], &reply.nonce].concat();
            if !secrets.verify(&[b"second", &session], &reply.proof) {
                return None;
            }
            let proof = secrets.sign(&[b"first", &session]);
            stream.send(hello(&own_nonce, proof)).await.ok()?;
            return Some(Self::authenticated(stream, secrets, session, 0));
        }
        let greeting = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
        let session = [&greeting.nonce[..], &own_nonce].concat();
        stream.send(hello(&own_nonce, secrets.sign(&[b"second", &session]))).await.ok()?;
        let confirmation = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
        let is_proven = secrets.verify(&[b"first", &session], &confirmation.proof);
        is_proven.then(|| Self::authenticated(stream, secrets, session, 1 << 63))
    }

    /// Counts frames from `first` on, in both directions.
    fn authenticated(mut stream: Stream, secrets: Secrets, session: Vec<u8>, first: u64) -> Self {
        stream.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
        let receipts = stream.get_ref().receipts();
        let (sink, stream) = stream.split();
        let session: Arc<[u8]> = session.into();
        Self {
            sender: FrameSender { sink, secrets: secrets.clone(), session: session.clone(), sent: first },
            receiver: FrameReceiver { stream, secrets, session, received: first },
            receipts,
        }
    }

    pub(super) fn split(self) -> (FrameSender, FrameReceiver) {
        (self.sender, self.receiver)
    }

    async fn send(&mut self, payload: Vec<u8>) -> Option<()> {
        self.sender.send(payload).await
    }

    async fn next(&mut self) -> Option<Vec<u8>> {
        self.receiver.next().await
    }
}

fn hello(nonce: &[u8], proof: Vec<u8>) -> Bytes {
    let hello = pb::Hello { from: String::new(), nonce: nonce.to_vec(), proof };
    Bytes::from(hello.encode_to_vec())
}

/// Serves peers on a listening socket.
pub(crate) async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    secrets: Secrets,
    handler: H,
    rejected_handshakes: IntCounter,
) {
    let tunnels = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        set_up(&socket);
        let (secrets, handler, rejected_handshakes) = (secrets.clone(), handler.clone(), rejected_handshakes.clone());
        let tunnels = tunnels.clone();
        tokio::spawn(async move {
            let handshake = timeout(HANDSHAKE_TIMEOUT, AuthenticatedStream::new(socket, secrets, false)).await;
            match handshake.ok().flatten() {
                Some(stream) => serve_stream(stream, handler, &tunnels).await,
                None => rejected_handshakes.inc(),
            }
        });
    }
}

async fn serve_stream<H: PeerHandler>(mut stream: AuthenticatedStream, handler: H, tunnels: &Semaphore) {
    let (sender, mut answers) = mpsc::channel::<pb::Answer>(QUEUE_LENGTH);
    let running = Arc::new(());
    loop {
        tokio::select! {
            payload = stream.next() => {
                let Some(payload) = payload else { return };
                let Ok(pb::Request { id, body }) = pb::Request::decode(&payload[..]) else {
                    return warn!("event=peer-malformed message=request bytes={}", payload.len());
                };
                let Some(body) = body else {
                    handler.count_unknown();
                    if stream.send(pb::Answer { id, body: None }.encode_to_vec()).await.is_none() {
                        return;
                    }
                    continue;
                };
                if let request::Body::OpenTunnel(open) = body {
                    return serve_tunnel(stream, id, open, &handler, tunnels).await;
                }
                let (handler, sender, running) = (handler.clone(), sender.clone(), running.clone());
                // Nobody can use the answer to a claim of a closed connection, and a grant would hold the key.
                let is_claim = matches!(body, request::Body::Claim(_));
                tokio::spawn(async move {
                    let body = tokio::select! {
                        biased;
                        body = handler.handle(body) => body,
                        () = sender.closed(), if is_claim => return,
                    };
                    sender.send(pb::Answer { id, body }).await.ok();
                    drop(running);
                });
            }
            Some(answer) = answers.recv() => {
                if stream.send(answer.encode_to_vec()).await.is_none() {
                    return;
                }
            }
            () = sleep(ACCEPTED_IDLE_TIMEOUT), if Arc::strong_count(&running) == 1 => return,
        }
    }
}

/// Carries a connection to a backend server for a peer, until either end closes it.
async fn serve_tunnel<H: PeerHandler>(
    mut stream: AuthenticatedStream,
    id: u64,
    open: pb::OpenTunnel,
    handler: &H,
    tunnels: &Semaphore,
) {
    let permit = tunnels.try_acquire();
    let opened = if permit.is_ok() { handler.open_tunnel(open).await } else { Err(TunnelResult::Busy) };
    let result = opened.as_ref().map_or_else(|result| *result, |_| TunnelResult::Opened);
    let body = answer::Body::TunnelAnswer(pb::TunnelAnswer { result: result.into() });
    let sent = stream.send(pb::Answer { id, body: Some(body) }.encode_to_vec()).await;
    if let Ok(CarriedConnection { socket, mut guard, observer }) = opened {
        let end = match sent {
            Some(()) => carry(stream, socket, guard.progress(), Some(&*observer)).await,
            None => TunnelEnd::PeerError,
        };
        guard.set_end(end);
    }
}

struct PendingRequest {
    body: request::Body,
    answer: AnswerSender,
}

/// Sends requests to peers, over connections that are opened on first use.
#[derive(Clone)]
pub(crate) struct PeerClient {
    secrets: Secrets,
    connections: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<PendingRequest>>>>,
}

impl PeerClient {
    pub fn new(secrets: Secrets) -> Self {
        Self { secrets, connections: Arc::default() }
    }

    /// Sends a request to the peer at `address` and waits for its answer.
    ///
    /// # Errors
    /// Fails when no answer arrives within `limit`; the peer may have processed the request nevertheless.
    pub async fn request(&self, address: SocketAddr, body: request::Body, limit: Duration) -> PeerResult<answer::Body> {
        let (answer, received) = oneshot::channel();
        let requests = self.connection(address);
        let exchange = async {
            requests.send(PendingRequest { body, answer }).await.ok()?;
            received.await.ok()
        };
        match timeout(limit, exchange).await {
            Ok(Some(Some(body))) => Ok(body),
            Ok(Some(None)) => PeerSnafu { address, reason: "the peer cannot serve the request" }.fail(),
            Ok(None) => PeerSnafu { address, reason: "the connection ended" }.fail(),
            Err(_) => PeerSnafu { address, reason: "no answer in time" }.fail(),
        }
    }

    /// Has the peer at `address` open a connection to a backend server, on a stream of its own.
    ///
    /// # Errors
    /// Says why there is none.
    pub async fn open_tunnel(&self, address: SocketAddr, open: pb::OpenTunnel) -> Result<Tunnel, TunnelResult> {
        let lost = || TunnelResult::Unspecified;
        let names = format!("id={} instance={} address={address}", open.request, open.instance);
        let socket = open_socket(address).await.map_err(|_| lost())?;
        let mut stream = AuthenticatedStream::new(socket, self.secrets.clone(), true).await.ok_or_else(lost)?;
        let request = pb::Request { id: 1, body: Some(request::Body::OpenTunnel(open)) };
        stream.send(request.encode_to_vec()).await.ok_or_else(lost)?;
        let payload = stream.next().await.ok_or_else(lost)?;
        let answer = pb::Answer::decode(&payload[..]).map_err(|_| lost())?;
        match answer.body {
            Some(answer::Body::TunnelAnswer(answer)) if answer.result() == TunnelResult::Opened => {
                Ok(Tunnel::new(stream, names))
            }
            Some(answer::Body::TunnelAnswer(answer)) => Err(answer.result()),
            _ => Err(lost()),
        }
    }

    fn connection(&self, address: SocketAddr) -> mpsc::Sender<PendingRequest> {
        let mut connections = self.connections.lock();
        if let Some(sender) = connections.get(&address).filter(|s| !s.is_closed()) {
            return sender.clone();
        }
        let (sender, requests) = mpsc::channel(QUEUE_LENGTH);
        connections.retain(|_, sender| !sender.is_closed());
        connections.insert(address, sender.clone());
        tokio::spawn(run_connection(address, self.secrets.clone(), requests));
        sender
    }
}

async fn run_connection(address: SocketAddr, secrets: Secrets, mut requests: mpsc::Receiver<PendingRequest>) {
    let open = async {
        let socket = open_socket(address).await.ok()?;
        AuthenticatedStream::new(socket, secrets, true).await
    };
    let Ok(Some(mut stream)) = timeout(HANDSHAKE_TIMEOUT, open).await else { return };
    let mut pending = PendingAnswers::new();
    let mut silence = Silence::default();
    let mut last_id = 0;
    loop {
        tokio::select! {
            queued = requests.recv() => {
                let Some(queued) = queued else { return };
                last_id += 1;
                pending.retain(|_, answer| !answer.is_closed());
                pending.insert(last_id, queued.answer);
                let request = pb::Request { id: last_id, body: Some(queued.body) };
                silence.begin();
                if stream.send(request.encode_to_vec()).await.is_none() {
                    return;
                }
            }
            payload = stream.next() => {
                let Some(payload) = payload else { return };
                silence.end();
                let Ok(pb::Answer { id, body }) = pb::Answer::decode(&payload[..]) else {
                    return warn!("event=peer-malformed message=answer peer={address} bytes={}", payload.len());
                };
                if let Some(answer) = pending.remove(&id) {
                    answer.send(body).ok();
                }
                if !pending.is_empty() {
                    silence.begin();
                }
            }
            () = silence.lasted() => {
                if stream.receipts.take() {
                    // Part of a long frame has arrived.
                    silence.end();
                    silence.begin();
                } else if silence.is_probed() {
                    warn!("event=peer-silent peer={address} pending={} silent_ms={}", pending.len(), silence.elapsed_ms());
                    return;
                } else {
                    last_id += 1;
                    let request = pb::Request { id: last_id, body: Some(request::Body::AskStatus(pb::AskStatus {})) };
                    silence.probe();
                    if stream.send(request.encode_to_vec()).await.is_none() {
                        return;
                    }
                }
            }
            () = sleep(IDLE_TIMEOUT), if pending.is_empty() => return,
        }
    }
}

/// For how long a peer that owes an answer has sent nothing. A dead connection looks the same as one to a peer that
/// takes its time over a request, so the peer is asked for its status, which it answers at once.
#[derive(Debug, Default)]
struct Silence {
    since: Option<Instant>,
    probed_at: Option<Instant>,
}

impl Silence {
    /// An answer is owed from now on, if none was before.
    fn begin(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    fn end(&mut self) {
        *self = Self::default();
    }

    fn probe(&mut self) {
        self.probed_at = Some(Instant::now());
    }

    fn is_probed(&self) -> bool {
        self.probed_at.is_some()
    }

    fn elapsed_ms(&self) -> u128 {
        self.since.map_or(0, |since| since.elapsed().as_millis())
    }

    /// Waits until the peer is to be asked for a sign of life, or has not given one in time.
    async fn lasted(&self) {
        match (self.since, self.probed_at) {
            (_, Some(at)) => sleep_until(at + PROBE_TIMEOUT).await,
            (Some(since), None) => sleep_until(since + PROBE_AFTER).await,
            (None, None) => std::future::pending().await,
        }
    }
}

#[cfg(test)]
#[path = "peer_test.rs"]
mod peer_test;
