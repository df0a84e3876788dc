use std::time::Duration;

use super::{BOUNDS, RunCounts};

const MS: Duration = Duration::from_millis(1);

#[test]
fn time_of_all_but_leaves_out_rare_long_runs() {
    let mut counts = RunCounts::default();
    counts.record(MS * 900, 996);
    counts.record(MS * 9_000, 4);
    assert_eq!(counts.total(), 1_000);
    assert!((MS * 8_000..=MS * 9_000).contains(&counts.time_of_all_but(0.003)));
    assert!((MS * 900..MS * 1_200).contains(&counts.time_of_all_but(0.005)));
}

/// A time beyond all bounds is that of the longest run.
#[test]
fn time_of_all_but_covers_runs_beyond_the_bounds() {
    let mut counts = RunCounts::default();
    counts.record(MS * 60_000, 10);
    counts.record(MS * 100, 10);
    assert_eq!(counts.time_of_all_but(0.01), MS * 60_000);
    assert!(counts.time_of_all_but(0.5) <= MS * 500);
}

#[test]
fn add_sums_daemons_without_overflow() {
    let mut sum = RunCounts::default();
    for took in [MS * 400, MS * 4_000] {
        let mut daemon = RunCounts::default();
        daemon.record(took, u32::MAX);
        sum.add(&daemon);
        sum.add(&daemon);
    }
    assert_eq!((sum.total(), sum.longest()), (2 * u64::from(u32::MAX), MS * 4_000));
}

#[test]
fn new_reads_what_counts_returns() {
    let mut counts = RunCounts::default();
    counts.record(MS * 700, 3);
    assert!(counts.counts().len() < BOUNDS);
    assert_eq!(RunCounts::new(counts.counts(), counts.longest()), counts);
    assert_eq!(RunCounts::new(&[1; 100], MS).total(), BOUNDS as u64 + 1);
}
