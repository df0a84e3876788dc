//! Decides whether a daemon acts as the relay of its availability zone, and to which daemons it reports.
//!
//! The daemons of a zone are ranked by a hash of their names. Each reports to the two highest ranked, and the highest
//! ranked that is heard speaks for the zone. No lease guards the role: a relay holds only sums that the daemons report
//! again, and a receiver listens to one relay of a zone at a time.

use super::timing::RELAY_TIMEOUT_MS;

/// Daemons of an availability zone that get reports: the relay and its substitute.
pub(crate) const RELAYS: usize = 2;
/// Time without a relay after which a daemon reports to the next ranks.
const SKIP_AFTER_MS: u64 = 1_300;
/// Time for reports to arrive before a daemon speaks for its zone.
const WARM_UP_MS: u64 = 500;
/// Time between two steps after which the daemon must have been suspended, so that its figures are old.
const SUSPENDED_MS: u64 = 800;

/// State of one daemon's role; times are in ms since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RelayRole {
    speaking: bool,
    /// Since when the daemon has got reports, if it does.
    candidate_since: Option<u64>,
    last_step: Option<u64>,
    /// When a relay that ranks above this daemon was last heard.
    superior_at: Option<u64>,
    /// When any relay of the zone was last heard, or the ranks to report to last changed.
    relay_at: u64,
    /// First of the ranks that get reports too, as those above are silent; 0 if they are not.
    substitutes: usize,
}

impl RelayRole {
    /// Whether the daemon speaks for its availability zone.
    pub fn is_speaking(&self) -> bool {
        self.speaking
    }

    /// Whether the daemon of this rank gets this daemon's reports.
    pub fn is_target(&self, rank: usize) -> bool {
        rank < RELAYS || (self.substitutes..self.substitutes + RELAYS).contains(&rank)
    }

    /// Records a message of a relay of the zone with the given rank; `is_superior` if it ranks above this daemon.
    pub fn record_relay(&mut self, rank: usize, is_superior: bool, now: u64) {
        self.relay_at = now;
        if rank < RELAYS {
            self.substitutes = 0;
        }
        if is_superior {
            self.superior_at = Some(now);
            self.speaking = false;
        }
    }

    /// Forgets the relay that was heard, as it has left the site.
    pub fn forget_relay(&mut self) {
        self.superior_at = None;
    }

    /// Advances to `now` for a daemon of this rank among `members` daemons. Returns true if the daemon has just begun
    /// to speak.
    pub fn step(&mut self, rank: usize, members: usize, now: u64) -> bool {
        let suspended = self.last_step.is_some_and(|last| now.saturating_sub(last) > SUSPENDED_MS);
        self.last_step = Some(now);
        if suspended {
            (self.speaking, self.candidate_since) = (false, None);
            self.relay_at = now;
        }
        if self.speaking {
            self.relay_at = now;
        }
        if now.saturating_sub(self.relay_at) > SKIP_AFTER_MS {
            self.relay_at = now;
            let next = self.substitutes + RELAYS;
            self.substitutes = if next < members { next } else { 0 };
        }
        if !self.is_target(rank) {
            self.candidate_since = None;
            // Until the new relay speaks, the previous one goes on.
            return false;
        }
        let since = *self.candidate_since.get_or_insert(now);
        if self.speaking || now < since + WARM_UP_MS {
            return false;
        }
        let patience = RELAY_TIMEOUT_MS * (rank % RELAYS) as u64;
        let hears_superior = self.superior_at.is_some_and(|at| now.saturating_sub(at) <= RELAY_TIMEOUT_MS);
        self.speaking = !hears_superior && now >= since + WARM_UP_MS + patience;
        self.speaking
    }
}

#[cfg(test)]
#[path = "relay_role_test.rs"]
mod relay_role_test;
