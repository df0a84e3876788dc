//! Tests of pauses after failed calls.

use std::sync::Arc;

use prometheus::{IntCounter, IntCounterVec, Opts};

use super::{Kv, Purpose};
use crate::store::{Cause, Error, Revision, memory_store::MemoryStore};

/// Guards against CONFIG: calls of other purposes that failed paused the readings of the site's state as well.
#[tokio::test]
async fn failures_of_other_calls_do_not_pause_readings_of_the_state() {
    let calls = IntCounterVec::new(Opts::new("calls", "calls"), &["kind", "purpose", "result"]).expect("a counter");
    let restores = IntCounter::new("restores", "restores").expect("a counter");
    let kv = Kv::new(Arc::new(MemoryStore::default()), calls, restores);
    for _ in 0..5 {
        // Watches are not supported there.
        kv.watch(Purpose::Duty, "", Revision::NONE).await.err();
    }
    assert!(kv.is_failing());
    assert!(matches!(kv.list(Purpose::Duty, "", Revision::NONE).await, Err(Error::Budget { .. })));
    assert_eq!(kv.list(Purpose::Site, "", Revision::NONE).await, Ok((Vec::new(), Revision::NONE)));
}

/// Guards against calls that pause as the answer to another one was odd, although the service is up.
#[test]
fn odd_answers_are_no_outage() {
    for (cause, is_outage) in [
        (Cause::Connection, true),
        (Cause::Broken, true),
        (Cause::TimedOut, true),
        (Cause::Refused, true),
        (Cause::Status, true),
        (Cause::Outdated, true),
        (Cause::Unsendable, false),
        (Cause::TooLong, false),
        (Cause::Undecodable, false),
        (Cause::PageStuck, false),
    ] {
        assert_eq!(Error::Unanswered { service: "store", cause }.is_outage(), is_outage, "{cause:?}");
    }
    assert!(!Error::Compacted { service: "store" }.is_outage());
}
