use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use tokio::time::timeout;

use super::{ESTIMATE_TIME, Lifetime, WorkTime};

const SHORT: Duration = Duration::from_millis(30);
const LONG: Duration = Duration::from_secs(60);

/// A run that can be given up at any time.
fn run(expected: Duration) -> WorkTime {
    WorkTime::interruptible(expected)
}

/// The end of a life whose stop began some time ago.
fn stopping(since: Duration, limit: Duration) -> Lifetime {
    let lifetime = Lifetime::default();
    lifetime.begin_stop_at(Instant::now() - since, Some(limit));
    lifetime
}

#[test]
fn allows_any_run_without_a_limit() {
    let lifetime = Lifetime::default();
    assert!(lifetime.allows(run(LONG)));
    lifetime.begin_stop(None);
    assert!(lifetime.allows(run(LONG)) && lifetime.time_left().is_none());
}

#[test]
fn allows_only_runs_that_end_in_time() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(Some(LONG));
    assert!(lifetime.allows(run(LONG / 2)) && !lifetime.allows(run(LONG * 2)));
}

/// Guards against a second signal that gives a stopping daemon more time, or less, than its work was measured by.
#[test]
fn begin_stop_twice_keeps_the_first_end() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(Some(LONG));
    lifetime.begin_stop(Some(LONG * 10));
    lifetime.begin_stop(None);
    assert!(lifetime.time_left().is_some_and(|left| left <= LONG));
}

#[tokio::test]
async fn too_late_for_waits_for_the_stop() {
    let lifetime = Lifetime::default();
    assert!(timeout(SHORT, lifetime.ended()).await.is_err(), "there is no stop");
    let waiting = tokio::spawn({
        let lifetime = lifetime.clone();
        async move { lifetime.too_late_for(run(LONG)).await }
    });
    lifetime.begin_stop(Some(LONG));
    waiting.await.expect("less than the limit is left at once");
    assert!(timeout(SHORT, lifetime.ended()).await.is_err(), "the end is a minute away");
}

#[tokio::test]
async fn ended_is_pending_without_a_limit() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(None);
    assert!(timeout(SHORT, lifetime.ended()).await.is_err());
}

/// Guards against LOST: requests that were begun late in a stop by an estimate were cut at its end.
#[test]
fn allows_only_what_is_certain_to_end_late_in_a_stop() {
    let (expected, left) = (Duration::from_secs(1), Duration::from_secs(4));
    let cases = [
        (Some(expected), true, true),
        (Some(left - SHORT), true, true),
        (Some(left + SHORT), true, false),
        (None, true, false),
    ];
    for (at_most, early, late) in cases {
        let work = WorkTime { expected, at_most };
        let allowed = |since| stopping(since, since + left).allows(work);
        assert_eq!((allowed(ESTIMATE_TIME - SHORT), allowed(ESTIMATE_TIME)), (early, late), "{work:?}");
    }
    let work = WorkTime { expected: left, at_most: Some(expected) };
    assert!(!stopping(ESTIMATE_TIME, ESTIMATE_TIME + left).allows(work), "what is not expected to end in time");
    let unlimited = Lifetime::default();
    unlimited.begin_stop_at(Instant::now() - LONG, None);
    assert!(unlimited.allows(WorkTime { expected: LONG, at_most: None }), "without a limit the stop waits");
}

/// A run that is begun late has ended, or can be given up whole, when the daemon ends, however wrong its estimate is.
#[test]
fn late_runs_end_before_the_daemon_whatever_they_take() {
    fn holds(since_ms: u16, limit_ms: u16, expected_ms: u16, at_most_ms: Option<u16>) -> bool {
        let ms = |ms: u16| Duration::from_millis(ms.into());
        let (since, limit) = (ESTIMATE_TIME + ms(since_ms), ESTIMATE_TIME + ms(limit_ms));
        let lifetime = stopping(since, limit);
        let work = WorkTime { expected: ms(expected_ms), at_most: at_most_ms.map(ms) };
        !lifetime.allows(work) || at_most_ms.is_some_and(|at_most| since + ms(at_most) <= limit)
    }
    QuickCheck::new().tests(20_000).quickcheck(holds as fn(u16, u16, u16, Option<u16>) -> bool);
}

#[tokio::test]
async fn too_late_for_comes_when_estimates_end() {
    let is_too_late = async |since, at_most| {
        let work = WorkTime { expected: SHORT, at_most };
        timeout(SHORT * 4, stopping(since, LONG).too_late_for(work)).await.is_ok()
    };
    assert!(is_too_late(ESTIMATE_TIME - SHORT, None).await, "estimates end in a moment");
    assert!(is_too_late(ESTIMATE_TIME - SHORT, Some(2 * LONG)).await, "it may outlast the daemon");
    assert!(!is_too_late(ESTIMATE_TIME - SHORT, Some(SHORT)).await, "it is certain to end");
    assert!(!is_too_late(Duration::ZERO, None).await, "estimates decide for a time");
}

#[test]
fn work_after_some_time_takes_less() {
    let work = WorkTime { expected: SHORT, at_most: Some(LONG) }.after(2 * SHORT);
    assert_eq!(work, WorkTime { expected: Duration::ZERO, at_most: Some(LONG - 2 * SHORT) });
    assert_eq!(WorkTime::unknown().after(SHORT), WorkTime::unknown());
}
