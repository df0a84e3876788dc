//! Tests of the spans in which a zone's counts have been learnt.

use std::sync::Arc;

use super::{KeptSpans, MAX_SPANS};

#[test]
fn spans_that_overlap_are_one() {
    let zone: Arc<str> = "a".into();
    let mut spans = KeptSpans::default();
    spans.add(&zone, (10, 20));
    spans.add(&zone, (30, 40));
    assert!(!spans.contains("a", (15, 35)), "a gap");
    assert!(!spans.contains("b", (10, 20)), "another zone");
    spans.add(&zone, (40, 40));
    spans.add(&zone, (18, 30));
    assert!(spans.contains("a", (10, 40)));
    assert!(!spans.contains("a", (9, 40)) && !spans.contains("a", (10, 41)));
    assert_eq!(spans.all().count(), 1);
    spans.forget_before(41);
    assert_eq!(spans.all().count(), 0);
}

#[test]
fn spans_of_the_own_zone_are_kept_from_first_report_to_last() {
    let zone: Arc<str> = "a".into();
    let mut spans = KeptSpans::default();
    for now in [100, 200, 300] {
        spans.keep_own(&zone, true, now);
    }
    spans.extend_own(&zone, 310);
    assert!(spans.contains("a", (100, 310)));
    spans.end_own(&zone, 320);
    spans.keep_own(&zone, true, 900);
    spans.keep_own(&zone, false, 950);
    spans.keep_own(&zone, true, 990);
    spans.extend_own(&zone, 999);
    let all: Vec<_> = spans.all().map(|(_, span)| span).collect();
    assert_eq!(all, [(100, 320), (900, 950), (990, 999)]);
}

#[test]
fn spans_are_bounded() {
    let zone: Arc<str> = "a".into();
    let mut spans = KeptSpans::default();
    for number in 0..100 {
        spans.add(&zone, (number * 10, number * 10 + 5));
    }
    assert_eq!(spans.all().count(), MAX_SPANS);
    assert!(spans.contains("a", (990, 995)), "the latest are kept");
}
