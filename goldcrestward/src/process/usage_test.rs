//! Tests of counting requests by account and window.

use std::sync::Arc;

use std::time::Duration;

use super::{AccountCounts, UsageCounts, UsageRecord};

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
        // Windows that start before the first one's report is due: until then, a later holder may still send it.
        let last = 101 + u64::from(delay / window);
        for number in 101..=last {
            usage.count_request(number, &own);
            usage.merge(&other, 1, number, counts(&[("a", 1)]));
        }
        assert_eq!(usage.total(100), counts(&[("a", 2)]), "windows of {window} s, due after {delay} s");
    }
}

#[test]
fn next_window_to_report() {
    let own: Arc<str> = "a".into();
    let mut usage = UsageCounts::new(SECOND, SECOND * 6);
    assert_eq!(usage.next_window(None, 100, 94), Some(99), "without counts, the last window that ended");
    usage.count_request(97, &own);
    usage.merge(&own, 1, 96, counts(&[("a", 1)]));
    // A holder may acquire the duties seconds after the first request.
    assert_eq!(usage.next_window(None, 100, 94), Some(96), "the first window that was counted");
    assert_eq!(usage.next_window(None, 100, 98), Some(98), "no window whose report is overdue");
    assert_eq!(usage.next_window(Some(97), 100, 94), Some(98), "the window after the last one on record");
    assert_eq!(usage.next_window(Some(99), 100, 94), None, "no window that has not ended");
}

#[test]
fn counts_of_departed_daemons_reach_a_new_daemon() {
    let (departed, peer): (Arc<str>, Arc<str>) = ("departed".into(), "peer".into());
    let mut known = UsageCounts::new(SECOND * 5, SECOND * 10);
    known.merge(&departed, 1, 7, counts(&[("a", 3)]));
    let mut new_daemon = UsageCounts::new(SECOND * 5, SECOND * 10);
    new_daemon.merge(&peer, 1, 7, counts(&[("a", 4)]));
    for ((name, epoch), windows) in known.others() {
        windows.iter().for_each(|(window, counts)| new_daemon.merge(name, *epoch, *window, counts.clone()));
    }
    assert_eq!(new_daemon.total(7), counts(&[("a", 7)]));
    // Another daemon's table may be older than what is known.
    new_daemon.merge(&peer, 1, 7, counts(&[("a", 2)]));
    assert_eq!(new_daemon.total(7), counts(&[("a", 7)]));
}

#[test]
fn usage_of_a_restarted_daemon_is_added() {
    let mut usage = UsageCounts::new(SECOND * 5, SECOND * 10);
    let (own, other): (Arc<str>, Arc<str>) = ("a".into(), "daemon-1".into());
    (0..3).for_each(|_| usage.count_request(7, &own));
    usage.merge(&other, 1, 7, counts(&[("a", 5)]));
    // Totals replace earlier ones, and a restarted daemon counts from zero.
    usage.merge(&other, 1, 7, counts(&[("a", 6), ("b", 1)]));
    usage.merge(&other, 2, 7, counts(&[("a", 2)]));
    assert_eq!(usage.total(7), counts(&[("a", 11), ("b", 1)]));
    assert_eq!(usage.total(8), counts(&[]));
    usage.forget_before(8);
    assert_eq!(usage.total(7), counts(&[("a", 3)]));
}

#[test]
fn learn_record_keeps_the_latest_window() {
    let mut usage = UsageCounts::new(Duration::from_secs(5), Duration::from_secs(10));
    let record = |window, count| UsageRecord { window, counts: [("account".into(), count)].into(), history: None };
    for (learned, kept) in [(record(7, 1), 7), (record(6, 2), 7), (record(8, 3), 8), (record(8, 4), 8)] {
        usage.learn_record(learned);
        assert_eq!(usage.recorded().map(|record| record.window), Some(kept));
    }
    assert_eq!(usage.recorded(), Some(&record(8, 3)), "counts of a window that is recorded must not change");
}
