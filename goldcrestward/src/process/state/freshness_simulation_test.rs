//! How long changes take to reach all daemons, over simulated time and without a network, while paths fail.
//!
//! Bound: the whole budget, from the store's acknowledgement to a daemon that reaches the store, or that gets datagrams and
//! pulls from one that does. Margin stated before the first run: 100 ms.

use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    super::turn::{Place, Turn, readers_per_region},
    Budget, Freshness,
};
use crate::store::Revision;

const BUDGET: Budget = Budget::SITE;
const MARGIN_MS: u64 = 100;
const STEP_MS: u64 = 10;
/// Daemons, regions, and availability zones of each region.
const SITES: [(usize, usize, usize); 4] = [(7, 3, 1), (7, 1, 1), (87, 6, 1), (195, 3, 2)];
const SEEDS: u64 = 4;
/// When changes begin and end.
const CHANGES_MS: (u64, u64) = (8_000, 22_000);
const END_MS: u64 = 26_000;
/// Time to answer a call of the store, and for a pull.
const CALL_MS: u64 = 10;
const PULL_MS: u64 = 40;
/// Pause after a refused call.
const PAUSE_MS: u64 = 380;

/// The path from a daemon to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorePath {
    Sound,
    /// Each answer takes so long.
    Slow(u64),
    /// Open connections are silent; each reading that is not answered is made again on a new one.
    DeadConnections,
    /// The first call of three is refused.
    SomeRefused,
    Refused,
    Silent,
}

impl StorePath {
    fn leads_to_store(self) -> bool {
        !matches!(self, Self::Refused | Self::Silent)
    }
}

/// The paths from other daemons to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerPath {
    Sound,
    /// Datagrams arrive, and pulls fail.
    NoPulls,
    /// Pulls would succeed, and no datagram arrives.
    Deaf,
    /// Datagrams arrive only from daemons that do not read the store.
    DeafToReaders,
    /// One datagram in three is lost.
    Lossy,
}

/// Who is affected by the failing paths.
#[derive(Clone, Copy, Debug)]
enum Affected {
    Readers,
    Others,
    Half,
    All,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Nothing,
    Poll {
        sent: u64,
        ends: u64,
    },
    /// An answer with the store's revision is under way.
    Read {
        at: u64,
        arrives: u64,
        revision: u64,
    },
    Pause {
        ends: u64,
    },
}

struct Daemon {
    /// When its process started; what was acknowledged before is no change to it.
    started: u64,
    place: Option<Place>,
    delay: u64,
    own: u64,
    /// Time at which the copy reached each of its revisions.
    reached: Vec<(u64, u64)>,
    freshness: Freshness,
    doing: Doing,
    calls: u64,
    store: StorePath,
    peers: PeerPath,
}

impl Daemon {
    fn advance(&mut self, revision: u64, now: u64) {
        if revision > self.own {
            self.own = revision;
            self.reached.push((revision, now));
        }
    }

    fn revision(&self) -> Revision {
        Revision::new(0, self.own)
    }
}

struct Datagram {
    arrives: u64,
    from: usize,
    to: usize,
    revision: u64,
    age: Option<u64>,
}

struct Site {
    daemons: Vec<Daemon>,
    zones: Vec<Vec<usize>>,
    /// The store's changes: when each was acknowledged.
    acknowledged: Vec<u64>,
    datagrams: Vec<Datagram>,
    pulls: Vec<(u64, usize, u64)>,
    random: SmallRng,
}

impl Site {
    fn new((count, regions, zones): (usize, usize, usize), seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let zone_count = regions * zones;
        let mut members = vec![Vec::new(); zone_count];
        (0..count).for_each(|daemon| members[daemon % zone_count].push(daemon));
        // A zone of each region holds its readers, which are not the relays in odd rounds.
        let per_region = readers_per_region(regions);
        let mut readers: Vec<usize> = Vec::new();
        for region in 0..regions {
            let mut of_region: Vec<usize> =
                (0..count).filter(|daemon| daemon % zone_count % regions == region).collect();
            if seed % 2 == 1 {
                of_region.reverse();
            }
            readers.extend(of_region.iter().take(per_region));
        }
        readers.sort_unstable();
        let daemons = (0..count).map(|daemon| Daemon {
            started: 0,
            place: readers
                .iter()
                .position(|reader| *reader == daemon)
                .map(|index| Place { index, count: readers.len() }),
            delay: random.random_range(0..BUDGET.spread),
            own: 1,
            reached: vec![(1, 0)],
            freshness: Freshness::default(),
            doing: Doing::Nothing,
            calls: 0,
            store: StorePath::Sound,
            peers: PeerPath::Sound,
        });
        let daemons = daemons.collect();
        Self { daemons, zones: members, acknowledged: vec![0], datagrams: Vec::new(), pulls: Vec::new(), random }
    }

