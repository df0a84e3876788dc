//! Which servers daemons use, over simulated time and without a network, while entries lapse and servers leave.
//!
//! Bounds: from 2.5 s after a lapse on, each sound server is used by .95 of the daemons; no server that has left is used
//! later than 2.3 s after its entry has vanished, 0.2 s before it wants no more; no server is asked more than 100 times a second on the mean.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{LapsedEntries, Step};
use crate::port::{Instance, InstanceState};

const STEP_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 1_300;
/// When the entries begin to lapse, and when they begin to come back.
const LAPSE_MS: u64 = 10_000;
const BACK_MS: u64 = 30_000;
const END_MS: u64 = 38_000;
const SETTLE_MS: u64 = 2_500;
const MAX_LEFT_MS: u64 = 2_300;
const MIN_USE: f64 = 0.95;
const MAX_QUESTIONS_PER_S: f64 = 100.0;
/// Longest time between the end of an entry and the first time that its server says that it is leaving.
const MAX_SILENT_MS: u64 = 300;
/// Daemons and servers.
const SITES: [(usize, usize); 6] = [(7, 12), (7, 40), (73, 10), (73, 100), (195, 30), (195, 100)];

#[derive(Clone, Debug)]
struct SimServer {
    id: Arc<str>,
    /// When its entry vanishes and comes back.
    vanishes: Option<u64>,
    returns: Option<u64>,
    /// From when on it answers that it is leaving, or nothing.
    leaves: Option<u64>,
}

impl SimServer {
    fn leave(&mut self, at: u64, random: &mut SmallRng) {
        self.vanishes = Some(at);
        self.returns = None;
        self.leaves = Some(at + random.random_range(0..=MAX_SILENT_MS));
    }

    fn is_ready(&self, now: u64) -> bool {
        self.leaves.is_none_or(|leaves| now < leaves)
    }

    fn instance(&self, number: usize) -> Instance {
        Instance {
            id: self.id.clone(),
            address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
            pool: "pool".into(),
            version: "v1".into(),
            zone: "zone".into(),
            region: "region".into(),
            state: InstanceState::Live,
            slots: 1,
            reclaimable: false,
            warm_up: Duration::ZERO,
            leaves_in: None,
            started_unix_ms: 1,
        }
    }
}

struct SimDaemon {
    lapsed: LapsedEntries,
    used: Vec<bool>,
    /// Answers that come in the next step: server, what it says, and when it was asked.
    answers: Vec<(usize, bool, u64)>,
}

impl SimDaemon {
    fn step(&mut self, servers: &[SimServer], numbers: &HashMap<Arc<str>, usize>, daemons: usize, now: u64) -> usize {
        let is_now = |at: Option<u64>| at.is_some_and(|at| at <= now && now < at + STEP_MS);
        for (server, says_ready, asked_at) in std::mem::take(&mut self.answers) {
            self.lapsed.record_answer(&servers[server].id, says_ready, asked_at, daemons, now);
        }
        for (number, server) in servers.iter().enumerate() {
            if is_now(server.vanishes) {
                self.lapsed.vanish(&server.id, false, now);
                self.used[number] = false;
            }
            if is_now(server.returns) && server.is_ready(now) {
                self.lapsed.list(&server.instance(number));
                self.used[number] = true;
            }
        }
        let mut asked = 0;
        for step in self.lapsed.step(daemons, |_| false, now) {
            match step {
                Step::Ask(id) => {
                    asked += 1;
                    self.answers.push((numbers[&id], servers[numbers[&id]].is_ready(now), now));
                }
                Step::Use(id) => self.used[numbers[&id]] = true,
                Step::TakeOut(id) => self.used[numbers[&id]] = false,
                Step::Forget(..) => {}
            }
        }
        asked
    }
}

/// Runs a site and checks the bounds.
fn run(daemons: usize, servers: &[SimServer], seed: u64) {
    let name = format!("{daemons} daemons, {} servers, seed {seed}", servers.len());
    let numbers: HashMap<Arc<str>, usize> = servers.iter().map(|s| s.id.clone()).zip(0..).collect();
    let mut sim: Vec<SimDaemon> = (0..daemons)
        .map(|number| SimDaemon {
            lapsed: LapsedEntries::new(SmallRng::seed_from_u64(seed * 1_000 + number as u64)),
            used: vec![true; servers.len()],
            answers: Vec::new(),
        })
        .collect();
    for daemon in &mut sim {
        servers.iter().enumerate().for_each(|(number, server)| daemon.lapsed.list(&server.instance(number)));
    }
    let mut asked = 0;
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        asked += sim.iter_mut().map(|daemon| daemon.step(servers, &numbers, daemons, now)).sum::<usize>();
        for (number, server) in servers.iter().enumerate() {
            let (id, using) = (&server.id, sim.iter().filter(|daemon| daemon.used[number]).count());
            match (server.leaves, server.vanishes) {
                (Some(_), Some(vanished)) if now > vanished + MAX_LEFT_MS => {
                    assert_eq!(using, 0, "{name}: {id} left at {vanished} and is used at {now}");
                }
                (None, _) if (LAPSE_MS + HEARTBEAT_MS + SETTLE_MS..END_MS).contains(&now) => {
                    assert!(using as f64 >= MIN_USE * daemons as f64, "{name}: {using} daemons use {id} at {now}");
                }
                _ => {}
            }
        }
    }
    let per_s = asked as f64 / servers.len() as f64 / ((BACK_MS - LAPSE_MS) as f64 / 1e3);
    assert!(per_s <= MAX_QUESTIONS_PER_S, "{name}: a server is asked {per_s} times a second");
}

