//! Servers whose entries have vanished without a notice of leaving.
//!
//! A server whose entry vanishes is not used. When the entries of many vanish together, the store may not have heard of them, so
//! they are asked: one that says after that that it is not leaving is used again, for as long as it says so. Pure state: it
//! takes in what vanishes, what is listed, what servers say, and the time.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use rand::{Rng, rngs::SmallRng};

use crate::port::{Instance, InstanceState};

/// Share of the servers whose entries must vanish together for them to be asked. Below it the others can take the work.
const MASS_SHARE: f64 = 0.25;
/// Fewest entries that must vanish together.
const MIN_MASS: usize = 3;
/// Time in which entries vanish together: the spread of one heartbeat, and the delay of a watch.
const WINDOW_MS: u64 = 2_000;
/// Time after which a server that is used is asked for the second time: its entry may vanish shortly before it says that it
/// is leaving.
const CONFIRM_MS: u64 = 500;
/// Least and most time between later questions. In between it grows with the number of daemons, so that a server is asked
/// some 50 times a second at most, whatever the size of the site.
const ASK_MS: (u64, u64) = (1_000, 5_000);
const ASK_PER_DAEMON_MS: u64 = 25;
/// Time for an answer, in which a statement that is due to be renewed still holds.
pub(super) const ANSWER_TIMEOUT_MS: u64 = 800;
/// Pause before the next question to a server that is not used; it doubles up to the maximum, or to the time between
/// questions to those in use.
const RETRY_MS: (u64, u64) = (400, 1_600);
/// Time for a running server to write its entry once most others are back.
const RETURN_MS: u64 = 2_200;
/// Time after which a server that has not said that it is there is forgotten.
const FORGET_MS: u64 = 30_000;

/// What is to be done with a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Ask it whether it is leaving.
    Ask(Arc<str>),
    /// Use it, although it has no entry.
    Use(Arc<str>),
    /// Do not use it for now.
    TakeOut(Arc<str>),
    /// It is gone, and nothing more is wanted of it.
    Forget(Arc<str>, &'static str),
}

#[derive(Debug)]
struct Lapse {
    vanished_at: u64,
    address: SocketAddr,
    /// Whether many others vanished with it.
    is_mass: bool,
    in_use: bool,
    /// Whether it has been used since its entry vanished.
    was_used: bool,
    /// When it was asked the question to which it last said that it is not leaving.
    stated_at: Option<u64>,
    /// Such answers in a row.
    statements: u32,
    is_asked: bool,
    ask_at: u64,
    retry: u64,
}

impl Lapse {
    fn new(address: SocketAddr, now: u64) -> Self {
        Self {
            vanished_at: now,
            address,
            is_mass: false,
            in_use: false,
            was_used: false,
            stated_at: None,
            statements: 0,
            is_asked: false,
            ask_at: now,
            retry: RETRY_MS.0,
        }
    }
}

/// Servers whose entries have vanished, and those that have one.
#[derive(Debug)]
pub(super) struct LapsedEntries {
    /// Servers with an entry, and whether it says that they are ready.
    listed: HashMap<Arc<str>, (SocketAddr, bool)>,
    lapses: BTreeMap<Arc<str>, Lapse>,
    /// Entries that have come back since many vanished.
    returned: HashSet<Arc<str>>,
    /// When those that are still missing are gone, as most are back.
    settled_at: Option<u64>,
    random: SmallRng,
}

