//! Tests of the lines on refused entries.

use super::{MAX_KNOWN, MAX_SINGLE, RefusalLine, RefusedEntries};
use crate::store::Revision;

const REVISION: Revision = Revision::new(1, 5);

/// Guards against two lines for one refused entry: by whoever read it, and by whoever applied what was kept of it.
#[test]
fn refused_entry_is_logged_once_a_revision() {
    let mut refused = RefusedEntries::default();
    assert_eq!(refused.record("a", REVISION, 0), RefusalLine::Logged(0));
    assert_eq!(refused.record("a", REVISION, 5_000), RefusalLine::Known);
    assert_eq!(refused.record("b", REVISION, 5_000), RefusalLine::Logged(0));
    assert_eq!(refused.record("a", REVISION.next(), 5_000), RefusalLine::Logged(0));
    // An entry that is written again and again is as bounded as many entries are.
    assert_eq!(refused.record("a", REVISION.next().next(), 5_100), RefusalLine::Counted);
}

#[test]
fn refused_entry_among_many_is_counted() {
    let mut refused = RefusedEntries::default();
    let mut lines = 0;
    for number in 0..2 * MAX_KNOWN {
        match refused.record(&format!("entries/{number:05}"), REVISION, 0) {
            RefusalLine::Known => panic!("{number} is new"),
            RefusalLine::Counted => {}
            RefusalLine::Logged(_) => lines += 1,
        }
    }
    assert_eq!(lines, MAX_SINGLE + 1);
    let others = (2 * MAX_KNOWN - MAX_SINGLE - 1) as u64;
    assert_eq!(refused.record("entries/later", REVISION, 1_000), RefusalLine::Logged(others));
}
