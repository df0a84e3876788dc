use super::{BLOCK_SCORE, CrashRecords, SHARED_SUSPECT_SCORE, SOLE_SUSPECT_SCORE};
use crate::process::{
    Blame,
    membership::{Fact, Facts},
};

const FINGERPRINT: u64 = 7;

fn facts(records: &[(&str, Blame)]) -> Facts {
    let mut facts = Facts::default();
    for (replica, blame) in records {
        let fact: Fact = CrashRecords::crash(FINGERPRINT, replica, *blame).expect("a suspect");
        facts.merge(&fact, 0);
    }
    facts
}

/// Guards against refusing sound requests for one crash that several daemons have recorded.
#[test]
fn score_of_one_crash_seen_by_several_daemons_is_that_of_one() {
    let seen_by_two = facts(&[("i-1", Blame::Sole), ("i-1", Blame::Shared)]);
    assert_eq!(CrashRecords::score(&seen_by_two, FINGERPRINT), SOLE_SUSPECT_SCORE);
    assert!(!CrashRecords::is_blocked(&seen_by_two, FINGERPRINT));
}

#[test]
fn score_of_several_crashes_adds_up() {
    let records = facts(&[("i-1", Blame::Sole), ("i/2", Blame::Shared), ("i-1", Blame::Shared)]);
    assert_eq!(CrashRecords::score(&records, FINGERPRINT), SOLE_SUSPECT_SCORE + SHARED_SUSPECT_SCORE);
    assert!(CrashRecords::score(&records, FINGERPRINT) >= BLOCK_SCORE);
    assert_eq!(CrashRecords::score(&records, FINGERPRINT + 1), 0);
}
