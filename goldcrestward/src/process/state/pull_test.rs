//! Pulls of a state that is too large for one frame, over real connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use prometheus::IntCounter;
use tokio::{net::TcpListener, sync::Semaphore};

use super::pull_pieces;
use crate::{
    config::ConfigReplica,
    connection::{CarriedConnection, PeerClient, PeerHandler, Secrets, serve_peers},
    pb::{self, FileOrigin, TunnelResult, answer, request},
    store::Revision,
};

/// Files of the state; all together exceed the largest frame.
const FILES: u64 = 40;
const FILE_BYTES: usize = 1024 * 1024;
const LIMIT: Duration = Duration::from_secs(30);

/// Answers pulls from a replica, which `change` changes after each answer.
#[derive(Clone)]
struct Handler {
    replica: Arc<Mutex<ConfigReplica>>,
    change: fn(&mut ConfigReplica),
}

impl PeerHandler for Handler {
    async fn handle(&self, body: request::Body) -> Option<answer::Body> {
        let request::Body::PullConfig(pull) = body else { return None };
        let mut replica = self.replica.lock();
        let delta = replica.answer_pull(&pull);
        (self.change)(&mut replica);
        Some(answer::Body::ConfigDelta(delta))
    }

    fn count_unknown(&self) {}

    async fn open_tunnel(&self, _: pb::OpenTunnel) -> Result<CarriedConnection, TunnelResult> {
        Err(TunnelResult::Unknown)
    }
}

fn file(number: u64, revision: Revision) -> pb::ConfigFile {
    let name = format!("file-{number:03}");
    let text = Some(format!("{revision}").repeat(FILE_BYTES / format!("{revision}").len()));
    pb::ConfigFile { name, revision: revision.ordinal(), text, ..pb::ConfigFile::default() }
}

fn large_state() -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    let files = (1..=FILES).map(|number| file(number, Revision::new(1, number))).collect();
    let revision = Revision::new(1, FILES).ordinal();
    assert!(replica.replace(pb::ConfigDelta { revision, files, whole: true, next: None }));
    replica
}

/// Starts a peer with a large state.
async fn start(change: fn(&mut ConfigReplica)) -> (PeerClient, SocketAddr, Handler) {
    let secrets = Secrets::new(&["a secret of the tests".to_owned()]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let rejected = IntCounter::new("rejected", "rejected").expect("a counter");
    let handler = Handler { replica: Arc::new(Mutex::new(large_state())), change };
    tokio::spawn(serve_peers(listener, secrets.clone(), handler.clone(), rejected));
    (PeerClient::new(secrets), address, handler)
}

fn contents(replica: &ConfigReplica) -> Vec<(Arc<str>, Arc<str>, Revision)> {
    replica.with_prefix("")
}

/// Guards against CONFIG: a state of more than 32 MiB was never passed on between daemons.
#[tokio::test(flavor = "multi_thread")]
async fn pull_of_a_large_state_gets_all_of_it() {
    let (client, address, peer) = start(|_| {}).await;
    for kept_only in [false, true] {
        let request = pb::PullConfig { kept_only, ..pb::PullConfig::default() };
        let delta = pull_pieces(&client, address, request, LIMIT, &Semaphore::new(1)).await.expect("all pieces");
        if kept_only {
            assert!(delta.files.is_empty(), "no restore, so nothing is known from before one");
            continue;
        }
        let mut pulled = ConfigReplica::default();
        assert!(pulled.merge(delta));
        assert_eq!(contents(&pulled), contents(&peer.replica.lock()));
    }
}

/// Files that are removed, changed and added between two pieces are as the peer has them after the next pull.
#[tokio::test(flavor = "multi_thread")]
async fn pull_of_a_changing_state_converges() {
    let (client, address, peer) = start(|replica| {
        let revision = Revision::new(1, replica.revision().number() + 3);
        let number = revision.number() % FILES + 1;
        let removed = pb::ConfigFile { text: None, ..file(number, revision) };
        let files = vec![removed, file(FILES + 1 - number, revision), file(FILES + number, revision)];
        replica.merge(pb::ConfigDelta { revision: revision.ordinal(), files, whole: false, next: None });
    })
    .await;
    let mut pulled = ConfigReplica::default();
    let delta =
        pull_pieces(&client, address, pb::PullConfig::default(), LIMIT, &Semaphore::new(1)).await.expect("all pieces");
    assert!(pulled.merge(delta));
    assert!(pulled.revision() < peer.replica.lock().revision(), "nothing changed, so the test proves nothing");
    let request = pb::PullConfig { from: pulled.revision().ordinal(), ..pb::PullConfig::default() };
    let rest = peer.replica.lock().answer_pull(&request);
    assert!(pulled.merge(rest));
    assert_eq!(contents(&pulled), contents(&peer.replica.lock()));
}

/// Guards against a state that is put together from pieces before and after a restore of the store.
#[tokio::test(flavor = "multi_thread")]
async fn pull_fails_if_the_store_is_restored_between_two_pieces() {
    let (client, address, _peer) = start(|replica| {
        let revision = Revision::new(2, 1);
        replica.replace(pb::ConfigDelta { revision: revision.ordinal(), whole: true, ..pb::ConfigDelta::default() });
    })
    .await;
    let pulled = pull_pieces(&client, address, pb::PullConfig::default(), LIMIT, &Semaphore::new(1)).await;
    assert!(pulled.as_ref().is_err_and(|error| error.contains("changed between two pieces")), "{pulled:?}");
}

/// Guards against many copies of a large state that are pulled at once while the first pull goes on.
#[tokio::test(flavor = "multi_thread")]
async fn pull_of_a_large_state_ends_after_its_first_piece_while_another_goes_on() {
    let (client, address, _peer) = start(|_| {}).await;
    let pulled = pull_pieces(&client, address, pb::PullConfig::default(), LIMIT, &Semaphore::new(0)).await;
    assert_eq!(pulled.map(drop), Err("another long pull is under way".to_owned()));
}

/// Daemons of earlier versions ask for no pieces and get all files at once.
#[test]
fn answer_pull_contains_all_files_for_daemons_that_take_no_pieces() {
    let replica = large_state();
    let answer = replica.answer_pull(&pb::PullConfig::default());
    assert_eq!((answer.files.len() as u64, answer.next, answer.whole), (FILES, None, true));
    assert!(answer.files.iter().all(|file| file.origin() == FileOrigin::Written));
}
