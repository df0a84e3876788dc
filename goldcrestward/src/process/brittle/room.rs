//! Places of one server that one daemon may fill while the server is brittle.
//!
//! Daemons learn of each other's requests with a delay. If each filled the places that it believes to be free, all would
//! fill the same ones, and the server would turn away the excess. So the free places are shared out before they are
//! filled: each daemon may add its part of them to what the others know of it. The places lie in a row, and the daemons' parts
//! cover the row in the order of their ranks, so that each place belongs to one daemon; the row is turned in each period.

use super::{recent_high::RecentHigh, recent_low::RecentLow};
use crate::util::stable_hash;

/// Time for which a server counts as brittle after it has last said so.
const STATEMENT_TTL_MS: u64 = 3_000;
/// Time after which all daemons know of a request.
pub(super) const KNOWN_AFTER_MS: u64 = 600;
/// Period after which the places go to other daemons.
const PERIOD_MS: u64 = 4 * KNOWN_AFTER_MS;
/// Longest time until a daemon that has filled its part looks again, as others may have left places free.
const RECHECK_MS: u64 = 300;
/// Bounds of the time for which a daemon sends nothing after it was turned away.
const BACK_OFF_MS: (u64, u64) = (250, 2_000);

/// What a daemon knows of a server, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Places {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Requests that it runs or queues, from all daemons, as far as this one knows.
    pub taken: u32,
    /// Requests of this daemon in flight.
    pub own: u32,
}

/// This daemon's place among those that may send to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DaemonRank {
    /// Its position in the order of the daemons' names, from 0.
    pub rank: usize,
    /// Number of daemons.
    pub count: usize,
}

impl DaemonRank {
    /// This daemon's part of places that are shared out evenly, in whole places. `turn`, from 0 to 1, says which daemons
    /// get the places that are left over.
    fn part_of(self, places: u32, turn: f64) -> u32 {
        let count = self.count.max(1) as f64;
        let end = |rank: usize| (rank as f64 * f64::from(places) / count + turn).floor();
        (end(self.rank + 1) - end(self.rank)) as u32
    }
}

/// One daemon's part of the room of a brittle server.
#[derive(Debug, Default)]
pub(crate) struct Room {
    /// Requests that the server may turn away in a second without falling over.
    max_refusals: u32,
    brittle_until: u64,
    /// Places of this daemon that the others know of.
    own_known: RecentLow,
    /// Places that this daemon has taken. Each counts for a short time after its request has ended, as the next one follows.
    claimed: RecentHigh,
    blocked_until: u64,
}

impl Room {
    /// Records that the server says that it is brittle; returns whether that is new.
    pub fn state(&mut self, max_refusals: u32, now: u64) -> bool {
        if !self.is_brittle(now) {
            self.own_known = RecentLow::starting(now);
        }
        let is_new = !self.is_brittle(now) || self.max_refusals != max_refusals;
        self.max_refusals = max_refusals;
        self.brittle_until = now + STATEMENT_TTL_MS;
        is_new
    }

    /// Whether the server has said lately that it is brittle.
    pub fn is_brittle(&self, now: u64) -> bool {
        now < self.brittle_until
    }

    /// Records that the server has turned a request away. All daemons together must stay below what it bears.
    pub fn record_refusal(&mut self, daemons: usize, now: u64) {
        let pause = 1_000 * daemons as u64 / u64::from(self.max_refusals.max(1));
        self.blocked_until = now + pause.clamp(BACK_OFF_MS.0, BACK_OFF_MS.1);
    }

    /// Time in ms until this daemon may send another request; 0 if it may now. `server` is the hash of the server's run, and
    /// `agreed_ms` the time agreed among the daemons.
    pub fn wait(&mut self, places: Places, daemon: DaemonRank, server: u64, now: u64, agreed_ms: u64) -> u64 {
        if !self.is_brittle(now) || places.slots == 0 {
            return 0;
        }
        if now < self.blocked_until {
            return self.blocked_until - now;
        }
        let Places { slots, taken, own } = places;
        let claimed = self.claimed.record(own, now);
        let own_known = self.own_known.record(claimed, now);
        // What this daemon has added since is part of `taken` already.
        let free = (slots + own).saturating_sub(own_known + taken);
        let (period, elapsed) = (agreed_ms / PERIOD_MS, agreed_ms % PERIOD_MS);
        let part = |period: u64| {
            let turn = unit(stable_hash(&[&server.to_le_bytes(), &period.to_le_bytes()]));
            daemon.part_of(free, turn)
        };
        // The daemon that had a place before may have filled it without this one knowing yet.
        let is_settled = elapsed >= KNOWN_AFTER_MS;
        let part = if is_settled { part(period) } else { part(period).min(part(period.wrapping_sub(1))) };
        if own < own_known + part {
            return 0;
        }
        let change = if is_settled { PERIOD_MS } else { KNOWN_AFTER_MS };
        (change - elapsed).min(RECHECK_MS)
    }
}

/// A number from 0 to 1, evenly distributed over hashes.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "room_test.rs"]
mod room_test;