    fn revision(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    fn fail(&mut self, affected: Affected, store: StorePath, peers: PeerPath) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let is_affected = match affected {
                Affected::Readers => daemon.place.is_some(),
                Affected::Others => daemon.place.is_none(),
                Affected::Half => index % 2 == 0,
                Affected::All => true,
            };
            if is_affected {
                (daemon.store, daemon.peers) = (store, peers);
            }
        }
    }

    /// Gives each daemon other paths, of its own, by which it reaches the store; chooses other relays and readers; and starts
    /// one daemon in ten anew.
    fn rearrange(&mut self, regions: usize, now: u64) {
        let stores: Vec<_> = STORE_PATHS.into_iter().filter(|path| path.leads_to_store()).collect();
        let Self { daemons, zones, random, .. } = self;
        zones.iter_mut().for_each(|members| members.shuffle(random));
        let mut readers: Vec<usize> = Vec::new();
        for region in 0..regions {
            let of_region: Vec<usize> = zones.iter().skip(region).step_by(regions).flatten().copied().collect();
            readers.extend(of_region.choose_multiple(random, readers_per_region(regions)));
        }
        readers.sort_unstable();
        for (index, daemon) in daemons.iter_mut().enumerate() {
            let place = readers.iter().position(|reader| *reader == index);
            daemon.place = place.map(|index| Place { index, count: readers.len() });
            daemon.store = *stores.choose(random).expect("a path");
            daemon.peers = *PEER_PATHS.choose(random).expect("a path");
            if random.random_bool(0.1) {
                (daemon.started, daemon.own, daemon.reached) = (now, 1, vec![(1, now)]);
                (daemon.freshness, daemon.doing) = (Freshness::default(), Doing::Nothing);
            }
        }
    }

    fn step(&mut self, now: u64) {
        self.receive(now);
        for index in 0..self.daemons.len() {
            self.turn(index, now);
        }
        self.send(now);
    }

    fn receive(&mut self, now: u64) {
        for (_, to, revision) in self.pulls.extract_if(.., |pull| pull.0 <= now) {
            self.daemons[to].advance(revision, now);
        }
        for datagram in self.datagrams.extract_if(.., |datagram| datagram.arrives <= now) {
            let is_reader = self.daemons[datagram.from].place.is_some();
            let daemon = &mut self.daemons[datagram.to];
            let is_lost = match daemon.peers {
                PeerPath::Deaf => true,
                PeerPath::DeafToReaders => is_reader,
                PeerPath::Lossy => self.random.random_bool(1.0 / 3.0),
                PeerPath::Sound | PeerPath::NoPulls => false,
            };
            if is_lost {
                continue;
            }
            let own = daemon.revision();
            daemon.freshness.record_peer(Revision::new(0, datagram.revision), datagram.age, own, now);
            if datagram.revision > daemon.own && daemon.peers != PeerPath::NoPulls {
                self.pulls.push((now + PULL_MS, datagram.to, datagram.revision));
            }
        }
    }

    fn turn(&mut self, index: usize, now: u64) {
        let stored = self.revision();
        let daemon = &mut self.daemons[index];
        let is_check = (now + index as u64 * STEP_MS).is_multiple_of(BUDGET.check);
        let own = daemon.revision();
        match daemon.doing {
            Doing::Pause { ends } if now >= ends => daemon.doing = Doing::Nothing,
            Doing::Read { at, arrives, revision } if now >= arrives => {
                daemon.advance(revision, now);
                daemon.freshness.record_reading(at);
                daemon.doing = Doing::Nothing;
            }
            Doing::Poll { sent, ends } => {
                let answer = match daemon.store {
                    StorePath::Sound | StorePath::SomeRefused => Some(0),
                    StorePath::Slow(ms) => Some(ms),
                    _ => None,
                };
                if let (Some(ms), true) = (answer, stored > daemon.own) {
                    daemon.doing = Doing::Read { at: now, arrives: now + ms, revision: stored };
                } else if let (Some(ms), true) = (answer, now >= ends) {
                    daemon.doing = Doing::Read { at: ends.max(sent), arrives: now + ms, revision: stored };
                } else if now >= ends + 1_000
                    || (is_check && daemon.freshness.overdue(&BUDGET, own, daemon.delay, now).is_some())
                {
                    daemon.doing = Doing::Nothing;
                }
            }
            _ => {}
        }
        if daemon.doing != Doing::Nothing || !(is_check || daemon.place.is_some()) {
            return;
        }
        let own = daemon.revision();
        let overdue = daemon.freshness.overdue(&BUDGET, own, daemon.delay, now);
        daemon.doing = match Turn::next(&BUDGET, daemon.place, overdue, false, now) {
            Turn::List | Turn::Rely => Doing::Nothing,
            Turn::Poll(ms) if daemon.store == StorePath::Refused => {
                daemon.calls += 1;
                Doing::Pause { ends: now + PAUSE_MS.min(ms) }
            }
            Turn::Poll(ms) => {
                daemon.calls += 1;
                Doing::Poll { sent: now, ends: now + ms }
            }
            Turn::CatchUp(_) => {
                daemon.calls += 1;
                let read = |ms| Doing::Read { at: now, arrives: now + ms, revision: stored };
                match daemon.store {
                    StorePath::Sound => read(CALL_MS),
                    StorePath::Slow(ms) => read(ms),
                    StorePath::DeadConnections => read(BUDGET.hedge + CALL_MS),
                    StorePath::SomeRefused if daemon.calls % 3 != 1 => read(CALL_MS),
                    StorePath::SomeRefused | StorePath::Refused => Doing::Pause { ends: now + PAUSE_MS },
                    StorePath::Silent => Doing::Pause { ends: now + 1_000 + PAUSE_MS },
                }
            }
        };
    }

    /// Daemons report to the relay of their zone, the first of it, which tells its daemons and the relays of other zones.
    fn send(&mut self, now: u64) {
        for (zone, members) in self.zones.iter().enumerate() {
            let relay = members[0];
            let interval = (6 * members.len() as u64).clamp(100, 250) / STEP_MS * STEP_MS;
            for (number, member) in members.iter().enumerate() {
                if !(now + number as u64 * STEP_MS).is_multiple_of(interval) {
                    continue;
                }
                let daemon = &mut self.daemons[*member];
                let (revision, age) = (daemon.own, daemon.freshness.age(Revision::new(0, daemon.own), now));
                let datagram = |to, ms| Datagram { arrives: now + ms, from: *member, to, revision, age };
                if *member != relay {
                    self.datagrams.push(datagram(relay, STEP_MS));
                    continue;
                }
                self.datagrams.extend(members[1..].iter().map(|to| datagram(*to, STEP_MS)));
                if (now / interval).is_multiple_of(2) {
                    let others = self.zones.iter().enumerate().filter(|(other, _)| *other != zone);
                    self.datagrams.extend(others.map(|(_, others)| datagram(others[0], 20)));
                }
            }
        }
        // Whoever learns of a change tells four others at once.
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            if daemon.reached.last().is_none_or(|(_, at)| *at != now) {
                continue;
            }
            let (revision, age) = (daemon.own, daemon.freshness.age(Revision::new(0, daemon.own), now));
            for _ in 0..4 {
                let to = self.random.random_range(0..self.daemons.len());
                self.datagrams.push(Datagram { arrives: now + 20, from: index, to, revision, age });
            }
        }
    }

    /// The longest time that a change took to a daemon from which `is_bound` asks it, which daemon that was, and when the
    /// change was acknowledged.
    fn longest_delay(&self, is_bound: impl Fn(&Daemon) -> bool) -> (u64, usize, u64) {
        let mut longest = (0, 0, 0);
        for (index, daemon) in self.daemons.iter().enumerate().filter(|(_, daemon)| is_bound(daemon)) {
            let changes = self.acknowledged.iter().enumerate().skip(1);
            for (number, acknowledged) in changes.filter(|(_, acknowledged)| **acknowledged >= daemon.started) {
                let revision = number as u64 + 1;
                let reached = daemon.reached.iter().find(|(reached, _)| *reached >= revision);
                let delay = reached.map_or(END_MS, |(_, at)| at.saturating_sub(*acknowledged));
                longest = longest.max((delay, index, *acknowledged));
            }
        }
        longest
    }
}

