//! Entries of the store and answers of a server that leaves, in any order, at one daemon and at many.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};

use crate::{
    port::{Instance, InstanceState},
    process::replicas::Replicas,
};

/// Numbers of daemons.
const SIZES: [usize; 3] = [7, 87, 195];
const SEEDS: u64 = 4;
const POOL: &str = "pool";

/// What a daemon learns of a server, which has the same name and address in both of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The entry says that the run is ready.
    Ready,
    /// The entry says that the run is draining.
    Draining,
    /// The entry is gone; it may come back.
    Removed,
    /// An answer of the run, here or at another daemon, says that it is leaving.
    Answer,
}

fn entry(started_unix_ms: u64, state: InstanceState) -> Instance {
    Instance {
        id: "server".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        pool: POOL.into(),
        version: "v1".into(),
        zone: "zone".into(),
        region: "region".into(),
        state,
        slots: 8,
        reclaimable: false,
        warm_up: Duration::ZERO,
        leaves_in: None,
        started_unix_ms,
    }
}

/// Key of the run's statements.
fn key(started_unix_ms: u64) -> u64 {
    let replicas = Replicas::default();
    replicas.update(vec![entry(started_unix_ms, InstanceState::Live)], 0);
    replicas.find("server").expect("a known server").statement_key()
}

fn apply(replicas: &Replicas, event: Event, run: u64, now: u64) {
    match event {
        Event::Ready => replicas.update(vec![entry(run, InstanceState::Live)], now),
        Event::Draining => replicas.update(vec![entry(run, InstanceState::Leaving)], now),
        Event::Removed => replicas.remove("server", now),
        Event::Answer => {
            replicas.state_leaving(key(run), now, now);
        }
    }
}

fn takes_requests(replicas: &Replicas) -> bool {
    replicas.serves(POOL, |_| true, 0)
}

/// All orders of the events.
fn permutations(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let with_first = |index: usize| {
        let mut rest = events.to_vec();
        let first = rest.remove(index);
        permutations(&rest).into_iter().map(move |rest| [vec![first], rest].concat())
    };
    (0..events.len()).flat_map(with_first).collect()
}

/// Guards against an entry that makes a server ready again after it has said that it is leaving.
#[test]
fn leaving_is_final_for_a_run_in_any_order_of_events() {
    let events = [Event::Ready, Event::Ready, Event::Draining, Event::Removed, Event::Answer];
    for run in [0, 1] {
        for order in permutations(&events) {
            let replicas = Replicas::default();
            let mut said = false;
            for (now, event) in order.iter().enumerate() {
                apply(&replicas, *event, run, now as u64);
                said |= matches!(event, Event::Draining | Event::Answer);
                // Without a time of start, an entry that comes back may be that of the next run.
                said &= run > 0 || *event != Event::Removed;
                assert!(!said || !takes_requests(&replicas), "run {run}, {order:?}, after event {now}");
            }
            apply(&replicas, Event::Ready, run + 1, 10);
            assert!(takes_requests(&replicas), "run {run}, {order:?}: the next run is not used");
            apply(&replicas, Event::Answer, run, 11);
            assert!(takes_requests(&replicas), "run {run}, {order:?}: an answer of the run before counts for the next");
        }
    }
}

/// All daemons get the same events, each in an order of its own and some twice. Bound: none uses a run that it knows to be
/// leaving, and in the end all use the next run only.
#[test]
fn daemons_agree_whatever_order_events_reach_them_in() {
    for daemons in SIZES {
        for seed in 0..SEEDS {
            let mut random = SmallRng::seed_from_u64(seed);
            for daemon in 0..daemons {
                let replicas = Replicas::default();
                let mut events = [Event::Ready, Event::Draining, Event::Answer, Event::Answer, Event::Ready];
                events.shuffle(&mut random);
                for (now, event) in events.into_iter().enumerate() {
                    apply(&replicas, event, 1, now as u64);
                }
                let label = format!("{daemons} daemons, seed {seed}, daemon {daemon}, {events:?}");
                assert!(!takes_requests(&replicas), "{label}");
                apply(&replicas, Event::Ready, 2, 10);
                assert!(takes_requests(&replicas), "{label}: the next run is not used");
                apply(&replicas, Event::Answer, 2, 11);
                apply(&replicas, Event::Ready, 2, 12);
                assert!(!takes_requests(&replicas), "{label}: the next run left too");
            }
        }
    }
}

/// Guards against a daemon that learns that a run is leaving before it knows its entry, as after a restart.
#[test]
fn statement_of_an_unknown_run_applies_to_its_entry() {
    let replicas = Replicas::default();
    let news = replicas.state_leaving(key(1), 0, 0).expect("news");
    assert!(news.replica.is_none());
    apply(&replicas, Event::Ready, 1, 1);
    assert!(!takes_requests(&replicas));
    assert!(replicas.state_leaving(key(1), 2, 2).is_none(), "the statement is no news");
}

/// Guards against DRAIN: an answer of a run whose entry came later counted for the run before under the same id and address,
/// so that the new entry made the leaving server ready.
#[test]
fn answer_counts_for_the_run_that_was_asked_whenever_its_entry_comes() {
    const FIRST: u64 = 1_000_000;
    const SECOND: u64 = 2_000_000;
    // When the request was sent, and whether its answer is that of the second run.
    for (asked, is_second) in [(SECOND + 1_000, true), (SECOND - 1_000, false), (FIRST + 1_000, false)] {
        for is_known in [false, true] {
            let replicas = Replicas::default();
            replicas.update(vec![entry(FIRST, InstanceState::Live)], 0);
            let first = replicas.find("server").expect("a known server");
            if is_known {
                replicas.update(vec![entry(SECOND, InstanceState::Live)], 1);
            }
            let run = replicas.record_leaving_answer(&first, asked, 2);
            replicas.state_leaving(run, 2, 2);
            replicas.update(vec![entry(SECOND, InstanceState::Live)], 3);
            assert_eq!(takes_requests(&replicas), !is_second, "asked at {asked}, entry known before: {is_known}");
            replicas.update(vec![entry(asked + 1_000_000, InstanceState::Live)], 4);
            assert!(takes_requests(&replicas), "asked at {asked}: the run after it is not used");
        }
    }
}

/// Guards against an instance that gets no requests because its id and address were those of one that left.
#[test]
fn instance_without_a_start_time_is_forgotten_when_it_is_gone() {
    let replicas = Replicas::default();
    for state in [InstanceState::Leaving, InstanceState::Gone, InstanceState::Live] {
        replicas.update(vec![entry(0, state)], 0);
    }
    assert!(takes_requests(&replicas));
}
