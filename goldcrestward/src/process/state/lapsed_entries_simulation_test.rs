//! Which servers daemons use, over simulated time and without a network, while entries lapse and servers end.
//!
//! Bounds, from the targets: from 2.5 s after a lapse on, at least .95 of the daemons use a server that answers; no
//! request goes to a server that had ended before its entry lapsed later than 1 s after that, to one that ends later than
//! 1 s after the daemon's first request failed there, or to one that left alone once its entry is gone.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use super::{LapsedEntries, RETURN_MS, Signs, Step};
use crate::port::{Instance, InstanceState};

const STEP_MS: u64 = 200;
const HEARTBEAT_MS: u64 = 1_300;
/// When the entries begin to lapse, and when they begin to come back.
const LAPSE_MS: u64 = 10_000;
const BACK_MS: u64 = 30_000;
const END_MS: u64 = 38_000;
/// Peers that are asked for a connection.
const MAX_HELPERS: usize = 3;
const SETTLE_MS: u64 = 2_500;
const MAX_DEAD_MS: u64 = 1_000;
const MIN_USE: f64 = 0.95;
/// Daemons and servers.
const SITES: [(usize, usize); 6] = [(7, 12), (7, 40), (73, 10), (73, 100), (195, 30), (195, 100)];

#[derive(Clone, Debug)]
struct SimServer {
    id: Arc<str>,
    /// When its entry vanishes and comes back.
    vanishes: Option<u64>,
    returns: Option<u64>,
    ends: Option<u64>,
    drains: Option<u64>,
}

impl SimServer {
    fn is_there(&self, now: u64) -> bool {
        self.ends.is_none_or(|ends| now < ends)
    }

    fn instance(&self, number: usize, state: InstanceState) -> Instance {
        Instance {
            id: self.id.clone(),
            address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
            pool: "pool".into(),
            version: "v1".into(),
            zone: "zone".into(),
            region: "region".into(),
            state,
            slots: 1,
            reclaimable: false,
            warm_up: Duration::ZERO,
            leaves_in: None,
            started_unix_ms: 1,
        }
    }
}

#[derive(Default)]
struct SimDaemon {
    lapsed: LapsedEntries,
    used: Vec<bool>,
    signs: Vec<Signs>,
    /// Results of probes, which come in the next step.
    probes: Vec<(usize, bool)>,
    /// Peers by way of which servers were reached last.
    helpers: HashMap<usize, usize>,
    first_failure: HashMap<usize, u64>,
}

struct Scenario {
    daemons: usize,
    servers: Vec<SimServer>,
    /// Share of the paths between daemons and servers that are cut while entries are gone.
    cut: f64,
    seed: u64,
}

fn servers(count: usize) -> Vec<SimServer> {
    let server = |number| SimServer {
        id: format!("server-{number:03}").into(),
        vanishes: None,
        returns: None,
        ends: None,
        drains: None,
    };
    (0..count).map(server).collect()
}

/// Lets the entries of a share of the servers lapse, those at the end of the list.
fn lapse(servers: &mut [SimServer], share: f64, random: &mut SmallRng) {
    let kept = servers.len() - (servers.len() as f64 * share).round() as usize;
    for server in &mut servers[kept..] {
        server.vanishes = Some(LAPSE_MS + random.random_range(0..HEARTBEAT_MS));
        server.returns = Some(BACK_MS + random.random_range(0..HEARTBEAT_MS));
    }
}

