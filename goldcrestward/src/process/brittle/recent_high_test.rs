//! Tests of the largest number of the last while.

use super::{RecentHigh, SPAN_MS};

#[test]
fn record_returns_the_largest_of_the_last_while() {
    let mut high = RecentHigh::default();
    let recorded =
        [(0, 3), (1, 0), (SPAN_MS, 1), (2 * SPAN_MS - 1, 0), (2 * SPAN_MS, 0), (3 * SPAN_MS, 0), (9 * SPAN_MS, 2)];
    let highs = recorded.map(|(at, number)| high.record(number, at));
    assert_eq!(highs, [3, 3, 3, 3, 1, 0, 2]);
}