/// Plays a day. `interval_ms` is the time from one change to the next, and paths fail shortly before the first.
fn play(
    size: (usize, usize, usize),
    seed: u64,
    interval_ms: u64,
    (affected, store, peers): (Affected, StorePath, PeerPath),
) -> Site {
    let mut site = Site::new(size, seed);
    let fails_at = CHANGES_MS.0 - 10 * (seed + 1) * 37;
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        if now / STEP_MS == fails_at / STEP_MS {
            site.fail(affected, store, peers);
        }
        if (CHANGES_MS.0..CHANGES_MS.1).contains(&now) && (now - CHANGES_MS.0).is_multiple_of(interval_ms) {
            site.acknowledged.push(now);
        }
        site.step(now);
    }
    site
}

const AFFECTED: [Affected; 4] = [Affected::Readers, Affected::Others, Affected::Half, Affected::All];
const PEER_PATHS: [PeerPath; 5] =
    [PeerPath::Sound, PeerPath::NoPulls, PeerPath::Deaf, PeerPath::DeafToReaders, PeerPath::Lossy];
const STORE_PATHS: [StorePath; 6] = [
    StorePath::Sound,
    StorePath::Slow(300),
    StorePath::Slow(500),
    StorePath::DeadConnections,
    StorePath::SomeRefused,
    StorePath::Refused,
];

