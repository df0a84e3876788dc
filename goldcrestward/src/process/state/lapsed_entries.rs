//! Servers whose entries have vanished without a notice of leaving.
//!
//! A single entry that vanishes is that of a server that is gone. When the entries of many vanish together, the store has
//! not heard of them, which says nothing about them: they stay in use as long as they answer. Pure state: it takes in what
//! vanishes, what is listed, what has been seen of each server, and the time.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::port::{Instance, InstanceState};

/// Share of the servers whose entries vanish together for which the store is at fault. Below it lies what leaves without a
/// word in calm, above it the loss of one of three zones, where answers decide.
const MASS_SHARE: f64 = 0.25;
/// Fewest entries that vanish together for which the store is at fault.
const MIN_MASS: usize = 3;
/// Time in which entries vanish together: the spread of one heartbeat, and the delay of a watch. One that vanishes later is
/// that of a server that leaves.
const WINDOW_MS: u64 = 2_000;
/// Age up to which an answer from before its entry vanished shows that a server is there. A server that has crashed has
/// given none for three heartbeats.
const FRESH_ANSWER_MS: u64 = 1_000;
/// Least and most time without an answer after which a server is probed. In between it grows with the number of daemons, so
/// that a server gets some 40 probes a second at any size of the site.
const PROBE_AFTER_MS: (u64, u64) = (500, 5_000);
const PROBE_AFTER_PER_DAEMON_MS: u64 = 25;
/// Time beyond that for a probe to end; a server without a sign of life until then is not used.
const PROBE_SLACK_MS: u64 = 1_000;
/// Pause between probes of a server that is not used or that has failed; it doubles up to the maximum once it is lost.
const PROBE_PAUSE_MS: (u64, u64) = (400, 1_600);
/// Probes in a row that must fail: where this daemon has no path, the peers that are asked may have none either.
const LOST_AFTER: u32 = 2;
/// Time for a running server to write its entry once most others are back.
const RETURN_MS: u64 = 2_200;
/// Time after which a server without a sign of life is forgotten.
const FORGET_MS: u64 = 30_000;
/// Time from the first of several entries that vanish to the last one: a heartbeat, and the delay of a watch.
const SPREAD_MS: u64 = 2_000;

/// What this daemon has seen of a server, in ms since the daemon's start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Signs {
    pub answered_at: Option<u64>,
    pub failed_at: Option<u64>,
    /// Whether it has said that it leaves.
    pub is_leaving: bool,
}

/// What is to be done with a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Use it, although it has no entry.
    Keep(Arc<str>),
    /// Do not use it for now.
    TakeOut(Arc<str>),
    /// It is gone, and nothing more is wanted of it.
    Forget(Arc<str>, &'static str),
    /// Find out whether it can be reached.
    Probe(Arc<str>),
}

#[derive(Debug)]
struct Lapse {
    vanished_at: u64,
    address: SocketAddr,
    /// Whether many others vanished with it.
    is_mass: bool,
    in_use: bool,
    /// Whether it has been seen since its entry vanished.
    was_there: bool,
    probed_ok_at: Option<u64>,
    probe_failed_at: Option<u64>,
    /// Probes that have failed in a row.
    failed_probes: u32,
    next_probe: u64,
    probe_pause: u64,
}

impl Lapse {
    fn new(address: SocketAddr, now: u64) -> Self {
        Self {
            vanished_at: now,
            address,
            is_mass: false,
            in_use: true,
            was_there: false,
            probed_ok_at: None,
            probe_failed_at: None,
            failed_probes: 0,
            next_probe: now,
            probe_pause: PROBE_PAUSE_MS.0,
        }
    }

    /// When it last showed that it is there.
    fn seen_at(&self, signs: Signs) -> Option<u64> {
        let answered_at = signs.answered_at.filter(|at| at + FRESH_ANSWER_MS >= self.vanished_at);
        answered_at.max(self.probed_ok_at)
    }

