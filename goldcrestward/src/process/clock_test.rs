//! Tests of the agreed clock.

use std::sync::Arc;

use super::AgreedClock;

/// Unix time in ms at boot.
const START: u64 = 1_800_000_000_000;

#[test]
fn agreed_time_is_stable_while_some_clocks_jump() {
    let mut clock = AgreedClock::default();
    let names: Vec<Arc<str>> = (0..6).map(|n| format!("daemon-{n}").into()).collect();
    for boot in (0..20_000_u64).step_by(200) {
        for (n, name) in names.iter().enumerate() {
            // Two of six peers' clocks jump back by 2.4 s for a while.
            let jump = if n < 2 && (5_000..11_000).contains(&boot) { 2_400 } else { 0 };
            clock.record_peer(name, START + boot - jump, boot);
        }
        // This daemon's own clock jumps ahead.
        let own = if (3_000..9_000).contains(&boot) { 2_400 } else { 0 };
        assert_eq!(clock.now(START + boot + own, boot), START + boot, "at {boot} ms");
    }
}

#[test]
fn without_peers_the_own_clock_counts() {
    assert_eq!(AgreedClock::default().now(START + 5, 5), START + 5);
}

#[test]
fn told_time_counts_until_it_is_old() {
    let mut clock = AgreedClock::default();
    clock.adopt(START + 700, 0);
    assert_eq!(clock.now(START + 9_000, 5_000), START + 5_700, "the own clock has jumped");
    assert_eq!(clock.now(START + 11_000, 11_000), START + 11_000);
    clock.adopt(START + 700, 12_000);
    clock.lead();
    assert_eq!(clock.now(START + 12_100, 12_100), START + 12_100);
}

#[test]
fn clocks_of_zones_count_one_by_one() {
    // Of seven clocks in three zones, the two that jump are the majority of no zone and a minority of the site.
    let mut clock = AgreedClock::default();
    clock.record_peer(&"peer-1".into(), START, 0);
    clock.record_peer(&"peer-2".into(), START, 0);
    clock.record_clocks(&"zone-b".into(), START + 2_400, &[0, -2_400], 0);
    clock.record_clocks(&"zone-c".into(), START, &[0, 2_400], 0);
    assert_eq!(clock.now(START, 0), START);
    assert_eq!(clock.differences(START + 100, 0, |name| name.starts_with("peer"), 16), [0, -100, -100]);
    assert_eq!(clock.differences(START + 100, 0, |name| name.starts_with("peer"), 2).len(), 2);
}

#[test]
fn extreme_clocks_of_peers_do_no_harm() {
    let mut clock = AgreedClock::default();
    for extreme in [0, 1 << 63, u64::MAX, i64::MAX as u64] {
        clock.record_clocks(&"zone".into(), extreme, &[i64::MIN, i64::MAX], 5_000);
        clock.record_peer(&"peer".into(), extreme, 5_000);
        clock.now(START, 5_000);
        clock.differences(START, 5_000, |_| true, 16);
        clock.adopt(extreme, 5_000);
        clock.now(START, 5_000);
        clock.lead();
    }
}
