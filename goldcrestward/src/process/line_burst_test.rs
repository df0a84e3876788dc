//! Tests of bounding the log lines on a matter that many are affected by at once.

use super::{LineBurst, MAX_LINES, PERIOD_MS};

#[test]
fn record_logs_a_few_of_many_and_counts_the_others() {
    let mut burst = LineBurst::default();
    let logged = (0..MAX_LINES + 7).filter(|_| burst.record(5) == Some(0)).count();
    assert_eq!(logged, MAX_LINES as usize);
    assert_eq!(burst.record(PERIOD_MS - 1), None);
    assert_eq!(burst.record(PERIOD_MS), Some(8));
    assert_eq!(burst.record(PERIOD_MS), Some(0));
}