    /// Whether it is there, by its last sign of life and what has failed since.
    fn is_there(&self, signs: Signs, probe_after: u64, now: u64) -> bool {
        let Some(seen_at) = self.seen_at(signs) else { return false };
        now <= seen_at + probe_after + PROBE_SLACK_MS && self.failed_probes < LOST_AFTER
    }

    /// Forgets failed probes if it has shown since that it is there.
    fn forget_failures(&mut self, signs: Signs) {
        if self.seen_at(signs) > self.probe_failed_at {
            (self.failed_probes, self.probe_pause) = (0, PROBE_PAUSE_MS.0);
        }
    }

    fn is_probe_due(&self, signs: Signs, probe_after: u64, now: u64) -> bool {
        let is_in_doubt = self.seen_at(signs).is_none_or(|seen_at| {
            now >= seen_at + probe_after || signs.failed_at.is_some_and(|failed_at| failed_at >= seen_at)
        });
        now >= self.next_probe && is_in_doubt
    }
}

/// Servers whose entries have vanished, and those that have one.
#[derive(Debug, Default)]
pub(super) struct LapsedEntries {
    /// Servers with an entry, their addresses, and whether it says that they are ready.
    listed: HashMap<Arc<str>, (SocketAddr, bool)>,
    lapses: BTreeMap<Arc<str>, Lapse>,
    /// Entries that have come back since many vanished.
    returned: HashSet<Arc<str>>,
    /// When those that are still missing are gone, as most are back.
    settled_at: Option<u64>,
}

impl LapsedEntries {
    /// Whether no step is due until an entry vanishes.
    pub fn is_empty(&self) -> bool {
        self.lapses.is_empty()
    }

    /// Records a server's entry.
    pub fn list(&mut self, instance: &Instance) {
        match instance.state {
            InstanceState::Gone => self.listed.remove(&instance.id),
            state => self.listed.insert(instance.id.clone(), (instance.address, state == InstanceState::Live)),
        };
        if self.lapses.remove(&instance.id).is_some_and(|lapse| lapse.is_mass) {
            self.returned.insert(instance.id.clone());
        }
        self.end_mass_lapse();
    }

    /// Records that a server's entry cannot be read, so that nothing is known of the server.
    pub fn refuse(&mut self, id: &str) {
        self.listed.remove(id);
        self.lapses.remove(id);
    }

    /// Records that a server's entry has vanished. `address` is that of a server that had not said that it leaves.
    /// Returns whether steps follow; otherwise the server is gone. An entry that a restored store had only from a copy vanishes
    /// again without a change for its server.
    pub fn vanish(&mut self, id: &Arc<str>, address: Option<SocketAddr>, now: u64) -> bool {
        self.returned.remove(id);
        let was_ready = self.listed.remove(id).is_some_and(|(_, is_ready)| is_ready);
        let Some(address) = address.filter(|_| was_ready) else { return self.lapses.contains_key(id) };
        self.lapses.insert(id.clone(), Lapse::new(address, now));
        true
    }

    /// Whether a server's entry has vanished and may come back.
    pub fn has_lapsed(&self, id: &str) -> bool {
        self.lapses.contains_key(id)
    }

    /// Records whether a server could be reached by a probe that began at `began`: what has failed since counts more.
    pub fn record_probe(&mut self, id: &str, reached: bool, began: u64, now: u64) {
        let Some(lapse) = self.lapses.get_mut(id) else { return };
        if reached {
            (lapse.probed_ok_at, lapse.failed_probes, lapse.probe_pause) = (Some(began), 0, PROBE_PAUSE_MS.0);
        } else {
            lapse.probe_failed_at = Some(now);
            lapse.failed_probes += 1;
        }
    }

    /// When a server was last reached by a probe.
    pub fn probed_at(&self, id: &str) -> Option<u64> {
        self.lapses.get(id)?.probed_ok_at
    }

    /// Servers in use without an entry, and entries that many others' vanished with, and servers known.
    pub fn counts(&self) -> (usize, usize, usize) {
        let mass = self.lapses.values().filter(|lapse| lapse.is_mass);
        let in_use = mass.clone().filter(|lapse| lapse.in_use).count();
        (in_use, mass.count(), self.ready() + self.lapses.len())
    }

