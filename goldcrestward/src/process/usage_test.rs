//! Tests of counting requests by account and window.

use std::sync::Arc;

use std::time::Duration;

use super::{AccountCounts, UsageCounts};

fn counts(rows: &[(&str, u64)]) -> AccountCounts {
    rows.iter().map(|(name, count)| (Arc::from(*name), *count)).collect()
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn usage_is_kept_until_its_report_is_due() {
    let (own, other): (Arc<str>, Arc<str>) = ("a".into(), "daemon-1".into());
    for (window, delay) in [(1, 6), (1, 30), (5, 10), (60, 10)] {
        let mut usage = UsageCounts::new(SECOND * window, SECOND * delay);
        usage.count_request(100, &own);
        usage.merge(&other, 1, 100, counts(&[("a", 1)]));
        // Windows that begin before the report of the first one is due, when a later holder may still make it.
        let last = 101 + u64::from(delay / window);
        for number in 101..=last {
            usage.count_request(number, &own);
            usage.merge(&other, 1, number, counts(&[("a", 1)]));
        }
        assert_eq!(usage.total(100), counts(&[("a", 2)]), "windows of {window} s, due after {delay} s");
    }
}

#[test]
fn next_window_for_a_holder() {
    let own: Arc<str> = "a".into();
    let mut usage = UsageCounts::new(SECOND, SECOND * 6);
    assert_eq!(usage.next_window(None, 100, 94), Some(99), "nothing was counted: the last window that ended");
    usage.count_request(97, &own);
    usage.merge(&own, 1, 96, counts(&[("a", 1)]));
    // The duty may be taken seconds after the first request.
    assert_eq!(usage.next_window(None, 100, 94), Some(96), "from the first window that was counted");
    assert_eq!(usage.next_window(None, 100, 98), Some(98), "not windows whose time is over");
    assert_eq!(usage.next_window(Some(97), 100, 94), Some(98), "after the last one that was written down");
    assert_eq!(usage.next_window(Some(99), 100, 94), None, "none before it has ended");
}

#[test]
fn counts_of_daemons_that_are_gone_reach_one_that_started_later() {
    let (gone, old): (Arc<str>, Arc<str>) = ("gone".into(), "old".into());
    let mut known = UsageCounts::new(SECOND * 5, SECOND * 10);
    known.merge(&gone, 1, 7, counts(&[("a", 3)]));
    let mut young = UsageCounts::new(SECOND * 5, SECOND * 10);
    young.merge(&old, 1, 7, counts(&[("a", 4)]));
    for ((name, life), windows) in known.others() {
        windows.iter().for_each(|(window, counts)| young.merge(name, *life, *window, counts.clone()));
    }
    assert_eq!(young.total(7), counts(&[("a", 7)]));
    // A later daemon's table may say less of another than is known.
    young.merge(&old, 1, 7, counts(&[("a", 2)]));
    assert_eq!(young.total(7), counts(&[("a", 7)]));
}

#[test]
fn usage_of_a_daemon_that_started_anew_is_added() {
    let mut usage = UsageCounts::new(SECOND * 5, SECOND * 10);
    let (own, other): (Arc<str>, Arc<str>) = ("a".into(), "daemon-1".into());
    (0..3).for_each(|_| usage.count_request(7, &own));
    usage.merge(&other, 1, 7, counts(&[("a", 5)]));
    // Totals replace what was told before, and a later life begins from nothing.
    usage.merge(&other, 1, 7, counts(&[("a", 6), ("b", 1)]));
    usage.merge(&other, 2, 7, counts(&[("a", 2)]));
    assert_eq!(usage.total(7), counts(&[("a", 11), ("b", 1)]));
    assert_eq!(usage.total(8), counts(&[]));
    usage.forget_before(8);
    assert_eq!(usage.total(7), counts(&[("a", 3)]));
}