impl Scenario {
    /// Runs the site and checks the bounds.
    fn run(self) {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let Self { daemons: count, servers, cut, seed } = self;
        let name = format!("{count} daemons, {} servers, cut {cut}, seed {seed}", servers.len());
        let mut paths: Vec<Vec<bool>> = vec![vec![true; servers.len()]; count];
        let cut_off = (count as f64 * cut).round() as usize;
        for (number, _) in servers.iter().enumerate() {
            let mut order: Vec<usize> = (0..count).collect();
            order.shuffle(&mut random);
            order.into_iter().take(cut_off).for_each(|daemon| paths[daemon][number] = false);
        }
        let mut daemons: Vec<SimDaemon> = (0..count)
            .map(|_| SimDaemon {
                used: vec![true; servers.len()],
                signs: vec![Signs::default(); servers.len()],
                ..SimDaemon::default()
            })
            .collect();
        for daemon in &mut daemons {
            for (number, server) in servers.iter().enumerate() {
                daemon.lapsed.list(&server.instance(number, InstanceState::Live));
            }
        }
        let numbers: HashMap<Arc<str>, usize> = servers.iter().map(|s| s.id.clone()).zip(0..).collect();
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            let is_cut = (LAPSE_MS - 3 * HEARTBEAT_MS..BACK_MS).contains(&now);
            let used_before: Vec<Vec<bool>> = daemons.iter().map(|daemon| daemon.used.clone()).collect();
            let helps_at = |server: usize| {
                let (used_before, paths) = (&used_before, &paths);
                move |peer: &usize| used_before[*peer][server] && (!is_cut || paths[*peer][server])
            };
            for (index, daemon) in daemons.iter_mut().enumerate() {
                let reaches = |server: usize| !is_cut || paths[index][server];
                daemon.apply_entries(&servers, now);
                for (server, reached) in std::mem::take(&mut daemon.probes) {
                    daemon.lapsed.record_probe(&servers[server].id, reached, now - STEP_MS, now);
                }
                let signs = &daemon.signs;
                let steps = daemon.lapsed.step(count, |id| signs[numbers[id]], now);
                for step in steps {
                    match step {
                        Step::Keep(id) => daemon.used[numbers[&id]] = true,
                        Step::TakeOut(id) => daemon.used[numbers[&id]] = false,
                        Step::Forget(..) => {}
                        Step::Probe(id) => {
                            let server = numbers[&id];
                            let last = daemon.helpers.get(&server).copied();
                            let others = other_daemons(index, count, &mut random);
                            let mut peers = last.into_iter().chain(others).take(MAX_HELPERS);
                            let mut is_reached = reaches(server);
                            if !is_reached && let Some(peer) = peers.find(helps_at(server)) {
                                is_reached = true;
                                daemon.helpers.insert(server, peer);
                            }
                            daemon.probes.push((server, is_reached && servers[server].is_there(now)));
                        }
                    }
                }
                // A request to a server in use, which goes by way of a peer where there is no path.
                let used: Vec<usize> = (0..servers.len()).filter(|server| daemon.used[*server]).collect();
                if !used.is_empty() {
                    let server = used[random.random_range(0..used.len())];
                    let by_peer = other_daemons(index, count, &mut random)
                        .into_iter()
                        .take(MAX_HELPERS)
                        .any(|peer| helps_at(server)(&peer));
                    if reaches(server) || by_peer {
                        daemon.send(server, &servers[server], now, &name);
                    } else {
                        daemon.signs[server].failed_at = Some(now);
                    }
                }
            }
            check_use(&daemons, &servers, now, &name);
        }
    }
}

/// The other daemons in random order.
fn other_daemons(daemon: usize, count: usize, random: &mut SmallRng) -> Vec<usize> {
    let mut others: Vec<usize> = (0..count).filter(|other| *other != daemon).collect();
    others.shuffle(random);
    others
}

impl SimDaemon {
    fn apply_entries(&mut self, servers: &[SimServer], now: u64) {
        let is_now = |at: Option<u64>| at.is_some_and(|at| at <= now && now < at + STEP_MS);
        for (number, server) in servers.iter().enumerate() {
            if is_now(server.drains) {
                self.lapsed.list(&server.instance(number, InstanceState::Leaving));
                self.used[number] = false;
            }
            if is_now(server.vanishes) {
                let address = server.instance(number, InstanceState::Live).address;
                if !self.lapsed.vanish(&server.id, self.used[number].then_some(address), now) {
                    self.used[number] = false;
                }
            }
            if is_now(server.returns) && server.is_there(now) {
                self.lapsed.list(&server.instance(number, InstanceState::Live));
                self.used[number] = true;
            }
        }
    }

    fn send(&mut self, number: usize, server: &SimServer, now: u64, name: &str) {
        let id = &server.id;
        if server.is_there(now) {
            self.signs[number].answered_at = Some(now);
        } else {
            self.signs[number].failed_at = Some(now);
            let first = *self.first_failure.entry(number).or_insert(now);
            let lapsed = server.vanishes.expect("a server that ends has no entry then");
            if now >= lapsed {
                let from = if server.ends.expect("it has ended") < lapsed { lapsed } else { first };
                assert!(now <= from + MAX_DEAD_MS, "{name}: {id} has ended, and gets requests at {now}, after {from}");
            }
        }
        assert!(server.drains.is_none_or(|at| now < at), "{name}: {id} gets requests although it drains");
        let left_alone = server.returns.is_none() && server.ends.is_some_and(|ends| Some(ends) > server.vanishes);
        if left_alone {
            assert!(server.vanishes.is_none_or(|at| now < at), "{name}: {id} left alone and gets requests at {now}");
        }
    }
}

