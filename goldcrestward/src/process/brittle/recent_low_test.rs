//! Tests of the least number of the last while.

use super::{RecentLow, SPAN_MS};

#[test]
fn record_returns_the_least_of_the_last_while() {
    let mut low = RecentLow::default();
    let recorded = [(0, 3), (1, 5), (SPAN_MS, 6), (SPAN_MS + 1, 4), (2 * SPAN_MS, 7), (4 * SPAN_MS, 6)];
    let lows = recorded.map(|(at, number)| low.record(number, at));
    assert_eq!(lows, [0, 0, 0, 0, 4, 6]);
}
