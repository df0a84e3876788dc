//! Servers that want nothing: their entries that are removed and come back, and requests that they have turned away.

use std::{
    pin::pin,
    sync::Arc,
    task::{Context, Wake},
    time::Duration,
};

use parking_lot::Mutex;

use super::Replicas;
use crate::{
    port::{Instance, InstanceState},
    process::{
        Rank,
        brittle::DaemonRank,
        health::AttemptOutcome,
        placement::PromptCost,
        replicas::{NoReplica, Offer, PlacementQuery, Replica, ReplicaQuery},
    },
    version::VersionRule,
};

const HOLD: Duration = Duration::from_secs(5);

fn entry(started_unix_ms: u64) -> Instance {
    Instance {
        id: "server".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        pool: "pool".into(),
        version: "v1".into(),
        zone: "zone".into(),
        region: "region".into(),
        state: InstanceState::Live,
        slots: 8,
        reclaimable: false,
        warm_up: Duration::ZERO,
        leaves_in: None,
        started_unix_ms,
    }
}

const NO_PROMPT: PromptCost = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 0.0 };

fn query<'a>(tried: &'a [Arc<str>]) -> PlacementQuery<'a> {
    PlacementQuery {
        pool: "pool",
        prompt_cost: &NO_PROMPT,
        versions: &VersionRule::Any,
        tried,
        zone: "zone",
        region: "region",
        crash_score: 0,
        salt: 0,
        daemon: DaemonRank { rank: 0, count: 1 },
        agreed_ms: 0,
        now: 100,
    }
}

/// Guards against BUDGET: a server whose entry went and came back got requests in the time for which it wanted none.
#[test]
fn update_keeps_the_hold_of_a_run_whose_entry_comes_back() {
    for (started, returns_as, expected) in [(1, 1, true), (1, 2, false), (0, 0, false)] {
        let replicas = Replicas::default();
        replicas.update(vec![entry(started)], 0);
        let end = replicas.find("server").expect("a known server").hold(HOLD, 10);
        assert_eq!(end, Some(5_010));
        replicas.remove("server", 20);
        replicas.update(vec![entry(returns_as)], 30);
        let server = replicas.find("server").expect("a known server");
        assert_eq!(server.is_held(40), expected, "start {started}, returns as {returns_as}");
        assert!(!server.is_held(5_010), "the time does not end");
    }
}

/// Guards against a server's other names that are chosen again and again, and its own that is shut out with them.
#[test]
fn place_passes_over_an_entry_whose_address_another_instance_has() {
    let replicas = Replicas::default();
    replicas.update(vec![Instance { id: "copy".into(), ..entry(1) }, entry(1)], 0);
    let copy = replicas.find("copy").expect("known");
    assert_eq!(replicas.record_misdirected(&copy, 10), Some(0));
    assert_eq!(replicas.record_misdirected(&copy, 11), None, "logged again");
    let chosen = |now| {
        let query = |salt| PlacementQuery { salt, now, ..query(&[]) };
        let ids = (0..64).filter_map(|salt| Some(replicas.place(&query(salt)).ok()?.accept().replica().id.clone()));
        ids.filter(|id| **id == *"copy").count()
    };
    assert_eq!(chosen(100), 0);
    replicas.update(vec![Instance { id: "copy".into(), slots: 9, ..entry(1) }], 200);
    assert_eq!(chosen(300), 0, "used again as the rest of the entry has changed");
    assert_eq!(chosen(40_000), 1, "requests after the pause");
    assert_eq!(chosen(41_000), 0, "another request in the next pause");
    replicas.remove("server", 50_000);
    assert_eq!(replicas.place(&PlacementQuery { now: 50_000, ..query(&[]) }).err(), Some(NoReplica::None));
    let address = "10.0.0.2:80".parse().expect("an address");
    replicas.update(vec![Instance { id: "copy".into(), address, ..entry(1) }], 60_000);
    assert!(replicas.place(&PlacementQuery { now: 60_000, ..query(&[]) }).is_ok(), "out at its new address");
    let moved = replicas.find("copy").expect("known");
    replicas.record_misdirected(&moved, 61_000);
    assert!(replicas.place(&PlacementQuery { now: 62_000, ..query(&[]) }).is_err());
    replicas.update(vec![Instance { id: "copy".into(), address: moved.address, ..entry(2) }], 63_000);
    assert!(replicas.place(&PlacementQuery { now: 63_000, ..query(&[]) }).is_ok(), "out though it has started again");
    assert!(!moved.is_leaving() && !moved.is_ejected(63_000));
}

/// Guards against a version that is chosen as only another version's server is listed under its name, and against copies
/// of an entry that count as servers of their own.
#[test]
fn servers_counts_none_that_another_instance_stands_for() {
    let replicas = Replicas::default();
    let copy = |id: &str, version: &str| Instance { id: id.into(), version: version.into(), ..entry(1) };
    replicas.update(vec![entry(1), copy("copy-1", "v1"), copy("copy-2", "v2")], 0);
    let count = |now| replicas.servers("pool", now).len();
    assert_eq!(count(1), 1, "one server under three names");
    assert!(replicas.serves("pool", |version| version == "v2", 1), "not known to be false yet");
    for id in ["copy-1", "copy-2"] {
        replicas.record_misdirected(&replicas.find(id).expect("known"), 10);
    }
    assert!(!replicas.serves("pool", |version| version == "v2", 11), "a version without a server of its own");
    assert!(replicas.serves("pool", |version| version == "v1", 11));
    let ids: Vec<_> = replicas.servers("pool", 11).iter().map(|server| server.id.clone()).collect();
    assert_eq!(ids, ["server".into()]);
    let other = Instance { id: "other".into(), address: "10.0.0.2:80".parse().expect("an address"), ..entry(1) };
    replicas.update(vec![other, Instance { state: InstanceState::Leaving, ..entry(1) }], 20);
    let ids: Vec<_> = replicas.servers("pool", 21).iter().map(|server| server.id.clone()).collect();
    assert_eq!(ids, ["other".into()]);
}

