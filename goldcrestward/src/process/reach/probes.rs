//! Attempts to reach servers directly, each shared by all requests that wait for its result.

use std::{collections::HashMap, sync::Arc};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};

/// Time from the beginning of a probe in which its result is used instead of another probe.
const RESULT_TTL_MS: u64 = 300;

/// Whether the server was reached.
pub(super) type Outcome = Shared<BoxFuture<'static, bool>>;

struct Probe {
    begun_at: u64,
    outcome: Outcome,
}

/// The latest probe of each server.
#[derive(Default)]
pub(crate) struct Probes(HashMap<Arc<str>, Probe>);

impl Probes {
    /// The outcome of the latest probe of a server. If there is none or it is too old, a new one is returned as well, for
    /// the caller to run.
    pub(super) fn join(
        &mut self,
        server: &Arc<str>,
        now: u64,
        probe: impl FnOnce() -> BoxFuture<'static, bool>,
    ) -> (Outcome, Option<Outcome>) {
        self.0.retain(|_, probe| now < probe.begun_at + RESULT_TTL_MS);
        if let Some(probe) = self.0.get(server) {
            return (probe.outcome.clone(), None);
        }
        let outcome = probe().shared();
        self.0.insert(server.clone(), Probe { begun_at: now, outcome: outcome.clone() });
        (outcome.clone(), Some(outcome))
    }
}

#[cfg(test)]
#[path = "probes_test.rs"]
mod probes_test;
