//! What this daemon knows of its links to backend servers, from connections that it opened or could not open.
//!
//! Pure state: it takes in results and the time, and says which path to take.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::connection::ConnectError;

/// Failures in a row after which a server counts as unreached.
const LOST_AFTER: u32 = 2;
/// Servers in a row that could not be reached, without one that could, after which the daemon counts as cut off.
const CUT_OFF_AFTER: usize = 3;
/// Pause between two attempts to reach a lost server directly; it doubles up to the maximum.
const PROBE_PAUSE_MS: (u64, u64) = (400, 1_600);
/// Time for which a peer that could not help is not asked.
const HELPER_PAUSE_MS: u64 = 1_500;
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
    next_probe: u64,
    probe_pause: u64,
    updated_at: u64,
}

/// This daemon's links to backend servers, and peers that cannot help.
#[derive(Debug, Default)]
pub(crate) struct ReachTable {
    links: HashMap<Arc<str>, Link>,
    /// Servers that could not be reached since the last one that could.
    unreached: HashSet<Arc<str>>,
    /// Whether the last failure was silence, so that open connections are most likely silent as well.
    is_silent: bool,
    /// Peers that could not help, until when they are not asked.
    paused: HashMap<Arc<str>, u64>,
}

impl ReachTable {
    /// The path to a server.
    pub fn path(&mut self, server: &Arc<str>, now: u64) -> Path {
        let cut_off = self.is_cut_off();
        let link = self.links.entry(server.clone()).or_default();
        if cut_off && !link.lost {
            // Whatever cuts off the others cuts off this one as well; a probe finds out if it does not.
            *link = Link { lost: true, probe_pause: PROBE_PAUSE_MS.0, next_probe: now, ..*link };
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
            *link = Link { updated_at: now, ..Link::default() };
            self.unreached.clear();
            return if was_lost { Change::Back } else { Change::None };
        }
        self.is_silent = result == Err(ConnectError::Silent);
        link.failures += 1;
        link.lost |= link.failures >= LOST_AFTER;
        if link.lost && !was_lost {
            link.probe_pause = PROBE_PAUSE_MS.0;
            link.next_probe = now + PROBE_PAUSE_MS.0;
        }
        let lost_now = link.lost && !was_lost;
        self.unreached.insert(server.clone());
        if lost_now { Change::Lost } else { Change::None }
    }

    /// Whether this daemon reaches none of the servers that it has tried lately, so that its failures say nothing about
    /// the servers.
    pub fn is_cut_off(&self) -> bool {
        self.unreached.len() >= CUT_OFF_AFTER
    }

    /// Whether links fail by silence, so that open connections are not to be used.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether a server counts as unreached.
    pub fn is_lost(&self, server: &str) -> bool {
        self.links.get(server).is_some_and(|link| link.lost)
    }

    /// Number of servers that count as unreached.
    pub fn lost(&self) -> usize {
        self.links.values().filter(|link| link.lost).count()
    }

    /// Does not ask a peer for a time, as it could not help.
    pub fn pause_helper(&mut self, peer: &Arc<str>, now: u64) {
        self.paused.insert(peer.clone(), now + HELPER_PAUSE_MS);
    }

    /// Whether a peer may be asked.
    pub fn may_help(&self, peer: &str, now: u64) -> bool {
        self.paused.get(peer).is_none_or(|until| *until <= now)
    }

    /// Forgets servers that are gone, and what is out of date.
    pub fn forget(&mut self, is_known: impl Fn(&str) -> bool, now: u64) {
        self.links.retain(|server, link| is_known(server) && (link.lost || now < link.updated_at + FORGET_MS));
        self.unreached.retain(|server| is_known(server));
        self.paused.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
#[path = "table_test.rs"]
mod table_test;