/// Guards against requests that get no time to come back after: the servers that had turned them away, all that there
/// were, had named one.
#[test]
fn place_names_the_time_of_servers_that_were_tried_and_want_nothing() {
    let server = |id: &str| Instance { id: id.into(), ..entry(1) };
    let cases: [(&[&str], &[&str], NoReplica); 4] = [
        (&["a"], &["a"], NoReplica::Held(Duration::from_millis(4_900))),
        (&["a", "b"], &["a", "b"], NoReplica::Held(Duration::from_millis(4_900))),
        (&["a", "b"], &["b"], NoReplica::Held(Duration::from_millis(4_900))),
        (&["a", "b", "sound"], &["a", "b", "sound"], NoReplica::None),
    ];
    for (servers, tried, expected) in cases {
        let replicas = Replicas::default();
        replicas.update(servers.iter().map(|id| server(id)).collect(), 0);
        for (number, id) in servers.iter().filter(|id| **id != "sound").enumerate() {
            replicas.find(id).expect("a known server").hold(HOLD * (number as u32 + 1), 0);
        }
        let tried: Vec<Arc<str>> = tried.iter().map(|id| Arc::from(*id)).collect();
        assert_eq!(replicas.place(&query(&tried)).err(), Some(expected), "{servers:?}, tried {tried:?}");
    }
}

/// Guards against a pool most of whose servers fail, whose sound ones got no more requests than the others.
#[test]
fn choose_prefers_the_few_that_are_not_ejected_while_they_have_room() {
    const CONCURRENCY: u32 = 4;
    let servers = ["a", "b", "c", "sound"];
    let replicas = Replicas::default();
    replicas.update(servers.iter().map(|id| Instance { id: (*id).into(), ..entry(1) }).collect(), 0);
    for id in &servers[..3] {
        replicas.find(id).expect("a known server").eject(0);
    }
    let choose = |key| {
        let query = ReplicaQuery {
            pool: "pool",
            key,
            version: None,
            region: "region",
            concurrency: CONCURRENCY,
            crash_score: 0,
            tried: &[],
            now: 100,
        };
        replicas.choose(&query).expect("there is room")
    };
    let guards: Vec<_> = (0..2 * CONCURRENCY).map(|key| choose(u64::from(key))).collect();
    let chosen: Vec<_> = guards.iter().map(|guard| &*guard.replica().id).collect();
    let (first, others) = chosen.split_at(CONCURRENCY as usize);
    assert!(first.iter().all(|id| *id == "sound"), "{first:?}");
    assert!(others.iter().any(|id| *id != "sound"), "{others:?}");
}

/// Guards against refusals as busy while a server has free slots that recent failures make dearer than a full one.
#[test]
fn place_free_finds_the_server_that_place_passes_over() {
    let replicas = Replicas::default();
    replicas.update(vec![Instance { id: "full".into(), ..entry(1) }, Instance { id: "failing".into(), ..entry(1) }], 0);
    let (full, failing) = (replicas.find("full").expect("known"), replicas.find("failing").expect("known"));
    failing.update_failure_score(AttemptOutcome::Failure, 100);
    let guards: Vec<_> = (0..8).map(|_| replicas.place(&query(&[])).map(Offer::accept)).collect();
    assert!(guards.iter().all(Result::is_ok) && full.in_flight() == 8);
    let offer = replicas.place(&query(&[])).expect("a server");
    assert!(offer.replica().id == full.id && !offer.placement.has_free_slot);
    let free = replicas.place_free(&query(&[])).expect("a free slot");
    assert!(free.replica().id == failing.id && free.placement.has_free_slot);
    let _filled: Vec<_> = (0..8).map(|_| replicas.place_free(&query(&[])).map(Offer::accept)).collect();
    assert_eq!(replicas.place_free(&query(&[])).err(), Some(NoReplica::None));
}

/// Notes how many requests are in flight at a server when a request that waits is woken.
struct WakeProbe {
    replica: Arc<Replica>,
    in_flight: Mutex<Vec<u32>>,
}

impl Wake for WakeProbe {
    fn wake(self: Arc<Self>) {
        self.in_flight.lock().push(self.replica.in_flight());
    }
}

/// Guards against a woken request that finds the place still taken, waits on and leaves it free meanwhile.
#[tokio::test]
async fn drop_of_a_guard_frees_its_place_before_it_wakes_the_next_request() {
    let replicas = Replicas::default();
    replicas.update(vec![entry(1)], 0);
    let guard = replicas.place(&query(&[])).expect("a place").accept();
    let replica = guard.replica().clone();
    let queue = replicas.admission_queues.for_pool(&"pool".into());
    let mut waiting = pin!(queue.wait(Rank { priority: 0, due_ms: 0 }, HOLD));
    let probe = Arc::new(WakeProbe { replica, in_flight: Mutex::default() });
    let waker = probe.clone().into();
    assert!(waiting.as_mut().poll(&mut Context::from_waker(&waker)).is_pending());
    drop(guard);
    assert_eq!(*probe.in_flight.lock(), [0]);
}
