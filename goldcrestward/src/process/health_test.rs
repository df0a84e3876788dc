//! Tests of how trouble with a server is judged.

use super::{AttemptOutcome, FailureScore};

fn after(verdicts: &[AttemptOutcome]) -> f64 {
    let mut trouble = FailureScore::default();
    verdicts.iter().for_each(|verdict| trouble.record(*verdict, 0));
    trouble.value(0)
}

#[test]
fn trouble_rises_with_failures_and_falls_with_answers() {
    use AttemptOutcome::{ErrorResponse, Failure, Success};

    assert_eq!(after(&[Success, Success]), 0.0);
    assert!(after(&[Failure]) > 0.3);
    assert!(after(&[Failure, Failure, Failure]) > after(&[Failure]));
    assert!(after(&[Failure, Success, Success, Success, Success, Success, Success]) < 0.15);
    // An application that fails one request in seven is as good as its neighbours.
    let usual: Vec<_> = (0..70).map(|n| if n % 7 == 6 { ErrorResponse } else { Success }).collect();
    assert!(after(&usual) < 0.1);
    // A server that fails every second request is told apart.
    let faulty: Vec<_> = (0..20).map(|n| if n % 2 == 0 { Failure } else { Success }).collect();
    assert!(after(&faulty) > 0.4);
}

#[test]
fn trouble_is_forgotten_with_time() {
    let mut trouble = FailureScore::default();
    trouble.record(AttemptOutcome::Failure, 0);
    assert!(trouble.value(2_500) < trouble.value(0) * 0.51);
    assert!(trouble.value(20_000) < 0.01);
}
