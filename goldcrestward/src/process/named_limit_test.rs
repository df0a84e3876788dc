use super::NamedLimit;
use crate::port::StatedLimit::{self, PerSecond, Unlimited, Unreadable};

#[test]
fn apply_answer_follows_what_the_replica_says() {
    /// What an answer states, when its request was sent and when it was received; the limit afterwards.
    type Step = (StatedLimit, u64, u64, Option<f64>);
    let cases: [(&str, &[Step]); 6] = [
        (
            "named, lowered, raised",
            &[
                (PerSecond(4.0), 0, 10, Some(4.0)),
                (PerSecond(2.0), 5, 20, Some(2.0)),
                (PerSecond(6.0), 20, 30, Some(6.0)),
            ],
        ),
        ("withdrawn", &[(PerSecond(4.0), 0, 10, Some(4.0)), (Unlimited, 10, 20, None)]),
        (
            "an answer from before does not withdraw",
            &[(PerSecond(4.0), 0, 10, Some(4.0)), (Unlimited, 9, 20, Some(4.0))],
        ),
        (
            "an answer from before does not raise",
            &[(PerSecond(2.0), 0, 10, Some(2.0)), (PerSecond(8.0), 9, 20, Some(2.0))],
        ),
        ("an unreadable limit changes nothing", &[(PerSecond(4.0), 0, 10, Some(4.0)), (Unreadable, 15, 20, Some(4.0))]),
        ("nothing named", &[(Unlimited, 0, 10, None), (Unreadable, 5, 20, None)]),
    ];
    for (name, steps) in cases {
        let mut limit = NamedLimit::default();
        for (stated, sent_ms, now_ms, expected) in steps {
            let before = limit.per_second;
            let changes = limit.apply_answer(*stated, *sent_ms, *now_ms);
            assert_eq!((limit.per_second, changes), (*expected, before != *expected), "{name}: {stated:?}");
        }
    }
}

#[test]
fn learn_keeps_what_was_named_last() {
    let mut limit = NamedLimit::default();
    assert!(limit.learn(Some(4.0), 10));
    assert!(!limit.learn(Some(8.0), 10), "not newer");
    assert!(!limit.learn(Some(4.0), 20), "newer but the same");
    assert!(!limit.apply_answer(Unlimited, 15, 25), "sent before the limit was named last");
    assert!(limit.learn(None, 30));
    assert_eq!(limit, NamedLimit { per_second: None, named_ms: 30 });
}

#[test]
fn is_news_for_named_withdrawn_and_large_changes() {
    let limit = |per_second| NamedLimit { per_second, named_ms: 1 };
    let cases = [
        (None, None, false),
        (None, Some(4.0), true),
        (Some(4.0), None, true),
        (Some(4.0), Some(4.2), false),
        (Some(4.0), Some(3.0), true),
        (Some(0.0), Some(0.5), true),
    ];
    for (before, after, expected) in cases {
        assert_eq!(limit(after).is_news(&limit(before)), expected, "{before:?} to {after:?}");
    }
}
