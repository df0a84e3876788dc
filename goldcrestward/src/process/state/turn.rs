//! Decides what a daemon does next to follow the state in the store.

use super::freshness::{Budget, Overdue};

/// Longest time for which the store holds a poll open, in ms.
const MAX_POLL_MS: u64 = 4_000;
/// Shortest time until a poll ends, in ms; the next place in the order is taken instead.
const MIN_POLL_MS: u64 = 100;
/// Daemons of each region that read the store, so that one may fail or be turned away.
const REGION_READERS: usize = 2;
/// Minimum number of daemons that read the store, at a site of few regions.
const MIN_READERS: usize = 4;

/// What a daemon does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Reads everything.
    List,
    /// Waits at the store for changes, for so many ms.
    Poll(u64),
    /// Reads the changes at once.
    CatchUp(Overdue),
    /// Relies on its peers.
    Rely,
}

impl Turn {
    /// Chooses the next one. `place` is the daemon's among those that read the store for all; `must_list` if changes alone
    /// do not lead from its copy to the store's state.
    pub fn next(
        budget: &Budget,
        place: Option<Place>,
        overdue: Option<Overdue>,
        must_list: bool,
        agreed_ms: u64,
    ) -> Self {
        match (overdue, place) {
            (None, None) => Self::Rely,
            _ if must_list => Self::List,
            (Some(overdue), _) => Self::CatchUp(overdue),
            (None, Some(place)) => Self::Poll(place.poll_ms(budget, agreed_ms)),
        }
    }

    /// Value in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::List => "listing",
            Self::Poll(_) => "poll",
            Self::CatchUp(_) => "catch-up",
            Self::Rely => "peers",
        }
    }
}

/// A daemon's place among those that read the store for all. Their polls end one after the other, so that while nothing
/// changes each slot of the budget brings news of the store to the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub index: usize,
    pub count: usize,
}

impl Place {
    /// Time from `agreed_ms`, on the clock that the daemons agree on, until the poll ends.
    pub fn poll_ms(self, budget: &Budget, agreed_ms: u64) -> u64 {
        let (index, count) = (self.index as u64, self.count as u64);
        let period = (count * budget.slot).min(MAX_POLL_MS);
        let until = (index * period / count + period - agreed_ms % period) % period;
        if until < MIN_POLL_MS { until + period } else { until }
    }
}

/// Number of daemons of each region that read the store, at a site of so many regions.
pub(super) fn readers_per_region(regions: usize) -> usize {
    MIN_READERS.div_ceil(regions.max(1)).max(REGION_READERS)
}

#[cfg(test)]
#[path = "turn_test.rs"]
mod turn_test;
