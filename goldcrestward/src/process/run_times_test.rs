use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use quickcheck::{QuickCheck, TestResult};

use super::{PERIOD, RunKind, RunTimes, SHORT_STOP, SOUND_SILENCE};
use crate::process::run_counts::RunCounts;

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
    assert_eq!((times.longest(&route, now), times.usual(&route, now)), (Some(MS * 2_020), Some(MS * 20)));
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
        let (times, route) = times(&vec![MS * 10_000; count], now);
        times.longest(&route, now).expect("runs are known")
    };
    assert!(longest(1) > longest(2) && longest(2) > longest(4) && longest(4) > longest(16));
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
    assert_eq!(times.longest(&route, now + PERIOD * 4), Some(MS * 2_020));
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

fn counts(runs: &[(Duration, u32)]) -> RunCounts {
    let mut counts = RunCounts::default();
    runs.iter().for_each(|(took, count)| counts.record(*took, *count));
    counts
}

/// Guards against LOST: a daemon that had seen one run of 1 s took what ran for 14 s at others, and cut it at its end.
#[test]
fn longest_rests_on_runs_of_all_daemons() {
    let now = Instant::now();
    let (times, route) = times(&[MS * 1_000], now);
    times.learn([(route.clone(), counts(&[(MS * 1_000, 700), (MS * 14_000, 300)]))], now);
    assert!(times.longest(&route, now) >= Some(MS * 14_000));
    let later = now + PERIOD;
    assert!(times.longest(&route, later) < Some(MS * 14_000), "what is not heard again no longer counts");
    times.learn([(route.clone(), RunCounts::default())], now);
    assert!(times.longest(&route, now) < Some(MS * 14_000), "a row that is gone no longer counts");
}

/// One rare long run of many turns away no other.
#[test]
fn longest_leaves_out_rare_runs_of_many() {
    let now = Instant::now();
    let (times, route) = times(&[], now);
    times.learn([(route.clone(), counts(&[(MS * 1_000, 999), (MS * 60_000, 1)]))], now);
    assert!((MS * 1_000..MS * 4_000).contains(&times.longest(&route, now).expect("runs are known")));
}

#[test]
fn longest_leaves_room_for_a_silent_server() {
    let now = Instant::now();
    for count in [1, 10, 1_000] {
        let (times, route) = times(&vec![MS * 1_000; count], now);
        assert!(times.longest(&route, now) >= Some(MS * 900 + SOUND_SILENCE), "{count} runs");
    }
}

/// Only runs of the other daemons that are of the same size, or the next larger one, count.
#[test]
fn longest_takes_the_nearest_size_of_own_runs_and_those_of_others() {
    let now = Instant::now();
    let (times, small) = (RunTimes::default(), kind("route", 10));
    times.record(&kind("route", 1_000), MS * 20_000, now);
    times.learn([(kind("route", 100), counts(&[(MS * 5_000, 1_000)]))], now);
    assert!(times.longest(&small, now) < Some(MS * 10_000));
    assert!(times.longest(&kind("route", 1_000), now) >= Some(MS * 20_000));
    assert_eq!(times.longest(&kind("route", 5_000), now), None);
}

#[test]
fn own_contains_shared_kinds_only() {
    let now = Instant::now();
    let (times, route) = times(&[MS * 200; 3], now);
    assert!(times.own(now).is_empty());
    times.share(&route);
    assert_eq!(times.own(now).remove(&route), Some(counts(&[(MS * 200, 3)])));
    assert!(times.own(now + PERIOD * 2).is_empty());
}

/// Guards against refusals of nearly all requests in a stop that is hardly longer than a silence.
#[test]
fn short_stops_leave_no_room_for_a_silent_server() {
    let now = Instant::now();
    let times = RunTimes::new(Some(SHORT_STOP / 2));
    (0..4).for_each(|_| times.record(&kind("route", 0), MS * 100, now));
    assert_eq!(times.longest(&kind("route", 0), now), Some(MS * 125));
}
