//! Tests of what is known of an entry whose address another instance has.

use super::{FIRST_PAUSE_MS, FalseEntry, MAX_PAUSE_MS};

#[test]
fn record_misdirected_closes_the_entry_once() {
    let mut entry = FalseEntry::default();
    assert!(!entry.is_closed(0));
    entry.record_sent(5);
    assert!(!entry.is_closed(5), "closed by a request without an answer");
    assert!(entry.record_misdirected(10));
    assert!(!entry.record_misdirected(900), "the answer to a request that was under way");
    assert!(entry.is_closed(10) && entry.is_closed(9 + FIRST_PAUSE_MS) && !entry.is_closed(10 + FIRST_PAUSE_MS));
}

/// Guards against a false entry that gets requests at any rate once its pause has ended.
#[test]
fn record_sent_lets_one_request_through_after_each_pause() {
    let mut entry = FalseEntry::default();
    entry.record_misdirected(0);
    let sent: Vec<u64> = (0..4 * MAX_PAUSE_MS)
        .step_by(1_000)
        .filter(|now| {
            let is_sent = !entry.is_closed(*now);
            if is_sent {
                entry.record_sent(*now);
                entry.record_misdirected(*now);
            }
            is_sent
        })
        .collect();
    let pauses: Vec<u64> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(sent[0], FIRST_PAUSE_MS);
    assert!(pauses.iter().is_sorted() && pauses.iter().all(|pause| (FIRST_PAUSE_MS..=MAX_PAUSE_MS).contains(pause)));
    assert_eq!(pauses.last(), Some(&MAX_PAUSE_MS), "{pauses:?}");
}

#[test]
fn record_own_opens_the_entry() {
    let mut entry = FalseEntry::default();
    assert!(!entry.record_own());
    entry.record_misdirected(0);
    assert!(entry.record_own() && !entry.is_closed(1));
    assert!(!entry.record_own() && entry.record_misdirected(2));
}
