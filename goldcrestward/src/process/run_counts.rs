//! Numbers of runs by how long they took, in a form that is small enough to be sent to other daemons.

use std::time::Duration;

/// Number of bounds between the times that are told apart.
const BOUNDS: usize = 13;
/// Longest time of the shortest runs, in ms.
const FIRST_BOUND_MS: f64 = 500.0;
/// Each bound is this many times the one before; the last one is 15.2 s.
const BOUND_RATIO: f64 = 1.33;

/// Recent runs of one kind, of one daemon or of several.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunCounts {
    /// Runs up to each bound and above the one before, and last those above all bounds.
    counts: [u32; BOUNDS + 1],
    longest: Duration,
}

impl RunCounts {
    /// Takes the figures of another daemon; what it counts beyond the last bound is one figure.
    pub fn new(counts: &[u32], longest: Duration) -> Self {
        let mut all = [0; BOUNDS + 1];
        all.iter_mut().zip(counts).for_each(|(count, known)| *count = *known);
        Self { counts: all, longest }
    }

    /// The figures by bound, without zeros at the end.
    pub fn counts(&self) -> &[u32] {
        let used = self.counts.iter().rposition(|count| *count > 0).map_or(0, |last| last + 1);
        &self.counts[..used]
    }

    /// The longest run.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Adds `count` runs that took `took`.
    pub fn record(&mut self, took: Duration, count: u32) {
        let bucket = (0..BOUNDS).find(|index| took <= bound(*index)).unwrap_or(BOUNDS);
        self.counts[bucket] = self.counts[bucket].saturating_add(count);
        self.longest = self.longest.max(took);
    }

    /// Adds the runs of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(more);
        }
        self.longest = self.longest.max(other.longest);
    }

    /// Time within which all but `share` of the runs ended; those between two bounds are taken to be spread evenly.
    pub fn time_of_all_but(&self, share: f64) -> Duration {
        let mut allowed = self.total() as f64 * share;
        if allowed < 1.0 {
            return self.longest;
        }
        for (index, count) in self.counts.iter().enumerate().rev() {
            let count = f64::from(*count);
            if count > allowed {
                let lower = index.checked_sub(1).map_or(Duration::ZERO, bound);
                let upper = if index < BOUNDS { bound(index).min(self.longest) } else { self.longest };
                return upper - upper.saturating_sub(lower).mul_f64(allowed / count);
            }
            allowed -= count;
        }
        Duration::ZERO
    }
}

fn bound(index: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BOUND_MS / 1_000.0 * BOUND_RATIO.powi(index as i32))
}

#[cfg(test)]
#[path = "run_counts_test.rs"]
mod run_counts_test;