impl LapsedEntries {
    pub fn new(random: SmallRng) -> Self {
        Self { listed: HashMap::new(), lapses: BTreeMap::new(), returned: HashSet::new(), settled_at: None, random }
    }

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
    }

    /// Records that a server without an entry is gone, whatever it says.
    pub fn settle(&mut self, id: &str) {
        self.listed.remove(id);
        self.lapses.remove(id);
    }

    /// Records that the entry of a server has vanished, which is not used from now on. One that was leaving is gone.
    pub fn vanish(&mut self, id: &Arc<str>, was_leaving: bool, now: u64) {
        self.returned.remove(id);
        // An entry that a restored store had only from a copy vanishes twice.
        let Some((address, is_ready)) = self.listed.remove(id) else { return };
        if is_ready && !was_leaving {
            self.lapses.insert(id.clone(), Lapse::new(address, now));
        }
    }

    /// Whether a server's entry has vanished and may come back.
    pub fn has_lapsed(&self, id: &str) -> bool {
        self.lapses.contains_key(id)
    }

    /// Records what a server has said to the question of `asked_at`. No answer, and one that says neither, counts like a
    /// statement that it is leaving.
    pub fn record_answer(&mut self, id: &str, says_ready: bool, asked_at: u64, daemons: usize, now: u64) {
        let Some(lapse) = self.lapses.get_mut(id) else { return };
        if asked_at < lapse.vanished_at {
            return;
        }
        lapse.is_asked = false;
        if says_ready {
            lapse.stated_at = Some(asked_at);
            lapse.statements += 1;
            lapse.retry = RETRY_MS.0;
            let pause = if lapse.statements == 1 { CONFIRM_MS } else { ask_interval(daemons) };
            // Spread, as all daemons learn of the lapse at the same time.
            lapse.ask_at = asked_at + self.random.random_range(pause / 2..=pause);
        } else {
            lapse.stated_at = None;
            lapse.statements = 0;
            lapse.ask_at = now + self.random.random_range(lapse.retry / 2..=lapse.retry);
            lapse.retry = (lapse.retry * 2).min(ask_interval(daemons).max(RETRY_MS.1));
        }
    }

    /// Servers in use without an entry, entries that many others' vanished with, and servers known.
    pub fn counts(&self) -> (usize, usize, usize) {
        let mass = self.lapses.values().filter(|lapse| lapse.is_mass);
        let in_use = mass.clone().filter(|lapse| lapse.in_use).count();
        (in_use, mass.count(), self.ready() + self.lapses.len())
    }

    fn ready(&self) -> usize {
        self.listed.values().filter(|(_, is_ready)| *is_ready).count()
    }

    /// Decides on the servers without an entry, on a site of so many daemons. `has_stated_leaving` is whether a server has
    /// said to any daemon that it is leaving.
    pub fn step(&mut self, daemons: usize, has_stated_leaving: impl Fn(&str) -> bool, now: u64) -> Vec<Step> {
        self.mark_mass(now);
        if !self.lapses.values().any(|lapse| lapse.is_mass) {
            self.returned.clear();
        }
        let missing = self.lapses.values().filter(|lapse| lapse.is_mass && lapse.was_used).count();
        let are_most_back = !self.returned.is_empty() && self.returned.len() >= missing;
        self.settled_at = are_most_back.then(|| self.settled_at.unwrap_or(now + RETURN_MS));
        let is_settled = self.settled_at.is_some_and(|at| at <= now);
        let addresses: HashSet<SocketAddr> = self.listed.values().map(|(address, _)| *address).collect();
        let max_age = ask_interval(daemons) + ANSWER_TIMEOUT_MS;
        let mut steps = Vec::new();
        self.lapses.retain(|id, lapse| {
            let last_stated = lapse.stated_at.unwrap_or(0).max(lapse.vanished_at);
            let end = match () {
                () if has_stated_leaving(id) => Some("leaving"),
                () if addresses.contains(&lapse.address) => Some("address-reused"),
                () if lapse.is_mass && is_settled => Some("others-back"),
                () if !lapse.is_mass && now >= lapse.vanished_at + WINDOW_MS => Some("alone"),
                () if now >= last_stated + FORGET_MS => Some("no-statement"),
                () => None,
            };
            let is_used = end.is_none() && lapse.stated_at.is_some_and(|at| now <= at + max_age);
            if lapse.in_use != is_used {
                lapse.in_use = is_used;
                lapse.was_used |= is_used;
                steps.push(if is_used { Step::Use(id.clone()) } else { Step::TakeOut(id.clone()) });
            }
            if let Some(reason) = end {
                steps.push(Step::Forget(id.clone(), reason));
                return false;
            }
            if lapse.is_mass && !lapse.is_asked && now >= lapse.ask_at {
                lapse.is_asked = true;
                steps.push(Step::Ask(id.clone()));
            }
            true
        });
        steps
    }

    /// Marks entries that have vanished with many others.
    fn mark_mass(&mut self, now: u64) {
        let known = self.ready() + self.lapses.len();
        let recent = |lapse: &Lapse| now < lapse.vanished_at + WINDOW_MS;
        let vanished = self.lapses.values().filter(|lapse| recent(lapse)).count();
        if vanished >= MIN_MASS && (vanished as f64) >= MASS_SHARE * known as f64 {
            self.lapses.values_mut().filter(|lapse| recent(lapse)).for_each(|lapse| lapse.is_mass = true);
        }
    }
}

fn ask_interval(daemons: usize) -> u64 {
    (daemons as u64 * ASK_PER_DAEMON_MS).clamp(ASK_MS.0, ASK_MS.1)
}

#[cfg(test)]
#[path = "lapsed_entries_simulation_test.rs"]
mod lapsed_entries_simulation_test;
