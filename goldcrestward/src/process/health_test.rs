//! Tests of the score of a server's failures.

use super::{AttemptOutcome, FailureScore};

fn score_after(outcomes: &[AttemptOutcome]) -> f64 {
    let mut score = FailureScore::default();
    outcomes.iter().for_each(|outcome| score.record(*outcome, 0));
    score.value(0)
}

#[test]
fn score_rises_with_failures_and_falls_with_successes() {
    use AttemptOutcome::{ErrorResponse, Failure, Success};

    assert_eq!(score_after(&[Success, Success]), 0.0);
    assert!(score_after(&[Failure]) > 0.3);
    assert!(score_after(&[Failure, Failure, Failure]) > score_after(&[Failure]));
    assert!(score_after(&[Failure, Success, Success, Success, Success, Success, Success]) < 0.15);
    // An application that answers one request in seven with an error is barely penalized.
    let usual: Vec<_> = (0..70).map(|n| if n % 7 == 6 { ErrorResponse } else { Success }).collect();
    assert!(score_after(&usual) < 0.1);
    // A server that fails every second request has a clearly higher score.
    let faulty: Vec<_> = (0..20).map(|n| if n % 2 == 0 { Failure } else { Success }).collect();
    assert!(score_after(&faulty) > 0.4);
}

#[test]
fn has_answered_since_knows_the_last_answer() {
    let mut score = FailureScore::default();
    assert!(!score.has_answered_since(0));
    score.record(AttemptOutcome::Failure, 50);
    assert!(!score.has_answered_since(0));
    score.record(AttemptOutcome::ErrorResponse, 100);
    score.record(AttemptOutcome::Failure, 200);
    assert!(score.has_answered_since(100) && !score.has_answered_since(101));
}

#[test]
fn score_decays_with_time() {
    let mut score = FailureScore::default();
    score.record(AttemptOutcome::Failure, 0);
    assert!(score.value(2_500) < score.value(0) * 0.51);
    assert!(score.value(20_000) < 0.01);
}
