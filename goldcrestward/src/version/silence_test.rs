use super::{MAX_SILENCE_MS, RECOVERY_MS, SILENT_AFTER_MS, SilenceRecord};

const TARGET_MS: u64 = 500;

/// A record with one health check that took this long.
fn checked(start: u64, time: u64) -> SilenceRecord {
    let mut record = SilenceRecord::default();
    assert!(record.begin_check(start));
    record.end_check(start + time);
    record
}

#[test]
fn silence_explains_only_what_ran_during_it() {
    for (sent_at, now, explained) in [
        (9_500, 11_900, true),
        (11_400, 11_950, true),
        // Still unanswered when a request after the silence would be late.
        (9_500, 11_900 + TARGET_MS + 1, false),
        (11_901, 12_450, false),
    ] {
        let record = checked(10_000, 1_900);
        assert_eq!(record.explains(sent_at, TARGET_MS, now), explained, "sent at {sent_at}, seen at {now}");
    }
}

#[test]
fn answered_health_check_explains_nothing() {
    let record = checked(10_000, SILENT_AFTER_MS - 1);
    assert!(!record.explains(9_700, TARGET_MS, 10_300));
}

#[test]
fn unanswered_health_check_explains_for_a_limited_time() {
    let mut record = SilenceRecord::default();
    assert!(record.begin_check(10_000));
    assert!(!record.begin_check(10_000 + MAX_SILENCE_MS));
    for (time, explained) in
        [(SILENT_AFTER_MS - 1, false), (SILENT_AFTER_MS, true), (MAX_SILENCE_MS, true), (MAX_SILENCE_MS + 1, false)]
    {
        assert_eq!(record.explains(9_700, TARGET_MS, 10_000 + time), explained, "after {time} ms");
    }
}

/// Guards against a bad version that hangs time and again and is never rolled back.
#[test]
fn repeated_silences_are_evidence() {
    let mut record = checked(10_000, 1_000);
    for silence in 1..20 {
        let start = 11_000 + silence * 1_500;
        assert!(record.begin_check(start));
        assert!(!record.explains(start, TARGET_MS, start + 1_000), "silence {silence}, unanswered");
        assert_eq!(record.end_check(start + 1_000), Some(1_000));
        assert!(!record.explains(start, TARGET_MS, start + 1_000), "silence {silence}");
    }
    let start = 11_000 + 19 * 1_500 + 1_000 + RECOVERY_MS;
    assert!(record.begin_check(start));
    assert!(record.explains(start, TARGET_MS, start + 1_000));
}
