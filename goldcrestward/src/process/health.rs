//! How well a backend server has answered of late.

use crate::util::value;

/// Part of the distance to 1 that a failure adds.
const FAILURE: f64 = 0.35;
/// Part of the distance to 1 that a failure adds for which the server vouches, as applications fail now and then.
const OWN_FAILURE: f64 = 0.06;
/// What is left of past trouble after an answer.
const ANSWER: f64 = 0.85;
/// Time in which trouble of which nothing more is heard halves, in ms.
const HALF_LIFE_MS: f64 = 2_500.0;

value! {
    /// How an attempt went.
    pub(crate) enum AttemptOutcome {
        /// The server answered.
        Success,
        /// The server vouches for the failure.
        ErrorResponse,
        /// The server broke off, kept silent or could not be reached.
        Failure,
    }
}

/// FailureScore with a server, from 0 for none to 1.
#[derive(Debug, Default)]
pub(crate) struct FailureScore {
    level: f64,
    at: u64,
}

impl FailureScore {
    /// Takes in how an attempt went.
    pub fn record(&mut self, verdict: AttemptOutcome, now: u64) {
        let level = self.value(now);
        self.at = now;
        self.level = match verdict {
            AttemptOutcome::Success => level * ANSWER,
            AttemptOutcome::ErrorResponse => level + OWN_FAILURE * (1.0 - level),
            AttemptOutcome::Failure => level + FAILURE * (1.0 - level),
        };
    }

    /// The trouble now.
    pub fn value(&self, now: u64) -> f64 {
        self.level * (-(now.saturating_sub(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}

#[cfg(test)]
#[path = "health_test.rs"]
mod health_test;
