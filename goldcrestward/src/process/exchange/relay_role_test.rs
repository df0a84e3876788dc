//! Tests of the role of relays, among them an exhaustive search over lost messages, stops and suspensions.

use std::collections::HashSet;

use super::{RELAY_TIMEOUT_MS, RelayRole};

/// Time between two steps.
const STEP_MS: u64 = 200;

/// The daemons of a zone, which hear each other's summaries; the index is the rank.
struct Zone {
    roles: Vec<RelayRole>,
    now: u64,
}

impl Zone {
    fn new(daemons: usize) -> Self {
        Self { roles: vec![RelayRole::default(); daemons], now: 0 }
    }

    /// Steps all running daemons; those that speak are heard by all that are connected with them.
    fn step(&mut self, running: impl Fn(usize) -> bool, connected: impl Fn(usize, usize) -> bool) {
        self.now += STEP_MS;
        let members = self.roles.len();
        for rank in (0..members).filter(|rank| running(*rank)) {
            self.roles[rank].step(rank, members, self.now);
        }
        for speaker in (0..members).filter(|rank| running(*rank)) {
            if !self.roles[speaker].is_speaking() {
                continue;
            }
            for hearer in (0..members).filter(|hearer| *hearer != speaker && running(*hearer)) {
                // A relay ignores one that ranks below it.
                let ignores = self.roles[hearer].is_speaking() && hearer < speaker;
                if connected(speaker, hearer) && !ignores {
                    self.roles[hearer].record_relay(speaker, speaker < hearer, self.now);
                }
            }
        }
    }

    fn speakers(&self) -> Vec<usize> {
        (0..self.roles.len()).filter(|rank| self.roles[*rank].is_speaking()).collect()
    }
}

#[test]
fn highest_rank_speaks_once_reports_have_arrived() {
    for daemons in [1, 2, 3, 33] {
        let mut zone = Zone::new(daemons);
        (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
        assert_eq!(zone.speakers(), [0], "{daemons} daemons");
    }
}

#[test]
fn substitutes_speak_after_stops() {
    // Ranks that stop, and the time within which another one must speak for the zone.
    for (stopped, limit_ms) in [(1, 1_000), (2, 3_500), (4, 6_500)] {
        let mut zone = Zone::new(8);
        (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
        let since = zone.now;
        let speaks = |zone: &Zone| zone.roles[stopped..].iter().any(RelayRole::is_speaking);
        while !speaks(&zone) {
            zone.step(|rank| rank >= stopped, |_, _| true);
            assert!(zone.now - since <= limit_ms, "{stopped} stopped: no relay after {} ms", zone.now - since);
        }
        // When they are back, the highest rank takes over and only one speaks.
        (0..15).for_each(|_| zone.step(|_| true, |_, _| true));
        assert_eq!(zone.speakers(), [0], "{stopped} stopped");
    }
}

#[test]
fn substitute_speaks_at_once_after_a_planned_stop() {
    let mut zone = Zone::new(3);
    (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
    zone.roles[1].forget_relay();
    zone.step(|rank| rank > 0, |_, _| true);
    assert!(zone.roles[1].is_speaking());
}

#[test]
fn suspended_relay_is_silent_until_its_figures_are_fresh() {
    let mut zone = Zone::new(3);
    (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
    (0..20).for_each(|_| zone.step(|rank| rank != 0, |_, _| true));
    assert!(zone.roles[1].is_speaking());
    zone.step(|_| true, |_, _| true);
    assert!(!zone.roles[0].is_speaking(), "it has no reports of the last seconds");
    (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
    assert_eq!(zone.speakers(), [0]);
}

#[test]
fn each_side_of_a_partition_has_a_relay() {
    let side = |rank: usize| rank < 3;
    let mut zone = Zone::new(6);
    (0..10).for_each(|_| zone.step(|_| true, |_, _| true));
    (0..30).for_each(|_| zone.step(|_| true, |from, to| side(from) == side(to)));
    let speakers = zone.speakers();
    assert_eq!(speakers.iter().filter(|rank| side(**rank)).count(), 1, "{speakers:?}");
    assert_eq!(speakers.iter().filter(|rank| !side(**rank)).count(), 1, "{speakers:?}");
    (0..15).for_each(|_| zone.step(|_| true, |_, _| true));
    assert_eq!(zone.speakers(), [0]);
}

/// Tries, in each step of a zone of three daemons, to run all, to suspend one, or to lose all messages of one. In every
/// state that this reaches, some quiet time later exactly the highest rank speaks.
#[test]
fn search_every_state_recovers_to_one_relay() {
    let mut states: HashSet<Vec<RelayRole>> = HashSet::new();
    let mut frontier = vec![Zone::new(3)];
    for _ in 0..9 {
        let mut next = Vec::new();
        for zone in &frontier {
            for event in 0..7 {
                let mut zone = Zone { roles: zone.roles.clone(), now: zone.now };
                match event {
                    0 => zone.step(|_| true, |_, _| true),
                    1..=3 => (0..5).for_each(|_| zone.step(|rank| rank != event - 1, |_, _| true)),
                    _ => (0..4).for_each(|_| zone.step(|_| true, |from, to| from != event - 4 && to != event - 4)),
                }
                if states.len() < 60_000 && states.insert(zone.roles.clone()) {
                    next.push(zone);
                }
            }
        }
        frontier = next;
        for zone in &frontier {
            let mut zone = Zone { roles: zone.roles.clone(), now: zone.now };
            let quiet = 4 * RELAY_TIMEOUT_MS / STEP_MS;
            (0..quiet).for_each(|_| zone.step(|_| true, |_, _| true));
            assert_eq!(zone.speakers(), [0], "from {:?}", zone.roles);
        }
    }
    println!("{} states", states.len());
    assert!(states.len() > 1_000);
}
