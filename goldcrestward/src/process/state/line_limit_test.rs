//! Tests of the bound of log lines.

use super::LineLimit;

#[test]
fn record_allows_one_line_a_second_and_counts_the_others() {
    let mut limit = LineLimit::default();
    let lines: Vec<_> = [0, 10, 999, 1_000, 1_500, 4_000, 5_000].map(|now| limit.record(now)).to_vec();
    assert_eq!(lines, [Some(0), None, None, Some(2), None, Some(1), Some(0)]);
}
