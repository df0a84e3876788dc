use std::{sync::Arc, time::Duration};

use super::{RUNS_INTERVAL_MS, Runs, Sent};
use crate::process::{run_counts::RunCounts, run_times::RunKind};

fn runs(routes: &[&str]) -> Runs {
    let mut counts = RunCounts::default();
    counts.record(Duration::from_secs(1), 1);
    routes.iter().map(|route| (RunKind::new(Arc::from(*route), None), counts.clone())).collect()
}

#[test]
fn run_rows_are_sent_in_turn_at_intervals() {
    let (mut sent, runs) = (Sent::default(), runs(&["a", "b", "c"]));
    let mut take =
        |limit, now| -> Vec<String> { sent.run_rows(&runs, limit, now).into_iter().map(|row| row.route).collect() };
    assert_eq!(take(2, 0), ["a", "b"]);
    assert_eq!(take(2, RUNS_INTERVAL_MS - 1), [""; 0]);
    assert_eq!(take(2, RUNS_INTERVAL_MS), ["c", "a"]);
    assert_eq!(take(usize::MAX, 2 * RUNS_INTERVAL_MS), ["b", "c", "a"]);
}

#[test]
fn run_rows_begin_again_for_a_new_recipient() {
    let (mut sent, runs) = (Sent::default(), runs(&["a", "b"]));
    assert_eq!(sent.run_rows(&runs, 1, 0).len(), 1);
    sent.restart();
    assert_eq!(sent.run_rows(&runs, 1, 1).first().map(|row| row.route.clone()), Some("a".to_owned()));
    assert!(sent.run_rows(&Runs::new(), 1, 2 * RUNS_INTERVAL_MS).is_empty());
}
