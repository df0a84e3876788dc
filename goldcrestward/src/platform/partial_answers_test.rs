//! Tests of the key-value service and the instance list when their answers are cut.

use std::{net::SocketAddr, time::Duration};

use prometheus::IntCounter;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::{Etcd, InstanceList};
use crate::{
    connection::HttpClient,
    process::{Refusals, ResponseMemory},
    store::{Compare, Error, Put, Revision, StorePort, Txn},
};

/// Memory for the answers, in bytes.
const MEMORY_BYTES: usize = 1024 * 1024;

/// A call to one of the services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    List,
    Get,
    Watch,
    Txn,
    Grant,
    Renew,
    Revoke,
    Instances,
}

impl Call {
    const ALL: [Self; 8] =
        [Self::List, Self::Get, Self::Watch, Self::Txn, Self::Grant, Self::Renew, Self::Revoke, Self::Instances];

    /// Body of the whole answer.
    fn answer(self) -> &'static str {
        match self {
            Self::List | Self::Get => {
                r#"{"header":{"revision":"12"},"kvs":[{"key":"YQ==","value":"eHl6","mod_revision":"6"},{"key":"Yg==","value":"eA=="}]}"#
            }
            Self::Watch => concat!(
                r#"{"result":{"events":[{"kv":{"key":"YQ==","value":"eHl6","mod_revision":"6"}}]}}"#,
                "\n",
                r#"{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}]}}"#,
                "\n",
            ),
            Self::Txn => r#"{"header":{"revision":"12"},"succeeded":true}"#,
            Self::Grant => r#"{"ID":"12","TTL":"3"}"#,
            Self::Renew => r#"{"result":{"ID":"12","TTL":"3"}}"#,
            Self::Revoke => r#"{"header":{"revision":"12"}}"#,
            Self::Instances => {
                r#"{"position":4,"instances":[{"id":"a","address":"127.0.0.1:9","pool":"p","version":"v","zone":"z","region":"r","state":"live"}]}"#
            }
        }
    }

    /// Makes the call and returns what it found out: nothing if the answer is lost, of a watch all changes up to its
    /// end.
    ///
    /// # Panics
    /// Panics if the call counts as not executed, as the server has read it.
    async fn perform(self, address: SocketAddr, client: &HttpClient) -> Vec<String> {
        let store = Etcd::new(address, client.clone(), ResponseMemory::new(MEMORY_BYTES), refusals());
        let result = match self {
            Self::List => store.list_page("test", "a", Revision::NONE, "").await.map(|found| format!("{found:?}")),
            Self::Get => store.get("test", "a").await.map(|found| format!("{found:?}")),
            Self::Watch => return watch_to_end(&store).await,
            Self::Txn => {
                let compares = vec![Compare { key: "a".into(), revision: Revision::NONE }];
                let puts = vec![Put { key: "a".into(), value: b"x".to_vec(), lease: 0 }];
                let txn = Txn { compares, puts, removes: Vec::new() };
                store.txn("test", &txn).await.map(|outcome| format!("{outcome:?}"))
            }
            Self::Grant => store.grant("test", Duration::from_secs(3)).await.map(|lease| format!("{lease:?}")),
            Self::Renew => store.renew("test", 12).await.map(|()| "renewed".to_owned()),
            Self::Revoke => store.revoke("test", 12).await.map(|()| "revoked".to_owned()),
            Self::Instances => {
                let memory = ResponseMemory::new(MEMORY_BYTES);
                let mut list = InstanceList::new(address, client.clone(), memory, refusals());
                list.changes().await.map(|instances| format!("{instances:?}"))
            }
        };
        match result {
            Ok(found) => vec![found],
            Err(Error::Unanswered { .. }) => Vec::new(),
            Err(error) => panic!("{self:?}: {error}"),
        }
    }
}

fn refusals() -> Refusals {
    Refusals::new(IntCounter::new("refused", "refused entries").expect("a valid name"))
}