/// Runs all sites with entries of these shares lapsing, as the scenario changes them.
fn run_all(shares: &[f64], change: impl Fn(&mut [SimServer], &mut SmallRng)) {
    for (daemons, count) in SITES {
        for (number, share) in shares.iter().enumerate() {
            let seed = 5_600 + number as u64;
            let mut random = SmallRng::seed_from_u64(seed);
            let server = |number| SimServer {
                id: format!("server-{number:03}").into(),
                vanishes: None,
                returns: None,
                leaves: None,
            };
            let mut servers: Vec<SimServer> = (0..count).map(server).collect();
            let kept = count - (count as f64 * share).round() as usize;
            for server in &mut servers[kept..] {
                server.vanishes = Some(LAPSE_MS + random.random_range(0..HEARTBEAT_MS));
                server.returns = Some(BACK_MS + random.random_range(0..HEARTBEAT_MS));
            }
            change(&mut servers, &mut random);
            run(daemons, &servers, seed);
        }
    }
}

/// Guards against sound servers that are taken out of use as their entries lapse.
#[test]
fn servers_whose_entries_lapse_together_are_used() {
    run_all(&[0.3, 0.5, 0.7, 1.0], |_, _| {});
}

/// Guards against requests to servers that leave together without a word: no entry says so, only they.
#[test]
fn servers_that_leave_together_without_a_word_are_not_used() {
    for at in [LAPSE_MS - 6_000, LAPSE_MS - 1_000, LAPSE_MS + 600, LAPSE_MS + 4_000, LAPSE_MS + 12_000] {
        run_all(&[0.0, 0.5, 1.0], |servers, random| {
            let half = servers.len() / 2;
            for server in &mut servers[..half] {
                let at = at + random.random_range(0..100);
                // Entries that had lapsed by then vanish no second time; the server leaves unheard, and no store knows of it.
                if server.vanishes.is_none_or(|vanishes| vanishes > at) {
                    server.leave(at, random);
                }
            }
        });
    }
}

/// Guards against requests to servers that leave one by one, in calm and before, in and after a lapse of others.
#[test]
fn servers_that_leave_alone_are_not_used() {
    run_all(&[0.0, 0.5], |servers, random| {
        let times = [LAPSE_MS - 2_200, LAPSE_MS + 700, LAPSE_MS + HEARTBEAT_MS + 2_200, LAPSE_MS + 11_000];
        for (server, at) in servers.iter_mut().zip(times) {
            server.leave(at, random);
        }
    });
}

/// Guards against requests to servers that crash while their entries are gone, later than a question tells.
#[test]
fn servers_that_end_unheard_are_out_before_the_next_entries() {
    run_all(&[1.0], |servers, _| {
        for server in servers.iter_mut().step_by(4) {
            server.leaves = Some(LAPSE_MS);
            server.returns = None;
        }
    });
}

/// Guards against servers that are taken for sound for good, as they are missing once the others are back.
#[test]
fn servers_that_are_missing_once_others_are_back_are_gone() {
    let server =
        |number| SimServer { id: format!("server-{number}").into(), vanishes: None, returns: None, leaves: None };
    let servers: Vec<SimServer> = (0..8).map(server).collect();
    let mut lapsed = LapsedEntries::new(SmallRng::seed_from_u64(1));
    servers.iter().enumerate().for_each(|(number, server)| lapsed.list(&server.instance(number)));
    servers.iter().for_each(|server| lapsed.vanish(&server.id, false, 1_000));
    assert_eq!(lapsed.step(7, |_| false, 1_000).len(), 8);
    servers.iter().for_each(|server| lapsed.record_answer(&server.id, true, 1_000, 7, 1_010));
    assert_eq!(lapsed.step(7, |_| false, 1_010).len(), 8);
    assert_eq!(lapsed.counts(), (8, 8, 8));
    servers[1..].iter().enumerate().for_each(|(number, server)| lapsed.list(&server.instance(number + 1)));
    lapsed.step(7, |_| false, 1_100);
    let missing = &servers[0].id;
    lapsed.record_answer(missing, true, 3_000, 7, 3_010);
    let steps = lapsed.step(7, |_| false, 3_310);
    let gone = [Step::TakeOut(missing.clone()), Step::Forget(missing.clone(), "others-back")];
    assert!(steps.ends_with(&gone), "{steps:?}");
}

/// Guards against an answer to a question from before the entry vanished, which says nothing about why it did.
#[test]
fn answers_from_before_the_entry_vanished_do_not_count() {
    let server =
        |number| SimServer { id: format!("server-{number}").into(), vanishes: None, returns: None, leaves: None };
    let servers: Vec<SimServer> = (0..4).map(server).collect();
    let mut lapsed = LapsedEntries::new(SmallRng::seed_from_u64(1));
    servers.iter().enumerate().for_each(|(number, server)| lapsed.list(&server.instance(number)));
    servers.iter().for_each(|server| lapsed.vanish(&server.id, false, 1_000));
    servers.iter().for_each(|server| lapsed.record_answer(&server.id, true, 990, 7, 1_010));
    lapsed.step(7, |_| false, 1_010);
    assert_eq!(lapsed.counts().0, 0);
}
