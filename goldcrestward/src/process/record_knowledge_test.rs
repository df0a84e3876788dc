//! Tests of which records of usage may have been lost by a restore of the store.

use super::{RecordKnowledge, UsageRecord, first_window_since};

fn record(history: Option<u64>) -> UsageRecord {
    UsageRecord { window: 7, counts: [("account".into(), 98)].into(), history }
}

/// Guards against ONE: a daemon that started after a restore took the record of the copy for the latest and reported windows
/// again whose records the store had lost.
#[test]
fn record_is_latest_only_in_a_history_that_is_known() {
    // History that is known first, whether a holder had been before, history of the record, whether it is the latest.
    let cases = [
        (Some((2, true)), Some(record(Some(1))), false, "restored, and every daemon started since"),
        (Some((2, true)), Some(record(None)), false, "written by an older build"),
        (Some((2, true)), None, false, "the copy is older than the first record"),
        (Some((2, true)), Some(record(Some(2))), true, "started again without a restore, or written since it"),
        (Some((1, true)), Some(record(Some(2))), true, "alive at the restore, with a record written since"),
        (Some((1, true)), Some(record(Some(1))), true, "alive at the restore, with the record from before"),
        (Some((2, true)), Some(record(Some(3))), true, "alive at a later restore"),
        (Some((1, false)), None, true, "no window was ever reported"),
        (Some((1, false)), Some(record(None)), true, "alive since before the first holder"),
        (None, Some(record(Some(1))), false, "the state is not known yet"),
        (None, None, false, "nothing is known yet"),
    ];
    for (begun, record, is_latest, case) in cases {
        let mut knowledge = RecordKnowledge::default();
        if let Some((history, has_had_holder)) = begun {
            knowledge.begin(history, has_had_holder);
        }
        assert_eq!(knowledge.is_latest(record.as_ref()), is_latest, "{case}");
    }
}

#[test]
fn knowledge_begins_once() {
    let mut knowledge = RecordKnowledge::default();
    knowledge.begin(2, true);
    knowledge.begin(1, false);
    assert!(!knowledge.is_latest(Some(&record(Some(1)))));
    knowledge.begin(5, true);
    assert!(knowledge.is_latest(Some(&record(Some(2)))));
}

#[test]
fn window_that_is_under_way_is_not_one_since() {
    for (time_ms, window) in [(0, 0), (1, 1), (4_999, 1), (5_000, 1), (5_001, 2)] {
        assert_eq!(first_window_since(time_ms, 5_000), window, "{time_ms} ms");
    }
}
