//! Score of a backend server's recent failures.

use crate::util::derive_value_traits;

/// Fraction of the distance to 1 that a failure adds to the score.
const FAILURE_STEP: f64 = 0.35;
/// Fraction of the distance to 1 that a complete error response adds to the score. It is small because
/// applications fail now and then.
const ERROR_RESPONSE_STEP: f64 = 0.06;
/// Factor on the score after a successful attempt.
const SUCCESS_FACTOR: f64 = 0.85;
/// Time in which the score halves without new outcomes.
const HALF_LIFE_MS: f64 = 2_500.0;

derive_value_traits! {
    /// Outcome of an attempt at a server.
    pub(crate) enum AttemptOutcome {
        /// The server gave a response without a server error.
        Success,
        /// The server gave a complete response with a server error.
        ErrorResponse,
        /// The server broke the connection, timed out or could not be reached.
        Failure,
    }
}

/// Score of a server's recent failures, from 0 for none to 1.
#[derive(Debug, Default)]
pub(crate) struct FailureScore {
    score: f64,
    updated_at: u64,
    answered_at: Option<u64>,
}

impl FailureScore {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: u64) {
        let score = self.value(now);
        self.updated_at = now;
        if outcome != AttemptOutcome::Failure {
            self.answered_at = Some(now);
        }
        self.score = match outcome {
            AttemptOutcome::Success => score * SUCCESS_FACTOR,
            AttemptOutcome::ErrorResponse => score + ERROR_RESPONSE_STEP * (1.0 - score),
            AttemptOutcome::Failure => score + FAILURE_STEP * (1.0 - score),
        };
    }

    /// Whether an attempt has been answered since `at`, in ms.
    pub fn has_answered_since(&self, at: u64) -> bool {
        self.answered_at.is_some_and(|answered| answered >= at)
    }

    /// The score at `now`, in ms, after its decay.
    pub fn value(&self, now: u64) -> f64 {
        self.score * (-(now.saturating_sub(self.updated_at) as f64) / HALF_LIFE_MS).exp2()
    }
}

#[cfg(test)]
#[path = "health_test.rs"]
mod health_test;
