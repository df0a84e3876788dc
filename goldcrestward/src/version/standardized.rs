//! The old version's record, weighted to the periods and zones in which the new version ran.

use super::tally::Tally;

/// Tallies of the old and the new version in one period, on one route and in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Pair {
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
}

/// Both versions over many periods, by direct standardisation.
///
/// Each period counts for the old version as much as the new version ran in it, so a time or
/// a zone that was bad for both does not tell against the one that ran more in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StandardizedTally {
    /// The new version, all periods.
    pub new: Tally,
    /// The new version, in periods in which the old one ran too.
    pub matched: Tally,
    failed: f64,
    slow: f64,
    squares: f64,
}

impl StandardizedTally {
    /// Adds one period.
    pub fn add(&mut self, pair: &Pair) {
        self.new.add(pair.new);
        if pair.old.count == 0 || pair.new.count == 0 {
            return;
        }
        self.matched.add(pair.new);
        let weight = pair.new.count as f64 / pair.old.count as f64;
        self.failed += weight * pair.old.failed as f64;
        self.slow += weight * pair.old.slow as f64;
        self.squares += weight * pair.new.count as f64;
    }

    /// Adds the periods of another route.
    pub fn merge(&mut self, other: &Self) {
        self.new.add(other.new);
        self.matched.add(other.matched);
        self.failed += other.failed;
        self.slow += other.slow;
        self.squares += other.squares;
    }

    /// Requests of the old version that its weighted record is worth.
    pub fn effective_count(&self) -> u64 {
        if self.squares <= 0.0 {
            return 0;
        }
        (self.matched.count as f64).powi(2).div_euclid(self.squares) as u64
    }

    /// Failed requests among those that the record is worth.
    pub fn old_failed(&self) -> u64 {
        self.scaled(self.failed)
    }

    /// Late requests among those that the record is worth.
    pub fn old_slow(&self) -> u64 {
        self.scaled(self.slow)
    }

    fn scaled(&self, weighted: f64) -> u64 {
        let rate = weighted / (self.matched.count as f64).max(1.0);
        ((rate * self.effective_count() as f64).round() as u64).min(self.effective_count())
    }
}
