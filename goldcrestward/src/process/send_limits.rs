//! Token buckets for the requests that all daemons together send to replicas that have named a rate limit.
//!
//! The relay of a replica's availability zone decides on each request, within the share of the daemons that it hears. A daemon that reaches no
//! relay uses a share of its own.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::exchange::SILENCE_MS;
use crate::util::stable_hash;

/// Lowest rate that is granted, so that an answer can tell when the limit ends.
const MIN_PER_SECOND: f64 = 0.25;
/// Time whose grants may be used at once, after a pause.
const BURST_SECONDS: f64 = 0.5;
/// Time without a request, beyond that in which one is granted, after which a bucket is forgotten.
const RESTART_MS: u64 = 2_000;
/// Smallest share of a limit.
const MIN_SHARE: f64 = 1e-4;
/// Part of its share that an isolated daemon uses, as the requests of several by chance come together.
const USED_SHARE: f64 = 0.6;
/// Time without a question after which an unanswered one says nothing about the relay. A replica is not offered for 2 s at most.
const FORGET_MS: u64 = 5_000;
/// Time for which a replica is not offered after its relay has not answered.
const SILENCE_WAIT: Duration = Duration::from_millis(60);
/// Shortest time after which a refused request may ask again.
const MIN_WAIT: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated_ms: u64,
}

/// The requests that this daemon may grant, by the replica's run.
#[derive(Debug)]
pub(crate) struct SendLimits {
    buckets: HashMap<u64, Bucket>,
    seed: u64,
}

impl SendLimits {
    /// Creates empty buckets. Daemons with different seeds use their parts of a limit at different times.
    pub fn new(seed: u64) -> Self {
        Self { buckets: HashMap::new(), seed }
    }

    /// Charges one request to a limit of `per_second` requests, of which this daemon grants a `share` from 0 to 1.
    ///
    /// # Errors
    /// Returns the time after which to ask again if the limit is used up.
    pub fn charge(&mut self, run: u64, per_second: f64, share: f64, now: u64) -> Result<(), Duration> {
        let rate = per_second.max(MIN_PER_SECOND) * share.clamp(MIN_SHARE, 1.0);
        let retention = RESTART_MS + refill_ms(rate);
        self.buckets.retain(|_, bucket| now.saturating_sub(bucket.updated_ms) < retention);
        // The shares of many daemons that begin at the same time would otherwise exceed the limit together.
        let first = if share < 1.0 { self.phase(run) } else { 1.0 };
        let bucket = self.buckets.entry(run).or_insert(Bucket { tokens: first, updated_ms: now });
        let seconds = now.saturating_sub(bucket.updated_ms) as f64 / 1000.0;
        bucket.updated_ms = now;
        bucket.tokens = (bucket.tokens + rate * seconds).min((rate * BURST_SECONDS).max(1.0));
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((1.0 - bucket.tokens) / rate);
        Err(wait.max(MIN_WAIT))
    }

    /// A number from 0 to 1 that differs between daemons.
    fn phase(&self, run: u64) -> f64 {
        let hash = stable_hash(&[&self.seed.to_le_bytes(), &run.to_le_bytes()]);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The share of replicas' limits that a daemon grants itself while it reaches no relay.
#[derive(Debug)]
pub(crate) struct IsolatedSends {
    limits: SendLimits,
    /// When the relay of an availability zone first and last did not answer, since it last did.
    unanswered: HashMap<Arc<str>, (u64, u64)>,
}

impl IsolatedSends {
    /// Creates empty buckets; see [`SendLimits::new`].
    pub fn new(seed: u64) -> Self {
        Self { limits: SendLimits::new(seed), unanswered: HashMap::new() }
    }

    /// Records that the relay that decides for the replicas of a zone has answered.
    pub fn record_answer(&mut self, zone: &str) {
        self.unanswered.remove(zone);
    }

    /// Charges one request to this daemon's share of a limit, at a site with so many daemons. It has none until the relay has been silent
    /// for a while, as the relay still grants the whole limit to the others.
    ///
    /// # Errors
    /// Returns the time after which to ask again.
    pub fn charge(
        &mut self,
        zone: &Arc<str>,
        (run, per_second): (u64, f64),
        daemons: usize,
        now: u64,
    ) -> Result<(), Duration> {
        let (since, last) = self.unanswered.entry(zone.clone()).or_insert((now, now));
        if now.saturating_sub(*last) >= FORGET_MS {
            *since = now;
        }
        *last = now;
        if now.saturating_sub(*since) < SILENCE_MS {
            return Err(SILENCE_WAIT);
        }
        self.limits.charge(run, per_second, USED_SHARE / daemons.max(1) as f64, now)
    }
}

/// Time in which one request is granted, in ms.
fn refill_ms(rate: f64) -> u64 {
    (1000.0 / rate).ceil() as u64
}

#[cfg(test)]
#[path = "send_limits_test.rs"]
mod send_limits_test;
