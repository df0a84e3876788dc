//! Tests of connections between daemons that fall silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use prometheus::IntCounter;
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

use super::{AuthenticatedStream, PeerClient, PeerHandler, serve_peers};
use crate::{
    connection::{CarriedConnection, Secrets},
    pb::{self, TunnelResult, answer, request},
};

/// Time that the handler takes over a request that waits for others.
const SLOW: Duration = Duration::from_millis(2_500);
/// Size of a state that exceeds what the frames of earlier versions hold, in bytes.
const LARGE_BYTES: usize = 6 * 1024 * 1024;

/// Answers questions about its status at once, claims slowly, and pulls with a large state.
#[derive(Clone)]
struct Handler;

impl PeerHandler for Handler {
    async fn handle(&self, body: request::Body) -> Option<answer::Body> {
        match body {
            request::Body::Claim(_) => {
                tokio::time::sleep(SLOW).await;
                Some(answer::Body::ClaimAnswer(pb::ClaimAnswer::default()))
            }
            request::Body::PullConfig(_) => {
                let text = Some("x".repeat(LARGE_BYTES));
                let files = vec![pb::ConfigFile { name: "large".into(), text, ..pb::ConfigFile::default() }];
                Some(answer::Body::ConfigDelta(pb::ConfigDelta { files, ..pb::ConfigDelta::default() }))
            }
            _ => Some(answer::Body::StatusReport(pb::StatusReport::default())),
        }
    }

    fn count_unknown(&self) {}

    async fn open_tunnel(&self, _: pb::OpenTunnel) -> Result<CarriedConnection, TunnelResult> {
        Err(TunnelResult::Unknown)
    }
}

/// A way to a peer whose open connections can fall silent for good: they take bytes and pass none on.
struct Way {
    address: SocketAddr,
    silenced: watch::Sender<usize>,
    opened: Arc<AtomicUsize>,
}

impl Way {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let (silenced, opened) = (watch::Sender::new(0), Arc::new(AtomicUsize::new(0)));
        let (state, count) = (silenced.subscribe(), opened.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::Relaxed) + 1;
                let Ok(far) = TcpStream::connect(to).await else { return };
                let (near, far) = (near.into_split(), far.into_split());
                tokio::spawn(copy(near.0, far.1, number, state.clone()));
                tokio::spawn(copy(far.0, near.1, number, state.clone()));
            }
        });
        Self { address, silenced, opened }
    }

    fn silence(&self) {
        self.silenced.send_replace(self.opened());
    }

    fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: usize, silenced: watch::Receiver<usize>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if *silenced.borrow() < number && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn start() -> (PeerClient, Way) {
    let secrets = Secrets::new(&["a secret of the tests".to_owned()]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let way = Way::start(listener.local_addr().expect("a bound socket")).await;
    let rejected = IntCounter::new("rejected", "rejected").expect("a counter");
    tokio::spawn(serve_peers(listener, secrets.clone(), Handler, rejected));
    (PeerClient::new(secrets), way)
}

fn status() -> request::Body {
    request::Body::AskStatus(pb::AskStatus {})
}

/// Guards against CONFIG: a connection to a peer that had fallen silent was used for ever, each request on it being
/// replaced by the next.
#[tokio::test(flavor = "multi_thread")]
async fn request_after_silence_uses_new_connection() {
    let (client, way) = start().await;
    assert!(client.request(way.address, status(), SLOW).await.is_ok());
    way.silence();
    let mut failed = 0;
    while client.request(way.address, status(), Duration::from_millis(100)).await.is_err() {
        failed += 1;
        assert!(failed < 30, "{failed} requests in a row had no answer");
    }
    assert_eq!(way.opened(), 2);
}

/// A request that waits on a connection that is found dead fails at once, so that its sender can ask again.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_silent_connection_fails_before_its_limit() {
    let (client, way) = start().await;
    assert!(client.request(way.address, status(), SLOW).await.is_ok());
    way.silence();
    let error = client.request(way.address, status(), 4 * SLOW).await.expect_err("no answer");
    assert!(error.to_string().contains("the connection ended"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_takes_long_is_not_taken_for_silence() {
    let (client, way) = start().await;
    let claim = request::Body::Claim(pb::Claim::default());
    assert!(matches!(client.request(way.address, claim, 3 * SLOW).await, Ok(answer::Body::ClaimAnswer(_))));
    assert_eq!(way.opened(), 1);
}

/// Guards against CONFIG: a state of more than 4 MiB was never passed on between daemons.
#[tokio::test(flavor = "multi_thread")]
async fn request_for_large_state_is_answered() {
    let (client, way) = start().await;
    let answer = client.request(way.address, request::Body::PullConfig(pb::PullConfig::default()), 4 * SLOW).await;
    let Ok(answer::Body::ConfigDelta(delta)) = answer else { panic!("no state: {answer:?}") };
    assert_eq!(delta.files[0].text.as_ref().map(String::len), Some(LARGE_BYTES));
}

/// Encoded field with a number that no message of the protocol has: a string of two bytes.
const UNKNOWN_FIELD: [u8; 5] = [0xa2, 0x7d, 2, b'h', b'i'];

/// Guards against a daemon that closes the connection, and so fails all requests on it, when a newer one sends a request
/// that it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn serve_unknown_request_is_passed_over() {
    let (_, way) = start().await;
    let secrets = Secrets::new(&["a secret of the tests".to_owned()]);
    let socket = TcpStream::connect(way.address).await.expect("a listening peer");
    let mut stream = AuthenticatedStream::new(socket, secrets, true).await.expect("the secret of the peer");
    let mut unknown = pb::Request { id: 7, body: None }.encode_to_vec();
    unknown.extend(UNKNOWN_FIELD);
    stream.send(unknown).await.expect("an open stream");
    stream.send(pb::Request { id: 8, body: Some(status()) }.encode_to_vec()).await.expect("an open stream");
    let mut answers = Vec::new();
    while let Some(payload) = stream.next().await {
        answers.push(pb::Answer::decode(&payload[..]).expect("an answer"));
        if answers.len() == 2 {
            break;
        }
    }
    answers.sort_by_key(|answer| answer.id);
    let bodies: Vec<_> = answers.iter().map(|answer| (answer.id, answer.body.is_some())).collect();
    assert_eq!(bodies, [(7, false), (8, true)]);
}

/// Guards against a daemon that closes the connection when a newer one answers with what it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_unknown_answer_fails_alone() {
    let secrets = Secrets::new(&["a secret of the tests".to_owned()]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let client = PeerClient::new(secrets.clone());
    let serve = async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        let mut stream = AuthenticatedStream::new(socket, secrets, false).await.expect("the secret of the client");
        let mut served = 0;
        while let Some(payload) = stream.next().await {
            let request = pb::Request::decode(&payload[..]).expect("a request");
            let known = answer::Body::StatusReport(pb::StatusReport::default());
            let body = (served > 0).then_some(known);
            let mut answer = pb::Answer { id: request.id, body }.encode_to_vec();
            answer.extend(UNKNOWN_FIELD);
            stream.send(answer).await;
            served += 1;
        }
    };
    tokio::spawn(serve);
    let error = client.request(address, status(), SLOW).await.expect_err("an answer that is not known");
    assert!(error.to_string().contains("the peer cannot serve the request"), "{error}");
    // The listener takes no second connection.
    assert!(client.request(address, status(), SLOW).await.is_ok());
}
