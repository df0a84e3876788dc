//! Counts of the old version, weighted to the periods and zones in which the new version ran.

use super::tally::Tally;

/// Tallies of the old and the new version in one period, on one route and in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TallyPair {
    pub old: Tally,
    pub new: Tally,
}

/// Counts of both versions over many periods, by direct standardization.
///
/// Each period of the old version is weighted by the number of requests that the new version
/// had in it, so a period or zone that was bad for both versions does not count against the
/// one with more requests in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StandardizedTally {
    /// The new version over all periods.
    pub new: Tally,
    /// The new version over the periods in which the old one ran too.
    pub matched: Tally,
    weighted_failed: f64,
    weighted_slow: f64,
    squared_weights: f64,
}

impl StandardizedTally {
    /// Adds one period in one zone.
    pub fn add(&mut self, pair: &TallyPair) {
        self.new.add(pair.new);
        if pair.old.count == 0 || pair.new.count == 0 {
            return;
        }
        self.matched.add(pair.new);
        let weight = pair.new.count as f64 / pair.old.count as f64;
        self.weighted_failed += weight * pair.old.failed as f64;
        self.weighted_slow += weight * pair.old.slow as f64;
        self.squared_weights += weight * pair.new.count as f64;
    }

    /// Adds the counts of another route.
    pub fn merge(&mut self, other: &Self) {
        self.new.add(other.new);
        self.matched.add(other.matched);
        self.weighted_failed += other.weighted_failed;
        self.weighted_slow += other.weighted_slow;
        self.squared_weights += other.squared_weights;
    }

    /// Effective sample size of the old version's weighted counts, in requests.
    pub fn effective_count(&self) -> u64 {
        if self.squared_weights <= 0.0 {
            return 0;
        }
        (self.matched.count as f64).powi(2).div_euclid(self.squared_weights) as u64
    }

    /// Failed requests of the old version, scaled to its effective sample size.
    pub fn old_failed(&self) -> u64 {
        self.scaled(self.weighted_failed)
    }

    /// Requests of the old version that missed the latency target, scaled to its effective sample size.
    pub fn old_slow(&self) -> u64 {
        self.scaled(self.weighted_slow)
    }

    fn scaled(&self, weighted: f64) -> u64 {
        let rate = weighted / (self.matched.count as f64).max(1.0);
        ((rate * self.effective_count() as f64).round() as u64).min(self.effective_count())
    }
}
