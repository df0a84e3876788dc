//! Test of whether the new version has more bad answers than the old one.

use super::bound::binomial_tail;

/// Bad answers of both versions, and how many of them were to be expected from the new one, over many periods: a
/// stratified test (Mantel and Haenszel 1959) that every period and zone adds to, however few requests the old version
/// has left there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Excess {
    new: u64,
    both: u64,
    expected: f64,
}

impl Excess {
    pub fn add(&mut self, new: u64, old: u64, new_share: f64) {
        self.new += new;
        self.both += new + old;
        self.expected += new_share * (new + old) as f64;
    }

    pub fn merge(&mut self, other: &Self) {
        self.new += other.new;
        self.both += other.both;
        self.expected += other.expected;
    }

    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            new: self.new.saturating_sub(earlier.new),
            both: self.both.saturating_sub(earlier.both),
            expected: (self.expected - earlier.expected).max(0.0),
        }
    }

    /// Bad answers of the new version beyond the expected ones.
    pub fn surplus(&self) -> f64 {
        self.new as f64 - self.expected
    }

    /// Probability of as many bad answers of the new version or more if both versions are alike.
    pub fn probability(&self) -> f64 {
        binomial_tail(self.new, self.both, self.expected)
    }
}
