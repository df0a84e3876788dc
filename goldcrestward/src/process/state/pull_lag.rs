//! How long this daemon has been behind a revision of the site's state that a peer has announced.

use crate::store::Revision;

/// Time after which pulls from peers count as failed for an announced revision. Together with a slow listing of the store
/// it stays within the time in which a change must be in force.
const MAX_LAG_MS: u64 = 1_000;

/// The revision that this daemon is to get from its peers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PullLag {
    wanted: Revision,
    /// When it was announced, in ms since the daemon's start.
    since: u64,
}

impl PullLag {
    /// Records that a peer has announced a revision newer than `own`. While an earlier one is still missing, that one
    /// counts.
    pub fn record(&mut self, announced: Revision, own: Revision, now: u64) {
        if own >= self.wanted {
            *self = Self { wanted: announced, since: now };
        }
    }

    /// Whether the announced revision has been missing for so long that it must be read in the store.
    pub fn is_overdue(&self, own: Revision, now: u64) -> bool {
        own < self.wanted && now.saturating_sub(self.since) > MAX_LAG_MS
    }

    pub fn wanted(&self) -> Revision {
        self.wanted
    }
}

#[cfg(test)]
#[path = "pull_lag_test.rs"]
mod pull_lag_test;
