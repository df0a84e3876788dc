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
