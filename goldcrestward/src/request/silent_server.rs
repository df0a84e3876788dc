//! What is recorded of a server that a request has left.

use std::time::Instant;

use super::proxy::{ProxyCall, failure_sample};
use crate::process::{AttemptOutcome, ReplicaGuard};

impl ProxyCall {
    /// Whether a silent server answers others meanwhile, so that it may just need the time that such requests usually take.
    pub(super) fn is_at_work(&self, guard: &ReplicaGuard, cause: &str, started: Instant) -> bool {
        let elapsed = started.elapsed();
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        cause == "silent"
            && self.window.is_usual(elapsed)
            && guard.replica().has_answered_since(self.gateway.shared.now().saturating_sub(elapsed_ms))
    }

    /// Records the failure of the server that a request has left for another one.
    pub(super) async fn record_left(&mut self, guard: &ReplicaGuard, cause: &'static str, started: Instant) {
        // A server that turns the request away late has not failed.
        if cause == "not-run" {
            return;
        }
        if self.is_answering {
            self.gateway.shared.metrics.dropped.with_label_values(&[cause]).inc();
        }
        if self.is_answering || self.is_carriers_end(cause) {
            self.record_failure(guard, cause);
        } else {
            self.observe(guard, failure_sample(cause));
            if !self.is_at_work(guard, cause, started) {
                self.record_outcome(guard, AttemptOutcome::Failure);
            }
        }
        self.record_break(guard, cause).await;
    }
}
