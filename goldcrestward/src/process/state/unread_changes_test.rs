//! Tests of when a listing replaces changes.

use super::{MAX_FAILURES, UnreadChanges};
use crate::store::{Cause, Error};

const SERVICE: &str = "store";

fn unanswered(cause: Cause) -> Error {
    Error::Unanswered { service: SERVICE, cause }
}

#[test]
fn changes_that_no_answer_can_hold_are_listed_at_once() {
    for error in [Error::Compacted { service: SERVICE }, unanswered(Cause::TooLong)] {
        let mut changes = UnreadChanges::default();
        changes.record_failure(&error);
        // Nothing but a listing leads on.
        changes.record_failed_listing(0);
        assert!(changes.must_list(), "{error:?}");
        changes.record_success();
        assert!(!changes.must_list(), "{error:?}");
    }
}

/// Guards against CONFIG: changes whose answer takes too long, or cannot be decoded, were asked for again for good.
#[test]
fn changes_that_fail_again_and_again_are_listed() {
    for cause in [Cause::TimedOut, Cause::Broken, Cause::Undecodable] {
        let mut changes = UnreadChanges::default();
        for _ in 0..MAX_FAILURES {
            assert!(!changes.must_list(), "{cause:?}");
            changes.record_failure(&unanswered(cause));
        }
        assert!(changes.must_list(), "{cause:?}");
        changes.record_failed_listing(1);
        assert!(changes.must_list(), "{cause:?}");
    }
}

/// Guards against a listing by every daemon after each outage of the store.
#[test]
fn changes_are_read_again_while_the_store_is_away() {
    let mut changes = UnreadChanges::default();
    for _ in 0..MAX_FAILURES {
        changes.record_failure(&unanswered(Cause::TimedOut));
    }
    changes.record_failed_listing(0);
    assert!(!changes.must_list());
    for cause in [Cause::Connection, Cause::Refused] {
        for _ in 0..10 {
            changes.record_failure(&Error::Unreached { service: SERVICE, cause });
        }
    }
    assert!(!changes.must_list());
}
