//! Tests of the intervals of the exchange.

use super::{
    MAX_INTERVAL, RELAY_TIMEOUT_MS, REPORT_TIMEOUT_MS, exchange_interval, other_region_stride, relay_timeout_ms,
    report_timeout_ms, silence_ms,
};

#[test]
fn exchange_interval_bounds_rate_and_age() {
    for members in [1, 2, 3, 15, 22, 33, 100, 300] {
        let interval = exchange_interval(members).as_secs_f64();
        // A report and a summary wait for at most one interval each.
        assert!(2.0 * interval <= 0.5, "{members} members: knowledge is {:.2} s old", 2.0 * interval);
        if members <= 40 {
            let rate = members as f64 / interval;
            assert!(rate <= 170.0, "{members} members: {rate:.0} messages a second at the relay");
        }
    }
}

#[test]
fn timeouts_allow_for_lost_messages() {
    let interval_ms = MAX_INTERVAL.as_millis() as u64;
    assert!(RELAY_TIMEOUT_MS > 2 * interval_ms, "one lost summary must not end a relay");
    for zones in [3, 6, 8] {
        let other_region_ms = interval_ms * u64::from(other_region_stride(zones));
        assert!(RELAY_TIMEOUT_MS > other_region_ms, "{zones} zones");
        assert!(REPORT_TIMEOUT_MS > 4 * other_region_ms, "{zones} zones");
    }
}

#[test]
fn timeouts_allow_for_one_lost_sum_of_another_region() {
    for (zones, members) in [(6, 33), (33, 22)] {
        let interval_ms = exchange_interval(members).as_millis() as u64;
        let period_ms = interval_ms * u64::from(other_region_stride(zones));
        let two_sums_ms = 2 * period_ms;
        let timeouts = [relay_timeout_ms(period_ms), silence_ms(period_ms), report_timeout_ms(period_ms)];
        assert!(
            timeouts.iter().all(|timeout| *timeout > two_sums_ms),
            "{zones} zones: {timeouts:?}, two sums {two_sums_ms}"
        );
    }
}
