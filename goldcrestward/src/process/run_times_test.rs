use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use quickcheck::{QuickCheck, TestResult};

use super::{PERIOD, RunKind, RunTimes};

const MS: Duration = Duration::from_millis(1);

fn kind(route: &str, tokens: u32) -> RunKind {
    RunKind::new(Arc::from(route), Some(tokens))
}

fn times(runs: &[Duration], now: Instant) -> (RunTimes, RunKind) {
    let (times, kind) = (RunTimes::default(), kind("route", 0));
    runs.iter().for_each(|took| times.record(&kind, *took, now));
    (times, kind)
}

#[test]
fn unknown_routes_have_no_time() {
    let now = Instant::now();
    let (times, route) = times(&[MS * 20], now);
    assert_eq!(times.longest(&kind("another", 0), now), None);
    assert_eq!((times.longest(&route, now), times.usual(&route, now)), (Some(MS * 40), Some(MS * 20)));
}

/// A run that may write more than any known one is not expected to end as soon as they did.
#[test]
fn size_without_runs_takes_as_long_as_the_next_larger() {
    let now = Instant::now();
    let times = RunTimes::default();
    for tokens in [10, 1_000] {
        (0..10).for_each(|_| times.record(&kind("route", tokens), MS * tokens, now));
    }
    let usual = |tokens| times.usual(&kind("route", tokens), now).map(|time| time.as_millis() / 10);
    assert_eq!([0, 15, 16, 1_000, 5_000].map(usual), [Some(1), Some(1), Some(100), Some(100), None]);
    assert_eq!(times.usual(&RunKind::new(Arc::from("route"), None), now), None);
    assert_eq!(times.usual(&kind("routes", 10), now), None);
}

#[test]
fn reserve_is_larger_the_fewer_runs_are_known() {
    let now = Instant::now();
    let longest = |count| {
        let (times, route) = times(&vec![MS * 100; count], now);
        times.longest(&route, now).expect("runs are known")
    };
    assert!(longest(1) > longest(2) && longest(2) > longest(4) && longest(4) == longest(400));
}

#[test]
fn one_long_run_counts_for_longest_only() {
    let now = Instant::now();
    let mut runs = vec![MS * 20; 99];
    runs.push(MS * 2_000);
    let (times, route) = times(&runs, now);
    assert!(times.longest(&route, now) >= Some(MS * 2_000));
    assert!(times.usual(&route, now) <= Some(MS * 21));
}

#[test]
fn runs_count_for_one_period_at_least_and_two_at_most() {
    let now = Instant::now();
    let (times, route) = times(&[MS * 500; 10], now);
    assert!(times.longest(&route, now + PERIOD).is_some());
    assert!(times.longest(&route, now + PERIOD * 2).is_none());
    times.record(&route, MS * 20, now + PERIOD * 4);
    assert_eq!(times.longest(&route, now + PERIOD * 4), Some(MS * 40));
}

/// Whatever the runs were, the longest of them would have been expected to end in time.
#[test]
fn longest_covers_each_run() {
    fn covers(runs: Vec<u32>) -> TestResult {
        let runs: Vec<Duration> = runs.iter().map(|ms| MS * (ms % 600_000)).collect();
        if runs.is_empty() {
            return TestResult::discard();
        }
        let now = Instant::now();
        let (times, route) = times(&runs, now);
        let longest = times.longest(&route, now);
        let usual = times.usual(&route, now);
        TestResult::from_bool(longest >= runs.iter().max().copied() && usual <= longest)
    }
    QuickCheck::new().quickcheck(covers as fn(Vec<u32>) -> TestResult);
}