/// Returns the changes of a watch until it ends.
async fn watch_to_end(store: &Etcd) -> Vec<String> {
    let mut found = Vec::new();
    let Ok(mut watch) = store.watch("test", "a", Revision::NONE).await else { return found };
    while let Ok(changes) = watch.next(Duration::MAX).await {
        found.push(format!("{changes:?}"));
    }
    found
}

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Close,
}

/// What the server does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Keep,
    Close,
    Reset,
}

/// Length of the head and the bytes of an answer.
fn encode(call: Call, framing: Framing) -> (usize, Vec<u8>) {
    let body = call.answer();
    let (first, last) = body.split_at(body.len() / 2);
    let (line, encoded) = match framing {
        Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body.to_owned()),
        Framing::Chunks => (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{:x}\r\n{first}\r\n{:x}\r\n{last}\r\n0\r\n\r\n", first.len(), last.len()),
        ),
        Framing::Close => (String::new(), body.to_owned()),
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{line}\r\n");
    (head.len(), (head + &encoded).into_bytes())
}

/// Server that gives the answer that was last set.
struct CuttingServer {
    address: SocketAddr,
    script: watch::Sender<(Vec<u8>, End)>,
}

impl CuttingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let script = watch::Sender::new((Vec::new(), End::Close));
        let answers = script.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answers.clone()));
            }
        });
        Self { address, script }
    }

    /// Makes a call whose answer is set to these bytes.
    async fn call(&self, call: Call, client: &HttpClient, bytes: &[u8], end: End) -> Vec<String> {
        self.script.send_replace((bytes.to_vec(), end));
        call.perform(self.address, client).await
    }
}

async fn serve(mut stream: TcpStream, answers: watch::Receiver<(Vec<u8>, End)>) {
    stream.set_nodelay(true).ok();
    while read_request(&mut stream).await.is_some() {
        let (bytes, end) = answers.borrow().clone();
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match end {
            End::Keep => {}
            End::Close => {
                stream.shutdown().await.ok();
                return;
            }
            End::Reset => {
                // What was sent before is read before the reset arrives.
                tokio::time::sleep(Duration::from_millis(2)).await;
                stream.set_zero_linger().ok();
                return;
            }
        }
    }
}

/// Reads a request with its body.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(());
            }
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
}

/// Guards against half an answer that counts as a whole one: a listing that lacks rows, a watch that goes on after a
/// change that was cut, or a call that counts as done or as not executed.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_services_cut_anywhere_count_as_lost() {
    let mut checks = JoinSet::new();
    for call in Call::ALL {
        checks.spawn(async move {
            let server = CuttingServer::start().await;
            for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
                for end in [End::Close, End::Reset] {
                    check_cuts(&server, call, framing, end).await;
                }
            }
        });
    }
    checks.join_all().await;
}

async fn check_cuts(server: &CuttingServer, call: Call, framing: Framing, end: End) {
    let client = HttpClient::new();
    let (_, whole) = encode(call, Framing::Length);
    // A watch is open until its answer ends.
    let kept = if call == Call::Watch { End::Close } else { End::Keep };
    let expected = server.call(call, &HttpClient::new(), &whole, kept).await;
    assert!(!expected.is_empty(), "{call:?}");
    let (head, bytes) = encode(call, framing);
    for cut in 0..=bytes.len() {
        if cut.is_multiple_of(2) && call != Call::Watch {
            // Leaves an idle connection for the call that is cut.
            server.call(call, &client, &whole, End::Keep).await;
        }
        let found = server.call(call, &client, &bytes[..cut], end).await;
        let context = format!("{call:?} with {framing:?}, {end:?} after {cut} bytes of {}", bytes.len());
        let is_whole = cut == bytes.len();
        if call == Call::Watch {
            let lines = bytes[head.min(cut)..cut].iter().filter(|byte| **byte == b'\n').count();
            assert!(expected.starts_with(&found) && found.len() <= lines, "{context}: {found:?}");
        } else if !is_whole {
            assert!(found.is_empty(), "{context}: {found:?}");
        }
        if is_whole && end == End::Close {
            assert_eq!(found, expected, "{context}");
        }
        if framing == Framing::Close && end == End::Reset && call != Call::Watch {
            assert!(found.is_empty(), "{context}: {found:?}");
        }
    }
}
