//! Tests of changes that take effect after a delay.

use std::time::Duration;

use super::{Delayed, Due, ORDER_GRACE_MS, REMOVAL_GRACE_MS, RETURN_DELAY_MS};
use crate::{
    pb::FileOrigin,
    port::{Instance, InstanceState},
};

fn server(id: &str) -> Instance {
    Instance {
        id: id.into(),
        address: ([127, 0, 0, 1], 80).into(),
        pool: "pool".into(),
        version: "v1".into(),
        zone: "zone".into(),
        region: "region".into(),
        state: InstanceState::Live,
        slots: 1,
        reclaimable: false,
        warm_up: Duration::ZERO,
        leaves_in: None,
        started_unix_ms: 1,
    }
}

#[test]
fn remove_waits_only_if_the_entry_may_come_back() {
    let cases = [
        (FileOrigin::Written, false, 0),
        (FileOrigin::Written, true, REMOVAL_GRACE_MS),
        (FileOrigin::Lost, false, REMOVAL_GRACE_MS),
    ];
    for (origin, store_in_trouble, wait) in cases {
        let mut delayed = Delayed::default();
        assert_eq!(delayed.remove("a".into(), origin, store_in_trouble, 100), wait);
        let due_before = (wait > 0).then(|| delayed.take_due(99 + wait));
        assert_eq!(due_before.unwrap_or_default(), Due::default());
        assert_eq!(delayed.take_due(100 + wait).removed, ["a".into()]);
        assert!(delayed.is_empty());
    }
}

#[test]
fn server_that_is_written_again_in_time_stays() {
    let mut delayed = Delayed::default();
    delayed.remove("a".into(), FileOrigin::Lost, false, 0);
    assert!(delayed.use_server(server("a"), FileOrigin::Kept, 1_000).is_some());
    assert_eq!(delayed.take_due(60_000), Due::default());
}

#[test]
fn server_that_reappears_in_a_copy_is_used_only_if_it_stays() {
    let mut delayed = Delayed::default();
    assert!(delayed.use_server(server("gone"), FileOrigin::Reappeared, 0).is_none());
    assert!(delayed.use_server(server("back"), FileOrigin::Reappeared, 0).is_none());
    delayed.remove("gone".into(), FileOrigin::Written, false, 3_600);
    assert!(delayed.take_due(RETURN_DELAY_MS - 1).returned.is_empty());
    assert_eq!(delayed.take_due(RETURN_DELAY_MS).returned, [server("back")]);
    assert!(delayed.is_empty());
}

#[test]
fn order_that_is_lost_stays_until_it_could_be_written_again() {
    let mut delayed = Delayed::default();
    assert!(!delayed.keeps_order("withdrawn", FileOrigin::Written, 0));
    assert!(delayed.keeps_order("lost", FileOrigin::Lost, 0));
    assert!(delayed.keeps_order("again", FileOrigin::Lost, 0));
    delayed.order_written("again");
    assert_eq!(delayed.take_due(ORDER_GRACE_MS).withdrawn, ["lost".to_owned()]);
}