    /// Whether it is not known yet how many servers are there: more entries may vanish, or servers are not probed yet.
    pub fn is_undecided(&self, now: u64) -> bool {
        let recent = |lapse: &&Lapse| now < lapse.vanished_at + SPREAD_MS && !lapse.in_use;
        self.lapses.values().filter(recent).count() > 1
    }

    fn ready(&self) -> usize {
        self.listed.values().filter(|(_, is_ready)| *is_ready).count()
    }

    /// Decides on the servers without an entry, on a site of so many daemons.
    pub fn step(&mut self, daemons: usize, signs: impl Fn(&str) -> Signs, now: u64) -> Vec<Step> {
        self.mark_mass(now);
        let there = self.lapses.values().filter(|lapse| lapse.is_mass && lapse.was_there).count();
        self.settled_at = if self.returned.is_empty() || self.returned.len() < there {
            None
        } else {
            self.settled_at.or(Some(now + RETURN_MS))
        };
        self.end_mass_lapse();
        let addresses: HashSet<SocketAddr> = self.listed.values().map(|(address, _)| *address).collect();
        let is_settled = self.settled_at.is_some_and(|at| at <= now);
        let probe_after = (daemons as u64 * PROBE_AFTER_PER_DAEMON_MS).clamp(PROBE_AFTER_MS.0, PROBE_AFTER_MS.1);
        let mut steps = Vec::new();
        self.lapses.retain(|id, lapse| {
            let signs = signs(id);
            lapse.forget_failures(signs);
            let is_there = lapse.is_there(signs, probe_after, now);
            let last_seen = lapse.seen_at(signs).unwrap_or(0).max(lapse.vanished_at);
            let end = match () {
                () if signs.is_leaving => Some("leaving"),
                () if addresses.contains(&lapse.address) => Some("address-reused"),
                () if lapse.is_mass && is_settled => Some("others-back"),
                () if !lapse.is_mass && now >= lapse.vanished_at + WINDOW_MS => Some("alone"),
                () if now >= last_seen + FORGET_MS => Some("no-answer"),
                () => None,
            };
            let keeps = end.is_none() && lapse.is_mass && is_there;
            if lapse.in_use && !keeps {
                steps.push(Step::TakeOut(id.clone()));
            }
            if let Some(reason) = end {
                steps.push(Step::Forget(id.clone(), reason));
                return false;
            }
            if keeps && (!lapse.in_use || !lapse.was_there) {
                steps.push(Step::Keep(id.clone()));
            }
            lapse.in_use = keeps;
            lapse.was_there |= keeps;
            if lapse.is_mass && lapse.is_probe_due(signs, probe_after, now) {
                lapse.next_probe = now + lapse.probe_pause;
                if lapse.failed_probes >= LOST_AFTER {
                    lapse.probe_pause = (lapse.probe_pause * 2).min(probe_after.max(PROBE_PAUSE_MS.1));
                }
                steps.push(Step::Probe(id.clone()));
            }
            true
        });
        steps
    }

    /// Forgets what has come back if no more is missing.
    fn end_mass_lapse(&mut self) {
        if !self.lapses.values().any(|lapse| lapse.is_mass) {
            self.returned.clear();
            self.settled_at = None;
        }
    }

    /// Marks entries that have vanished with many others.
    fn mark_mass(&mut self, now: u64) {
        let known = self.ready() + self.lapses.len();
        let recent = |lapse: &Lapse| now < lapse.vanished_at + WINDOW_MS;
        let vanished = self.lapses.values().filter(|lapse| recent(lapse)).count();
        if vanished < MIN_MASS || (vanished as f64) < MASS_SHARE * known as f64 {
            return;
        }
        for lapse in self.lapses.values_mut().filter(|lapse| !lapse.is_mass && recent(lapse)) {
            lapse.is_mass = true;
        }
    }
}

#[cfg(test)]
#[path = "lapsed_entries_simulation_test.rs"]
mod lapsed_entries_simulation_test;
#[cfg(test)]
#[path = "lapsed_entries_test.rs"]
mod lapsed_entries_test;
