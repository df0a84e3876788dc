//! Counts of request outcomes by version, route and zone.

use std::{collections::HashMap, ops::Sub, sync::Arc};

use parking_lot::Mutex;

use crate::{pb, util::derive_value_traits};

derive_value_traits! {
    /// Outcome of a request as evidence on its version.
    pub(crate) enum Sample {
        /// The request was answered completely.
        Good,
        /// The request failed, was cut off, or its answer was wrong.
        Failed,
        /// The answer missed the latency target. Counted in addition to `Good` or `Failed`.
        Slow,
        /// The server was given up as it was silent beyond the latency target.
        GivenUp,
    }
}

/// Counts of request outcomes; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// All requests.
    pub count: u64,
    pub failed: u64,
    /// Requests that missed the latency target.
    pub slow: u64,
}

impl Tally {
    pub fn add(&mut self, other: Self) {
        self.count += other.count;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

impl Sub for Tally {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            count: self.count.saturating_sub(earlier.count),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Identifies a tally.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TallyKey {
    pub version: Arc<str>,
    pub route: Arc<str>,
    /// Availability zone of the replica.
    pub zone: Arc<str>,
}

/// The tallies that one daemon has counted.
#[derive(Default)]
pub(crate) struct EvidenceTable {
    rows: Mutex<HashMap<TallyKey, Tally>>,
}

impl EvidenceTable {
    /// Counts a sample. `Slow` does not count a request, as its end is counted separately.
    pub fn count(&self, key: TallyKey, sample: Sample) {
        let mut rows = self.rows.lock();
        let tally = rows.entry(key).or_default();
        match sample {
            Sample::Good => tally.count += 1,
            Sample::Failed => {
                tally.count += 1;
                tally.failed += 1;
            }
            Sample::Slow => tally.slow += 1,
            Sample::GivenUp => {
                tally.count += 1;
                tally.slow += 1;
            }
        }
    }

    /// Drops the tallies of a version before its next rollout, as its earlier servers are no evidence on the new ones.
    pub fn remove_version(&self, version: &str) {
        self.rows.lock().retain(|key, _| *key.version != *version);
    }

    /// Exports the tallies of `versions` for another daemon.
    pub fn export(&self, versions: &[Arc<str>]) -> Vec<pb::Evidence> {
        let rows = self.rows.lock();
        let wanted = rows.iter().filter(|(key, _)| versions.contains(&key.version));
        wanted
            .map(|(key, tally)| pb::Evidence {
                version: key.version.to_string(),
                route: key.route.to_string(),
                zone: key.zone.to_string(),
                good: tally.count - tally.failed.min(tally.count),
                failed: tally.failed,
                slow: tally.slow,
            })
            .collect()
    }
}
