//! Plans of rollouts that an operator orders to end within seconds.

use std::{sync::Arc, time::Duration};

use crate::{
    config::{RolloutMode, VersionPlan},
    store::Revision,
};

/// Shares of traffic by step in a short rollout. The first is the exposure to a bad version that operators accept.
const SHORT_STEPS: [f64; 3] = [0.1, 0.3, 1.0];
/// The same in a longer rollout, in which a smaller share yields the same evidence.
const LONG_STEPS: [f64; 3] = [0.07, 0.3, 1.0];
/// Longest duration of a short rollout.
const MAX_SHORT_MS: u64 = 20_000;
/// Added share of failed or late requests that counts as harm; there is too little time to detect less.
const HARM_SHARE: f64 = 0.2;
/// Fraction of the duration left for running requests of the old version to finish, at most `MAX_DRAIN_MS`.
const DRAIN_FRACTION: f64 = 0.25;
const MAX_DRAIN_MS: u64 = 6_000;

/// Plans the rollout of `version`. `revision` is that of the order's entry; `now_ms` is when this daemon learned of it.
pub(crate) fn ordered_plan(
    pool: Arc<str>,
    version: Arc<str>,
    duration: Duration,
    revision: Revision,
    now_ms: u64,
) -> VersionPlan {
    let duration_ms = duration.as_millis() as u64;
    let fraction_ms = |fraction: f64| (duration_ms as f64 * fraction) as u64;
    VersionPlan {
        // The same version may be ordered again after it was rolled back.
        rollout_key: format!("{version}@{revision}").into(),
        name: version,
        pool,
        start_ms: Some(now_ms),
        date_ms: Some(now_ms + duration_ms),
        steps: if duration_ms <= MAX_SHORT_MS { SHORT_STEPS } else { LONG_STEPS }.to_vec(),
        harm_threshold: HARM_SHARE,
        mode: RolloutMode::Ordered { drain_ms: fraction_ms(DRAIN_FRACTION).clamp(1, MAX_DRAIN_MS) },
    }
}

#[cfg(test)]
#[path = "order_test.rs"]
mod order_test;
