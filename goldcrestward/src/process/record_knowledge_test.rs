//! Tests of which records of usage may have been lost by a restore of the store.

use super::{CurrentHistory, RecordKnowledge, UsageRecord, first_window_since};

/// When the daemon began to know the state of the store, and when it learnt of the history in force.
const BEGUN_MS: u64 = 1_000;
const RESTORED_MS: u64 = 9_000;

fn record(history: Option<u64>) -> UsageRecord {
    UsageRecord { window: 7, counts: [("account".into(), 98)].into(), history }
}

fn knowledge(history: u64, has_had_holder: bool) -> RecordKnowledge {
    let mut knowledge = RecordKnowledge::default();
    knowledge.begin(history, has_had_holder, BEGUN_MS);
    knowledge
}

/// Guards against ONE: daemons took the record of a copy for the latest and reported windows again whose records the store had
/// lost, those that started after the restore and those that had not learnt of the last record before it.
#[test]
fn records_are_lost_until_the_history_is_known() {
    // History known first, whether a holder had been before, record, history in force, whether the last holder has told, result.
    let (old, new) = (Some(BEGUN_MS), Some(RESTORED_MS));
    let cases = [
        (2, true, Some(record(Some(1))), 2, false, old, "started after the restore"),
        (2, true, Some(record(Some(1))), 2, true, old, "started after it, and the copy names the last holder"),
        (2, true, Some(record(None)), 2, false, old, "written by an older build"),
        (2, true, None, 2, false, old, "the copy is older than the first record"),
        (2, false, None, 2, false, old, "a new site, or a copy older than the first holder"),
        (2, true, Some(record(Some(2))), 2, false, None, "started again without a restore, or written since it"),
        (1, true, Some(record(Some(1))), 2, false, new, "alive at the restore, the last holder is gone"),
        (1, false, Some(record(Some(1))), 2, false, new, "alive since before the first holder, which is gone"),
        (1, false, None, 2, false, new, "the same before the first report"),
        (1, true, Some(record(Some(1))), 2, true, None, "the last holder has told, or goes on"),
        (1, true, Some(record(Some(2))), 2, false, None, "written since the restore"),
        (1, true, Some(record(Some(2))), 3, false, new, "restored again since"),
        (1, false, Some(record(None)), 1, false, None, "written by an older build after this daemon began"),
    ];
    for (begun, has_had_holder, record, history, is_vouched, expected, case) in cases {
        let current = CurrentHistory { number: history, known_since_ms: RESTORED_MS };
        let known = knowledge(begun, has_had_holder);
        assert_eq!(known.lost_until(record.as_ref(), current, is_vouched), expected, "{case}");
    }
    let current = CurrentHistory { number: 1, known_since_ms: RESTORED_MS };
    assert_eq!(RecordKnowledge::default().lost_until(Some(&record(Some(0))), current, false), new, "nothing is known");
}

#[test]
fn knowledge_begins_once() {
    let mut known = knowledge(2, true);
    known.begin(1, false, 0);
    assert_eq!(known, knowledge(2, true));
    assert!(!known.knew_new_site() && knowledge(2, false).knew_new_site());
}

#[test]
fn window_that_is_under_way_is_not_one_since() {
    for (time_ms, window) in [(0, 0), (1, 1), (4_999, 1), (5_000, 1), (5_001, 2)] {
        assert_eq!(first_window_since(time_ms, 5_000), window, "{time_ms} ms");
    }
}
