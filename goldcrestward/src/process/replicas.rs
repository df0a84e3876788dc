//! The backend servers that this daemon knows, and the choice of one for a request.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use super::{
    health::{Trouble, Verdict},
    loads::{Loads, PeerLoad},
    placement::{Candidate, Demand, Distance, Placed, mix, place},
    turns::{PoolTurns, Turns},
};
use crate::{
    port::{Instance, InstanceState, Load},
    util::stable_hash,
    version::VersionRule,
};

/// Load that a replica may have above the mean before the next one is taken.
const BOUND: f64 = 1.25;
/// Requests in flight on one replica at most, as a multiple of what it is meant to hold.
const QUEUE_FACTOR: u32 = 2;
/// Failures in a row after which a replica is left out for a while.
const EJECT_FAILURES: u32 = 3;
/// Time that a failing replica is left out, in ms.
const EJECT_MS: u64 = 10_000;
/// Time for which a leaving replica goes on if the platform does not say.
const LEAVING: Duration = Duration::from_millis(2_400);
/// Time before a replica is gone at which what still runs there is moved, in ms.
const MOVE_MS: u64 = 900;
/// Time that a replica is left out to which no connection could be opened, in ms.
const REST_MS: u64 = 800;
/// Time within which requests that a crash broke off count as broken off together, in ms.
const CRASH_MS: u64 = 3_000;
/// Share of a pool that may be left out at once.
const EJECT_SHARE: f64 = 0.7;

/// One backend server.
pub(crate) struct Replica {
    /// The platform's name for it.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that it runs.
    pub version: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Requests that it runs at once; 0 if it is not known.
    pub slots: u32,
    /// Whether the platform may take it away on notice.
    pub reclaimable: bool,
    born: u64,
    warm_at: u64,
    turns: Arc<Turns>,
    hash: u64,
    health: Arc<Health>,
}

#[derive(Debug, Default)]
struct Health {
    in_flight: AtomicU32,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    leaving: AtomicBool,
    /// This daemon's time in ms at which it is expected to be gone; 0 if it is not leaving.
    leaves_at: AtomicU64,
    running: Mutex<Vec<Occupant>>,
    /// Time to read the prompts of this daemon that have not been read, in microseconds.
    reading: AtomicU64,
    loads: Mutex<Loads>,
    trouble: Mutex<Trouble>,
}

impl Health {
    fn leave(&self, now: u64, leaves_in: Option<Duration>) {
        self.leaving.store(true, Ordering::Relaxed);
        let leaves_at = now + leaves_in.unwrap_or(LEAVING).as_millis() as u64;
        self.leaves_at.compare_exchange(0, leaves_at, Ordering::Relaxed, Ordering::Relaxed).ok();
    }
}

/// A request that a replica runs, or ran until a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Occupant {
    number: u64,
    points: u64,
    advanced: bool,
    left: Option<u64>,
}

impl Occupant {
    /// Higher for a request that more likely crashes the replica.
    fn rank(&self) -> u64 {
        2 * self.points + u64::from(!self.advanced)
    }
}

/// How suspicious a request is among those that a crashed replica was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// Another one is more suspicious.
    None,
    /// Others are as suspicious.
    Shared,
    /// No other is as suspicious.
    Sole,
}

