//! Entries that are removed and come back while their servers want nothing.

use std::time::Duration;

use super::Replicas;
use crate::port::{Instance, InstanceState};

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
