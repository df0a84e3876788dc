//! Tests of the decision that pulls from peers have failed.

use super::{MAX_LAG_MS, PullLag};
use crate::store::Revision;

fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

#[test]
fn is_overdue_while_the_first_missing_revision_is_missing() {
    let mut lag = PullLag::default();
    assert!(!lag.is_overdue(Revision::NONE, 60_000), "nothing was announced");
    lag.record(revision(5), revision(4), 100);
    // Later announcements neither restart the time nor change what is missing.
    lag.record(revision(6), revision(4), 900);
    assert!(!lag.is_overdue(revision(4), 100 + MAX_LAG_MS));
    assert!(lag.is_overdue(revision(4), 101 + MAX_LAG_MS));
    assert!(!lag.is_overdue(revision(5), 60_000), "the daemon has caught up");
}

#[test]
fn record_starts_anew_after_each_revision_that_arrives() {
    let mut lag = PullLag::default();
    for number in 1..100 {
        let now = number * 900;
        lag.record(revision(number), revision(number - 1), now);
        assert!(!lag.is_overdue(revision(number - 1), now + 900), "pulls that succeed in time count as failed");
    }
}
