//! Counts of the old version, weighted to the periods and zones in which the new version ran.

use super::{excess::Excess, tally::Tally};

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
    pub failed_excess: Excess,
    pub slow_excess: Excess,
    /// Sum of the weights of the periods in the difference of both versions.
    difference_weights: f64,
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
        let new_share = pair.new.count as f64 / (pair.new.count + pair.old.count) as f64;
        self.failed_excess.add(pair.new.failed, pair.old.failed, new_share);
        self.slow_excess.add(pair.new.slow, pair.old.slow, new_share);
        self.difference_weights += new_share * pair.old.count as f64;
    }

    /// Adds the counts of another route.
    pub fn merge(&mut self, other: &Self) {
        self.new.add(other.new);
        self.matched.add(other.matched);
        self.weighted_failed += other.weighted_failed;
        self.weighted_slow += other.weighted_slow;
        self.squared_weights += other.squared_weights;
        self.failed_excess.merge(&other.failed_excess);
        self.slow_excess.merge(&other.slow_excess);
        self.difference_weights += other.difference_weights;
    }

    /// The counts that came after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let less = |now: f64, then: f64| (now - then).max(0.0);
        Self {
            new: self.new - earlier.new,
            matched: self.matched - earlier.matched,
            weighted_failed: less(self.weighted_failed, earlier.weighted_failed),
            weighted_slow: less(self.weighted_slow, earlier.weighted_slow),
            squared_weights: less(self.squared_weights, earlier.squared_weights),
            failed_excess: self.failed_excess.since(&earlier.failed_excess),
            slow_excess: self.slow_excess.since(&earlier.slow_excess),
            difference_weights: less(self.difference_weights, earlier.difference_weights),
        }
    }

    /// Effective sample size of the old version's weighted counts, in requests.
    pub fn effective_count(&self) -> u64 {
        if self.squared_weights <= 0.0 {
            return 0;
        }
        (self.matched.count as f64).powi(2).div_euclid(self.squared_weights) as u64
    }

    /// Share of its requests by which the new version has more bad answers than the old one.
    pub fn added_share(&self, excess: &Excess) -> f64 {
        excess.surplus() / self.difference_weights.max(1.0)
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
