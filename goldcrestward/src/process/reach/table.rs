//! What this daemon knows of its links to backend servers, from connections that it opened or could not open.
//!
//! Pure state: it takes in results and the time, and says which path to take.

use std::{collections::HashMap, sync::Arc};

use crate::connection::ConnectError;

/// Failures in a row after which a server counts as unreached.
const LOST_AFTER: u32 = 2;
/// Servers in a row that could not be reached, without one that could, after which the daemon counts as cut off.
const CUT_OFF_AFTER: usize = 3;
/// Time since the last sign of any server before which a daemon does not count as cut off.
const CUT_OFF_SILENCE_MS: u64 = 300;
/// Pause between two checks of a server that is silent.
const CHECK_PAUSE_MS: u64 = 1_000;
/// Time for which a server that could not be reached speaks for a cut.
const UNREACHED_TTL_MS: u64 = 3_000;
/// Pause between two attempts to reach a lost server directly; it doubles up to the maximum.
const PROBE_PAUSE_MS: (u64, u64) = (400, 1_600);
/// Time after which what is known of a server is forgotten unless it is lost.
const FORGET_MS: u64 = 30_000;

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    /// By itself.
    Direct,
    /// By way of a peer.
    Relay,
    /// By way of a peer, and this caller checks whether the server can be reached directly again.
    RelayAndProbe,
}

/// What a result has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    /// The server counts as unreached from now on.
    Lost,
    /// The server can be reached again.
    Back,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    failures: u32,
    lost: bool,
    /// Whether it was lost by silence, which says nothing about the server.
    silent: bool,
    /// When a silence is looked at again.
    next_check: u64,
    next_probe: u64,
    probe_pause: u64,
    updated_at: u64,
}

/// This daemon's links to backend servers.
#[derive(Debug, Default)]
pub(crate) struct ReachTable {
    links: HashMap<Arc<str>, Link>,
    /// Servers that could not be reached since the last one that could, and when.
    unreached: HashMap<Arc<str>, u64>,
    /// When a server was last reached or answered directly.
    reached_at: Option<u64>,
}

impl ReachTable {
    /// The path to a server.
    pub fn path(&mut self, server: &Arc<str>, now: u64) -> Path {
        let cut_off = self.is_cut_off(now);
        let link = self.links.entry(server.clone()).or_default();
        if cut_off && !link.lost {
            // Whatever cuts off the others cuts off this one as well; a probe finds out if it does not.
            *link = Link { lost: true, silent: true, probe_pause: PROBE_PAUSE_MS.0, next_probe: now, ..*link };
        }
        if !link.lost {
            return Path::Direct;
        }
        if now < link.next_probe {
            return Path::Relay;
        }
        link.next_probe = now + link.probe_pause;
        link.probe_pause = (link.probe_pause * 2).min(PROBE_PAUSE_MS.1);
        Path::RelayAndProbe
    }

    /// Records whether a new connection to a server could be opened directly.
    pub fn record(&mut self, server: &Arc<str>, result: Result<(), ConnectError>, now: u64) -> Change {
        let link = self.links.entry(server.clone()).or_default();
        let was_lost = link.lost;
        link.updated_at = now;
        if result.is_ok() {
            *link = Link { updated_at: now, next_check: link.next_check, ..Link::default() };
            self.unreached.clear();
            self.reached_at = Some(now);
            return if was_lost { Change::Back } else { Change::None };
        }
        link.silent = result == Err(ConnectError::Silent);
        link.failures += 1;
        link.lost |= link.failures >= LOST_AFTER;
        if link.lost && !was_lost {
            link.probe_pause = PROBE_PAUSE_MS.0;
            link.next_probe = now + PROBE_PAUSE_MS.0;
        }
        let lost_now = link.lost && !was_lost;
        // A cut may refuse connections as well as swallow them.
        self.unreached.insert(server.clone(), now);
        if lost_now { Change::Lost } else { Change::None }
    }

    /// Records a response that came directly from a server.
    pub fn record_answer(&mut self, server: &Arc<str>, now: u64) -> Change {
        if self.links.contains_key(server) {
            return self.record(server, Ok(()), now);
        }
        self.unreached.clear();
        self.reached_at = Some(now);
        Change::None
    }

    /// Records that a server has been silent on an open connection for a time in which it has answered nobody here. A new
    /// connection that fails as well makes it lost. Returns whether this caller is to try one.
    pub fn record_silence(&mut self, server: &Arc<str>, now: u64) -> bool {
        let link = self.links.entry(server.clone()).or_default();
        if link.lost || now < link.next_check {
            return false;
        }
        *link = Link {
            failures: link.failures.max(LOST_AFTER - 1),
            updated_at: now,
            next_check: now + CHECK_PAUSE_MS,
            ..*link
        };
        true
    }

    /// Whether this daemon reaches none of the servers that it has tried lately, so that its failures say nothing about
    /// the servers.
    pub fn is_cut_off(&self, now: u64) -> bool {
        let is_reached = self.reached_at.is_some_and(|at| now < at + CUT_OFF_SILENCE_MS);
        let unreached = self.unreached.values().filter(|at| now < **at + UNREACHED_TTL_MS).count();
        unreached >= CUT_OFF_AFTER && !is_reached
    }

    /// Whether the path to a server has failed, so that failures on it say nothing about the server.
    pub fn has_no_path(&self, server: &str) -> bool {
        self.links.get(server).is_some_and(|link| link.lost && link.silent)
    }

    /// Whether a server counts as unreached.
    #[cfg(test)]
    pub fn is_lost(&self, server: &str) -> bool {
        self.links.get(server).is_some_and(|link| link.lost)
    }

    /// Number of servers that count as unreached.
    pub fn lost(&self) -> usize {
        self.links.values().filter(|link| link.lost).count()
    }

    /// Forgets servers that are gone, and what is out of date.
    pub fn forget(&mut self, is_known: impl Fn(&str) -> bool, now: u64) {
        self.links.retain(|server, link| is_known(server) && (link.lost || now < link.updated_at + FORGET_MS));
        self.unreached.retain(|server, at| is_known(server) && now < *at + UNREACHED_TTL_MS);
    }
}

#[cfg(test)]
#[path = "table_test.rs"]
mod table_test;