/// Guards against CONFIG: whatever path to or from a daemon fails, and any two of them, a change is in force within the
/// budget on each daemon that reaches the store.
#[test]
fn changes_are_in_force_within_the_budget_on_daemons_that_reach_the_store() {
    for size in SITES {
        for seed in 0..SEEDS {
            let interval_ms = [90, 500, 14_000, 20][seed as usize];
            for affected in AFFECTED {
                for store in STORE_PATHS.into_iter().filter(|path| path.leads_to_store()) {
                    for peers in PEER_PATHS {
                        let site = play(size, seed, interval_ms, (affected, store, peers));
                        let (delay, daemon, at) = site.longest_delay(|daemon| daemon.store.leads_to_store());
                        assert!(
                            delay + MARGIN_MS <= BUDGET.total,
                            "{delay} ms from {at} at daemon {daemon} of {size:?}, seed {seed}: {store:?} and {peers:?} for {affected:?}"
                        );
                    }
                }
            }
        }
    }
}

/// Guards against CONFIG: daemons that do not reach the store follow those that do, also if only daemons read it that are
/// not in the order, as those in it are all turned away.
#[test]
fn changes_are_in_force_within_the_budget_on_daemons_that_reach_one_that_reads() {
    for size in SITES {
        for seed in 0..SEEDS {
            for affected in [Affected::Readers, Affected::Half] {
                for store in [StorePath::Refused, StorePath::Silent] {
                    let site =
                        play(size, seed, [90, 500, 14_000, 20][seed as usize], (affected, store, PeerPath::Sound));
                    if site.daemons.iter().all(|daemon| !daemon.store.leads_to_store()) {
                        continue;
                    }
                    let (delay, daemon, at) = site.longest_delay(|_| true);
                    assert!(
                        delay + MARGIN_MS <= BUDGET.total,
                        "{delay} ms from {at} at daemon {daemon} of {size:?}, seed {seed}: {store:?} for {affected:?}"
                    );
                }
            }
        }
    }
}

/// Guards against CONFIG: daemons start, relays and readers change, and paths fail that move from daemon to daemon, different
/// ones at once. Each daemon reaches the store in some way all the while. Bound and margin as above, stated before the run.
#[test]
fn changes_are_in_force_within_the_budget_while_failing_paths_move() {
    for size in SITES {
        for seed in 0..4 * SEEDS {
            let interval_ms = [90, 500, 1_700, 20][(seed % SEEDS) as usize];
            let moves_ms = [300, 700, 1_500, 3_100][(seed / SEEDS) as usize];
            let mut site = Site::new(size, seed);
            for now in (0..END_MS).step_by(STEP_MS as usize) {
                if now > 0 && now.is_multiple_of(moves_ms) {
                    site.rearrange(size.1, now);
                }
                if (CHANGES_MS.0..CHANGES_MS.1).contains(&now) && (now - CHANGES_MS.0).is_multiple_of(interval_ms) {
                    site.acknowledged.push(now);
                }
                site.step(now);
            }
            let (delay, daemon, at) = site.longest_delay(|_| true);
            println!("{size:?}, seed {seed}, moves each {moves_ms} ms: {delay} ms");
            assert!(
                delay + MARGIN_MS <= BUDGET.total,
                "{delay} ms from {at} at daemon {daemon} of {size:?}, seed {seed}, moves each {moves_ms} ms"
            );
        }
    }
}

/// While nothing fails and nothing changes, only the daemons in the order call the store, once a slot together; at more
/// than six of them, as often as polls of the longest time need.
#[test]
fn calm_costs_one_call_a_slot() {
    for size in [(7, 3, 1), (7, 1, 1), (87, 6, 1), (195, 3, 2), (730, 11, 3)] {
        let mut site = Site::new(size, 0);
        let count = |site: &Site| site.daemons.iter().map(|daemon| daemon.calls).sum::<u64>();
        for now in (0..10_000).step_by(STEP_MS as usize) {
            site.step(now);
        }
        let before = count(&site);
        for now in (10_000..30_000).step_by(STEP_MS as usize) {
            site.step(now);
        }
        let readers = site.daemons.iter().filter(|daemon| daemon.place.is_some()).count() as u64;
        let calls = count(&site) - before;
        let allowed = (20_000 / BUDGET.slot).max(readers * 20_000 / 4_000) + readers;
        assert!(calls <= allowed, "{calls} calls in 20 s, {allowed} allowed, at {size:?}");
        let relying = site.daemons.iter().filter(|daemon| daemon.place.is_none() && daemon.calls > 2).count();
        assert_eq!(relying, 0, "daemons that rely on others called the store at {size:?}");
    }
}