impl Replica {
    /// Hash of its name, by which daemons speak of it.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether it has a reclaim notice or is being stopped, so that it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.health.leaving.load(Ordering::Relaxed)
    }

    /// Whether what runs there must be moved now to go on elsewhere.
    pub fn must_move(&self, now: u64) -> bool {
        let leaves_at = self.health.leaves_at.load(Ordering::Relaxed);
        leaves_at > 0 && now + MOVE_MS >= leaves_at
    }

    /// Requests in flight from this daemon.
    pub fn in_flight(&self) -> u32 {
        self.health.in_flight.load(Ordering::Relaxed)
    }

    /// Notes how an attempt went; a run of failures leaves the replica out for a while.
    pub fn note(&self, good: bool, now: u64) {
        if good {
            self.health.failures.store(0, Ordering::Relaxed);
            self.health.ejected_until.store(0, Ordering::Relaxed);
            return;
        }
        if self.health.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES {
            self.health.ejected_until.store(now + EJECT_MS, Ordering::Relaxed);
        }
    }

    /// Leaves the replica out at once, as after a refused connection.
    pub fn eject(&self, now: u64) {
        self.health.ejected_until.store(now + EJECT_MS, Ordering::Relaxed);
    }

    /// Leaves the replica out for a moment, as after a refused connection: it may be starting anew.
    pub fn rest(&self, now: u64) {
        self.health.ejected_until.store(now + REST_MS, Ordering::Relaxed);
    }

    /// Compares a request with the others that the replica was running as it crashed.
    pub fn blame(&self, guard: &ReplicaGuard, now: u64) -> Blame {
        let running = self.health.running.lock();
        let recent = |p: &&Occupant| p.left.is_none_or(|left| now.saturating_sub(left) < CRASH_MS);
        let Some(mine) = running.iter().find(|p| p.number == guard.number) else { return Blame::None };
        let others = running.iter().filter(|p| p.number != guard.number).filter(recent);
        match others.map(Occupant::rank).max() {
            Some(rank) if rank > mine.rank() => Blame::None,
            Some(rank) if rank == mine.rank() => Blame::Shared,
            _ => Blame::Sole,
        }
    }

    /// Takes in how an attempt went, for the choice among servers.
    pub fn judge(&self, verdict: Verdict, now: u64) {
        self.health.trouble.lock().note(verdict, now);
    }

    /// This daemon's work at the server.
    pub fn own_load(&self) -> PeerLoad {
        let reading_ms = self.health.reading.load(Ordering::Relaxed) as f64 / 1000.0;
        PeerLoad { running: self.in_flight(), reading_ms }
    }

    /// Takes in another daemon's work.
    pub fn hear(&self, daemon: &Arc<str>, load: Option<PeerLoad>, now: u64) {
        self.health.loads.lock().hear(daemon, load, now);
    }

    /// Takes in what the server says of its load.
    pub fn report(&self, load: Load, now: u64) {
        self.health.loads.lock().report(load, now);
    }

    fn candidate(&self, query: &PlaceQuery<'_>) -> Candidate {
        let PlaceQuery { zone, region, daemons, now, .. } = *query;
        let load = self.health.loads.lock().total(&self.own_load(), daemons, now);
        let distance = if *self.zone == *zone {
            Distance::Zone
        } else if *self.region == *region {
            Distance::Region
        } else {
            Distance::Far
        };
        Candidate {
            hash: self.hash,
            distance,
            running: load.running,
            reading_ms: load.reading_ms,
            slots: self.slots,
            cold: self.warm_at > now,
            trouble: self.health.trouble.lock().level(now),
        }
    }

    fn is_ejected(&self, now: u64) -> bool {
        self.health.ejected_until.load(Ordering::Relaxed) > now
    }
}

/// A replica chosen for an attempt; dropping it ends the attempt.
pub(crate) struct ReplicaGuard {
    replica: Arc<Replica>,
    number: u64,
    /// What is left to read of the prompt, in microseconds.
    reading: AtomicU64,
}

impl ReplicaGuard {
    fn new(replica: Arc<Replica>, points: u64, reading_ms: f64) -> Self {
        static NUMBERS: AtomicU64 = AtomicU64::new(0);

        replica.health.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let occupant = Occupant { number, points, advanced: false, left: None };
        replica.health.running.lock().push(occupant);
        let reading = (reading_ms * 1000.0) as u64;
        replica.health.reading.fetch_add(reading, Ordering::Relaxed);
        Self { replica, number, reading: AtomicU64::new(reading) }
    }

    /// The replica.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Notes that the replica has given tokens.
    pub fn advance(&self) {
        self.read();
        let mut running = self.replica.health.running.lock();
        if let Some(mine) = running.iter_mut().find(|p| p.number == self.number) {
            mine.advanced = true;
        }
    }

    fn read(&self) {
        let reading = self.reading.swap(0, Ordering::Relaxed);
        self.replica.health.reading.fetch_sub(reading, Ordering::Relaxed);
        self.replica.turns.call();
    }

    /// Notes that the replica has broken the connection; the request counts as its running request for a while.
    pub fn broken(&self, now: u64) {
        let mut running = self.replica.health.running.lock();
        running.retain(|p| p.left.is_none_or(|left| now.saturating_sub(left) < CRASH_MS));
        if let Some(mine) = running.iter_mut().find(|p| p.number == self.number) {
            mine.left = Some(now);
        }
    }
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        self.read();
        self.replica.health.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut running = self.replica.health.running.lock();
        running.retain(|p| p.number != self.number || p.left.is_some());
    }
}