/// Servers that answer are in use, and none without an entry is in use at the end.
fn check_use(daemons: &[SimDaemon], servers: &[SimServer], now: u64, name: &str) {
    if !(LAPSE_MS + HEARTBEAT_MS + SETTLE_MS..END_MS).contains(&now) {
        return;
    }
    for (number, server) in servers.iter().enumerate() {
        let (id, using) = (&server.id, daemons.iter().filter(|daemon| daemon.used[number]).count());
        let is_lapse = server.vanishes.is_none() || server.returns.is_some();
        if is_lapse && server.ends.is_none() && server.drains.is_none() {
            let share = using as f64 / daemons.len() as f64;
            assert!(share >= MIN_USE, "{name}: {using} daemons use {id} at {now}");
        }
        if now >= BACK_MS + HEARTBEAT_MS + RETURN_MS + 2 * STEP_MS && server.ends.is_some() {
            assert_eq!(using, 0, "{name}: {id} has ended and is in use at {now}");
        }
    }
}

/// Runs all sites with entries of these shares lapsing, as the scenario changes them.
fn run_all(shares: &[f64], cut: f64, change: impl Fn(&mut [SimServer], &mut SmallRng)) {
    for (daemons, count) in SITES {
        for (number, share) in shares.iter().enumerate() {
            let seed = 5_200 + number as u64;
            let mut random = SmallRng::seed_from_u64(seed);
            let mut servers = servers(count);
            lapse(&mut servers, *share, &mut random);
            change(&mut servers, &mut random);
            Scenario { daemons, servers, cut, seed }.run();
        }
    }
}

/// Guards against servers that are taken out of use as their entries lapse.
#[test]
fn servers_whose_entries_lapse_together_stay_in_use() {
    run_all(&[0.3, 0.5, 0.7, 1.0], 0.0, |_, _| {});
}

/// Guards against servers that a daemon takes out of use as it has no path to them itself.
#[test]
fn servers_that_only_others_reach_stay_in_use() {
    run_all(&[0.5, 1.0], 0.5, |_, _| {});
}

/// Guards against DRAIN beside a lapse: servers that drain, and ones that leave or crash.
#[test]
fn servers_that_end_beside_a_lapse_are_not_used() {
    run_all(&[0.5, 0.7, 1.0], 0.0, |servers, _| {
        let last = servers.len() - 1;
        // One drains before the lapse, one crashes before it and one in it.
        servers[last].drains = Some(LAPSE_MS - 1_000);
        servers[last].ends = Some(LAPSE_MS + 3_000);
        servers[last - 1].ends = Some(LAPSE_MS - 3 * HEARTBEAT_MS + 200);
        servers[last - 2].ends = Some(LAPSE_MS + 8_000);
    });
}

/// Guards against DRAIN: servers whose entries are removed one by one leave, in calm and while others have lapsed.
#[test]
fn servers_that_leave_alone_are_not_used() {
    run_all(&[0.0, 0.5], 0.0, |servers, _| {
        // The first two leave shortly before and after the entries of others lapse.
        let times = [LAPSE_MS - 2_200, LAPSE_MS + HEARTBEAT_MS + 2_200, LAPSE_MS + 6_000, LAPSE_MS + 11_000];
        for (number, at) in times.into_iter().enumerate() {
            servers[number].vanishes = Some(at);
            servers[number].ends = Some(at + 6_000);
        }
    });
}

/// Guards against requests that go on to the servers of a zone that is lost, as their entries lapse together.
#[test]
fn servers_of_a_lost_zone_are_not_kept() {
    run_all(&[0.0], 0.0, |servers, random| {
        for server in servers.iter_mut().step_by(3) {
            let at = LAPSE_MS + random.random_range(0..HEARTBEAT_MS);
            server.vanishes = Some(at);
            server.ends = Some(LAPSE_MS - 2 * HEARTBEAT_MS);
        }
    });
}

/// Guards against servers that are missing after a restore of the store from a copy, and answer: they lapse together once the
/// time to come back is over.
#[test]
fn servers_that_a_restored_store_lacks_stay_in_use_if_they_answer() {
    run_all(&[0.0], 0.0, |servers, _| {
        for server in servers.iter_mut().skip(1).step_by(2) {
            server.vanishes = Some(LAPSE_MS);
            server.returns = Some(LAPSE_MS + 8_000);
        }
    });
}
