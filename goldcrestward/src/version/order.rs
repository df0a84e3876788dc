//! Moves that an operator orders to end within seconds, as plans.

use std::{sync::Arc, time::Duration};

use crate::config::{RolloutMode, VersionPlan};

/// Shares of traffic on the way in a short move. The first is that to which operators agree to expose a bad version.
const SHORT_STEPS: [f64; 3] = [0.1, 0.3, 1.0];
/// The same in a longer move, in which a smaller share gives the same evidence.
const STEPS: [f64; 3] = [0.07, 0.3, 1.0];
/// Time of a short move at most, in ms.
const SHORT_MS: u64 = 20_000;
/// Added share of failed or late requests that counts as harm: there is little time to tell less.
const HARM: f64 = 0.2;
/// Part of the time in which what still runs at the old version may end, and that time in ms at most.
const SETTLE_PART: f64 = 0.25;
const SETTLE_MOST_MS: u64 = 6_000;
/// The plan of a move to `version` that was ordered with the entry's `revision` and learnt of at `now_ms`.
pub(crate) fn ordered_plan(
    pool: Arc<str>,
    version: Arc<str>,
    time: Duration,
    revision: u64,
    now_ms: u64,
) -> VersionPlan {
    let time_ms = time.as_millis() as u64;
    let part = |part: f64| (time_ms as f64 * part) as u64;
    VersionPlan {
        // The same version may be ordered again after it was taken back.
        rollout_key: format!("{version}@{revision}").into(),
        name: version,
        pool,
        start_ms: Some(now_ms),
        date_ms: Some(now_ms + time_ms),
        steps: if time_ms <= SHORT_MS { SHORT_STEPS } else { STEPS }.to_vec(),
        harm_threshold: HARM,
        mode: RolloutMode::Ordered { settle_ms: part(SETTLE_PART).clamp(1, SETTLE_MOST_MS) },
    }
}

#[cfg(test)]
#[path = "order_test.rs"]
mod order_test;