type Pools = BTreeMap<Arc<str>, Vec<Arc<Replica>>>;

/// What a request needs of a replica.
pub(crate) struct ReplicaQuery<'a> {
    /// The pool.
    pub pool: &'a str,
    /// Requests with the same key go to the same replica while its load allows it.
    pub key: u64,
    /// The version that must serve it, if any.
    pub version: Option<&'a str>,
    /// The daemon's own region, which is preferred.
    pub region: &'a str,
    /// Requests in flight that one replica is meant to hold.
    pub concurrency: u32,
    /// Points that the request has as a suspect of crashes.
    pub points: u64,
    /// Replicas already tried.
    pub tried: &'a [Arc<str>],
    /// This daemon's time in ms.
    pub now: u64,
}

/// What a request needs of a server, and where it comes from.
pub(crate) struct PlaceQuery<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The request.
    pub demand: &'a Demand,
    /// The versions that may serve it.
    pub versions: &'a VersionRule,
    /// Servers already tried.
    pub tried: &'a [Arc<str>],
    /// The daemon's availability zone.
    pub zone: &'a str,
    /// The daemon's region.
    pub region: &'a str,
    /// Daemons that take part.
    pub daemons: usize,
    /// Points that the request has as a suspect of crashes.
    pub points: u64,
    /// Differs between requests, to spread them over servers that are alike.
    pub salt: u64,
    /// This daemon's time in ms.
    pub now: u64,
}

/// A server that could take a request.
pub(crate) struct Offer {
    replica: Arc<Replica>,
    points: u64,
    /// Why it was chosen.
    pub placed: Placed,
}

impl Offer {
    /// Takes the place.
    pub fn take(self) -> ReplicaGuard {
        ReplicaGuard::new(self.replica, self.points, self.placed.reading_ms)
    }
}

/// Why no replica could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplica {
    /// None fits.
    None,
    /// Those that fit have as much as they are meant to hold, and as much again in front of them.
    Overloaded,
}

/// The backend servers of all pools.
#[derive(Default)]
pub(crate) struct Replicas {
    pools: ArcSwap<Pools>,
    known: Mutex<HashMap<Arc<str>, Arc<Replica>>>,
    /// Requests that wait for a place.
    pub turns: PoolTurns,
}

impl Replicas {
    /// Takes in changes of the platform's list.
    pub fn update(&self, changes: Vec<Instance>, now: u64) {
        if changes.is_empty() {
            return;
        }
        let mut known = self.known.lock();
        let mut pools = Pools::clone(&self.pools.load());
        for instance in changes {
            let pool = pools.entry(instance.pool.clone()).or_default();
            pool.retain(|r| r.id != instance.id);
            let old = known.remove(&instance.id);
            if instance.state == InstanceState::Gone {
                continue;
            }
            let same = |r: &Arc<Replica>| r.address == instance.address && r.born == instance.started_unix_ms;
            let health = old.filter(same).map(|r| r.health.clone());
            let health = health.unwrap_or_default();
            if instance.state == InstanceState::Leaving {
                health.leave(now, instance.leaves_in);
            }
            let replica = Arc::new(Replica {
                hash: stable_hash(&[instance.id.as_bytes()]),
                id: instance.id.clone(),
                address: instance.address,
                version: instance.version,
                zone: instance.zone,
                region: instance.region,
                slots: instance.slots,
                reclaimable: instance.reclaimable,
                born: instance.started_unix_ms,
                warm_at: now + instance.warm_up.as_millis() as u64,
                turns: self.turns.of(&instance.pool),
                health,
            });
            known.insert(instance.id, replica.clone());
            pool.push(replica);
        }
        self.pools.store(Arc::new(pools));
        self.turns.call_all();
    }

    /// Forgets an instance that is gone.
    pub fn remove(&self, id: &str, now: u64) {
        let Some(replica) = self.known.lock().remove(id) else { return };
        // Requests that still wait for it must see that it is gone.
        replica.health.leave(now, None);
        let mut pools = Pools::clone(&self.pools.load());
        pools.values_mut().for_each(|pool| pool.retain(|r| *r.id != *id));
        self.pools.store(Arc::new(pools));
    }

