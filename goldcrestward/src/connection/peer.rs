//! Streams between daemons: framed messages with a proof on each, one connection to a peer.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prometheus::IntCounter;
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{
    error::{PeerSnafu, Result},
    seal::Secrets,
};
use crate::pb::{self, answer, request};

/// Largest frame between daemons.
const FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Time to open a connection and exchange proofs.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a peer to take a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests waiting on one link.
const QUEUE: usize = 1024;
/// Time after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Stream = Framed<TcpStream, LengthDelimitedCodec>;
type Waiting = HashMap<u64, oneshot::Sender<answer::Body>>;

/// What answers a peer's requests.
pub(crate) trait PeerHandler: Clone + Send + Sync + 'static {
    /// Serves one request.
    fn handle(&self, body: request::Body) -> impl Future<Output = Option<answer::Body>> + Send;
}

/// A stream whose other side has proved that it knows the site's secret.
struct AuthStream {
    stream: Stream,
    secrets: Secrets,
    session: Vec<u8>,
    sent: u64,
    received: u64,
}

impl AuthStream {
    /// Exchanges proofs; `first` speaks first.
    async fn new(socket: TcpStream, secrets: Secrets, first: bool) -> Option<Self> {
        socket.set_nodelay(true).ok();
        let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec();
        let mut stream = Framed::new(socket, codec);
        let mine: [u8; 16] = rand::random();
        if first {
            stream.send(hello(&mine, Vec::new())).await.ok()?;
            let reply = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
            let session = [&mine[..], &reply.nonce].concat();
            if !secrets.verify(&[b"second", &session], &reply.proof) {
                return None;
            }
            let proof = secrets.sign(&[b"first", &session]);
            stream.send(hello(&mine, proof)).await.ok()?;
            return Some(Self { stream, secrets, session, sent: 0, received: 0 });
        }
        let ask = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
        let session = [&ask.nonce[..], &mine].concat();
        stream.send(hello(&mine, secrets.sign(&[b"second", &session]))).await.ok()?;
        let last = pb::Hello::decode(stream.next().await?.ok()?).ok()?;
        let proven = secrets.verify(&[b"first", &session], &last.proof);
        proven.then_some(Self { stream, secrets, session, sent: 1 << 63, received: 1 << 63 })
    }

    async fn send(&mut self, payload: Vec<u8>) -> Option<()> {
        let mac = self.secrets.sign(&[&self.session, &self.sent.to_le_bytes(), &payload]);
        self.sent += 1;
        let frame = pb::Frame { payload, mac };
        let sending = self.stream.send(Bytes::from(frame.encode_to_vec()));
        timeout(SEND_TIMEOUT, sending).await.ok()?.ok()
    }

    async fn next(&mut self) -> Option<Vec<u8>> {
        let frame = pb::Frame::decode(self.stream.next().await?.ok()?).ok()?;
        // Each side's frames carry the other half of the counter's range.
        let counter = self.received ^ (1 << 63);
        self.received += 1;
        let parts: [&[u8]; 3] = [&self.session, &counter.to_le_bytes(), &frame.payload];
        self.secrets.verify(&parts, &frame.mac).then_some(frame.payload)
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
    strangers: IntCounter,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (secrets, handler, strangers) = (secrets.clone(), handler.clone(), strangers.clone());
        tokio::spawn(async move {
            let handshake = timeout(HANDSHAKE_TIMEOUT, AuthStream::new(socket, secrets, false)).await;
            match handshake.ok().flatten() {
                Some(stream) => answer_stream(stream, handler).await,
                None => strangers.inc(),
            }
        });
    }
}

async fn answer_stream<H: PeerHandler>(mut stream: AuthStream, handler: H) {
    let (sender, mut answers) = mpsc::channel::<pb::Answer>(QUEUE);
    loop {
        tokio::select! {
            payload = stream.next() => {
                let Some(payload) = payload else { return };
                let Ok(pb::Request { id, body: Some(body) }) = pb::Request::decode(&payload[..]) else { return };
                let (handler, sender) = (handler.clone(), sender.clone());
                tokio::spawn(async move {
                    let body = handler.handle(body).await;
                    sender.send(pb::Answer { id, body }).await.ok();
                });
            }
            Some(answer) = answers.recv() => {
                if stream.send(answer.encode_to_vec()).await.is_none() {
                    return;
                }
            }
        }
    }
}

struct Ask {
    body: request::Body,
    reply: oneshot::Sender<answer::Body>,
}

/// Connections to peers, opened when first needed.
#[derive(Clone)]
pub(crate) struct PeerClient {
    secrets: Secrets,
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<Ask>>>>,
}

impl PeerClient {
    /// No connections yet.
    pub fn new(secrets: Secrets) -> Self {
        Self { secrets, links: Arc::default() }
    }

    /// Asks the peer at `address`.
    ///
    /// # Errors
    /// Fails when no answer comes within `limit`; the request may have been acted on all the same.
    pub async fn request(&self, address: SocketAddr, body: request::Body, limit: Duration) -> Result<answer::Body> {
        let (reply, answer) = oneshot::channel();
        let sender = self.link(address);
        let exchange = async {
            sender.send(Ask { body, reply }).await.ok()?;
            answer.await.ok()
        };
        match timeout(limit, exchange).await {
            Ok(Some(body)) => Ok(body),
            Ok(None) => PeerSnafu { address, reason: "the connection ended" }.fail(),
            Err(_) => PeerSnafu { address, reason: "no answer in time" }.fail(),
        }
    }

    fn link(&self, address: SocketAddr) -> mpsc::Sender<Ask> {
        let mut links = self.links.lock();
        if let Some(sender) = links.get(&address).filter(|s| !s.is_closed()) {
            return sender.clone();
        }
        let (sender, asks) = mpsc::channel(QUEUE);
        links.retain(|_, sender| !sender.is_closed());
        links.insert(address, sender.clone());
        tokio::spawn(run_link(address, self.secrets.clone(), asks));
        sender
    }
}

async fn run_link(address: SocketAddr, secrets: Secrets, mut asks: mpsc::Receiver<Ask>) {
    let open = async {
        let socket = TcpStream::connect(address).await.ok()?;
        AuthStream::new(socket, secrets, true).await
    };
    let Ok(Some(mut stream)) = timeout(HANDSHAKE_TIMEOUT, open).await else { return };
    let mut waiting = Waiting::new();
    let mut next = 0;
    loop {
        tokio::select! {
            ask = asks.recv() => {
                let Some(ask) = ask else { return };
                next += 1;
                waiting.retain(|_, reply| !reply.is_closed());
                waiting.insert(next, ask.reply);
                let request = pb::Request { id: next, body: Some(ask.body) };
                if stream.send(request.encode_to_vec()).await.is_none() {
                    return;
                }
            }
            payload = stream.next() => {
                let Some(payload) = payload else { return };
                let Ok(pb::Answer { id, body: Some(body) }) = pb::Answer::decode(&payload[..]) else { return };
                if let Some(reply) = waiting.remove(&id) {
                    reply.send(body).ok();
                }
            }
            () = tokio::time::sleep(IDLE_TIMEOUT), if waiting.is_empty() => return,
        }
    }
}