    /// Notes a reclaim notice that came faster than the platform's list.
    pub fn mark_leaving(&self, id: &str) {
        if let Some(replica) = self.known.lock().get(id) {
            replica.health.leaving.store(true, Ordering::Relaxed);
        }
    }

    /// Whether a version that is wanted has a server that takes requests.
    pub fn serves(&self, pool: &str, wanted: impl Fn(&str) -> bool) -> bool {
        let pools = self.pools.load();
        pools.get(pool).is_some_and(|pool| pool.iter().any(|r| wanted(&r.version) && !r.is_leaving()))
    }

    /// Whether an instance is known.
    pub fn is_known(&self, id: &str) -> bool {
        self.known.lock().contains_key(id)
    }

    /// All replicas of a pool.
    pub fn pool(&self, pool: &str) -> Vec<Arc<Replica>> {
        self.pools.load().get(pool).cloned().unwrap_or_default()
    }

    /// All replicas.
    pub fn all(&self) -> Vec<Arc<Replica>> {
        self.pools.load().values().flatten().cloned().collect()
    }

    /// Chooses the server with the earliest first answer, and says whether it has a place free.
    ///
    /// # Errors
    /// Fails when no server fits.
    pub fn place(&self, query: &PlaceQuery<'_>) -> Result<Offer, NoReplica> {
        let pools = self.pools.load();
        let pool = pools.get(query.pool).ok_or(NoReplica::None)?;
        let fits =
            |r: &&Arc<Replica>| !r.is_leaving() && query.versions.allows(&r.version) && !query.tried.contains(&r.id);
        let fitting: Vec<&Arc<Replica>> = pool.iter().filter(fits).collect();
        let healthy: Vec<_> = fitting.iter().copied().filter(|r| !r.is_ejected(query.now)).collect();
        // A server that was left out may be back, so it is better than none.
        let usable = if healthy.is_empty() { &fitting } else { &healthy };
        let candidates: Vec<_> = usable.iter().map(|r| r.candidate(query)).collect();
        let placed = place(&candidates, query.demand, query.salt).ok_or(NoReplica::None)?;
        Ok(Offer { replica: usable[placed.index].clone(), points: query.points, placed })
    }

    /// Chooses a replica: the one with the highest hash for the key whose load is within the bound.
    pub fn choose(&self, query: &ReplicaQuery<'_>) -> Result<ReplicaGuard, NoReplica> {
        let pools = self.pools.load();
        let pool = pools.get(query.pool).ok_or(NoReplica::None)?;
        let fits = |r: &&Arc<Replica>| {
            !r.is_leaving() && query.version.is_none_or(|v| *r.version == *v) && !query.tried.contains(&r.id)
        };
        let fitting: Vec<&Arc<Replica>> = pool.iter().filter(fits).collect();
        let healthy: Vec<_> = fitting.iter().copied().filter(|r| !r.is_ejected(query.now)).collect();
        // The floor keeps a wave of failures from leaving out the whole pool.
        let floor = fitting.len() as f64 * (1.0 - EJECT_SHARE);
        let usable = if (healthy.len() as f64) < floor { &fitting } else { &healthy };
        let local: Vec<_> = usable.iter().copied().filter(|r| *r.region == *query.region).collect();
        if !usable.is_empty() && usable.iter().all(|r| r.in_flight() >= query.concurrency * QUEUE_FACTOR) {
            return Err(NoReplica::Overloaded);
        }
        let free = local.iter().any(|r| r.in_flight() < query.concurrency);
        let chosen = if free { bounded(&local, query.key) } else { bounded(usable, query.key) };
        chosen.map(|replica| ReplicaGuard::new(replica.clone(), query.points, 0.0)).ok_or(NoReplica::None)
    }
}

/// Rendezvous hashing among the replicas whose load is at most a factor above the mean.
fn bounded<'a>(replicas: &[&'a Arc<Replica>], key: u64) -> Option<&'a Arc<Replica>> {
    let total: u32 = replicas.iter().map(|r| r.in_flight()).sum();
    let bound = (BOUND * f64::from(total + 1) / replicas.len().max(1) as f64).ceil() as u32;
    let score = |r: &&&Arc<Replica>| mix(r.hash ^ key);
    replicas.iter().filter(|r| r.in_flight() < bound).max_by_key(score).copied()
}
