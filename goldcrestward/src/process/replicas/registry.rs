//! Registry of the backend servers that this daemon knows, and selection of one for a request.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use log::info;
use parking_lot::Mutex;

use super::{LeavingNews, NoReplica, Offer, PlacementQuery, Replica, ReplicaGuard, ReplicaQuery};
use crate::{
    port::{Instance, InstanceState},
    process::{
        admission_queue::AdmissionQueues,
        hold::Hold,
        leaving::{LeavingRuns, LeavingSource},
        line_burst::LineBurst,
        placement::{Candidate, mix, place},
    },
    util::stable_hash,
};

/// Requests in flight on a replica, relative to the mean, above which the next one by hash is chosen.
const LOAD_BOUND: f64 = 1.25;
/// Maximum number of requests in flight on a replica, as a multiple of its configured concurrency.
const MAX_IN_FLIGHT_FACTOR: u32 = 2;
/// Share of a pool that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.7;

type Pools = BTreeMap<Arc<str>, Vec<Arc<Replica>>>;

/// The backend servers of all pools.
#[derive(Default)]
pub(crate) struct Replicas {
    pools: ArcSwap<Pools>,
    known: Mutex<HashMap<Arc<str>, Arc<Replica>>>,
    /// Queues of requests for a free place, by pool.
    pub admission_queues: AdmissionQueues,
    leaving_runs: Mutex<LeavingRuns>,
    /// Times for which runs want nothing whose entries are gone and may come back.
    holds: Mutex<HashMap<u64, Hold>>,
    /// Limits the log lines on false entries.
    false_entry_lines: Mutex<LineBurst>,
}

impl Replicas {
    /// Applies changes of the platform's list of instances.
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
                if let Some(old) = old {
                    self.end_statements(&old, now);
                }
                continue;
            }
            let same =
                |r: &Arc<Replica>| r.address == instance.address && r.started_unix_ms == instance.started_unix_ms;
            let health = old.filter(same).map(|r| r.health.clone());
            let health = health.unwrap_or_default();
            let replica = Arc::new(Replica {
                hash: stable_hash(&[instance.id.as_bytes()]),
                id: instance.id.clone(),
                address: instance.address,
                version: instance.version,
                zone: instance.zone,
                region: instance.region,
                slots: instance.slots,
                reclaimable: instance.reclaimable,
                started_unix_ms: instance.started_unix_ms,
                warm_at_ms: now.saturating_add(instance.warm_up.as_millis() as u64),
                admission_queue: self.admission_queues.for_pool(&instance.pool),
                health,
            });
            self.apply_state(&replica, instance.state, instance.leaves_in, now);
            if let Some(hold) = self.holds.lock().remove(&replica.statement_key()) {
                *replica.health.hold.lock() = hold;
            }
            known.insert(instance.id, replica.clone());
            pool.push(replica);
        }
        self.pools.store(Arc::new(pools));
        self.admission_queues.wake_next_in_each();
    }

    /// Applies the state in a replica's entry, and what its run has said about itself before.
    fn apply_state(&self, replica: &Replica, state: InstanceState, leaves_in: Option<Duration>, now: u64) {
        let run = replica.statement_key();
        let mut runs = self.leaving_runs.lock();
        if replica.started_unix_ms > 0 && runs.has_answered(replica.place_key(), replica.started_unix_ms) {
            // The answer came before this entry, and counted for the run before.
            runs.state(run, LeavingSource::Answer, now, now);
        }
        if state == InstanceState::Leaving {
            runs.state(run, LeavingSource::Entry, now, now);
            replica.health.leave(now, leaves_in);
        } else if let Some((source, at)) = runs.first(run) {
            let (source, age_ms) = (source.label(), now.saturating_sub(at));
            info!("event=ready-ignored instance={} leaving_by={source} age_ms={age_ms}", replica.id);
            replica.health.leave(now, None);
        }
    }

    /// Records an answer of a server which says that it is leaving, to a request sent at `asked_unix_ms`. Returns the run
    /// that has given it, by the entries known so far.
    pub fn record_leaving_answer(&self, replica: &Replica, asked_unix_ms: u64, now: u64) -> u64 {
        let (known, place) = (self.known.lock(), replica.place_key());
        let mut runs = self.leaving_runs.lock();
        runs.record_answer(place, asked_unix_ms, now);
        let current = known.get(&replica.id).filter(|current| {
            current.started_unix_ms > 0
                && current.place_key() == place
                && runs.has_answered(place, current.started_unix_ms)
        });
        current.map_or_else(|| replica.statement_key(), |current| current.statement_key())
    }

    /// Records that a run has said at `at` that it is leaving, whether or not its entry is known. Returns `None` if that is
    /// no news.
    pub fn state_leaving(&self, run: u64, at: u64, now: u64) -> Option<LeavingNews> {
        // Held until the replica is marked, so that no entry of the run is applied in between.
        let known = self.known.lock();
        if !self.leaving_runs.lock().state(run, LeavingSource::Answer, at, now) {
            return None;
        }
        let replica = known.values().find(|replica| replica.statement_key() == run).cloned();
        let Some(replica) = replica else { return Some(LeavingNews { replica: None, ready_in_pool: 0 }) };
        replica.health.leave(now, None);
        let pools = self.pools.load();
        let pool = pools.values().find(|pool| pool.iter().any(|other| other.id == replica.id));
        let ready_in_pool = pool.map_or(0, |pool| pool.iter().filter(|other| !other.is_leaving()).count());
        Some(LeavingNews { replica: Some(replica), ready_in_pool })
    }

    /// Removes an instance that is gone.
    pub fn remove(&self, id: &str, now: u64) {
        let Some(replica) = self.known.lock().remove(id) else { return };
        // Requests that are still waiting for the replica must see that it is gone.
        replica.health.leave(now, None);
        self.end_statements(&replica, now);
        let mut pools = Pools::clone(&self.pools.load());
        pools.values_mut().for_each(|pool| pool.retain(|r| *r.id != *id));
        self.pools.store(Arc::new(pools));
    }

    /// Uses a server again that has been removed, unless it has said that it leaves or another one has its name. Returns
    /// whether it is used.
    pub fn put_back(&self, pool: &Arc<str>, replica: &Arc<Replica>) -> bool {
        let mut known = self.known.lock();
        if known.contains_key(&replica.id) || self.has_stated_leaving(replica) {
            return false;
        }
        replica.health.stay();
        known.insert(replica.id.clone(), replica.clone());
        let mut pools = Pools::clone(&self.pools.load());
        pools.entry(pool.clone()).or_default().push(replica.clone());
        self.pools.store(Arc::new(pools));
        self.admission_queues.wake_next_in_each();
        true
    }

    /// Whether a server's run has said that it leaves.
    pub fn has_stated_leaving(&self, replica: &Replica) -> bool {
        self.leaving_runs.lock().first(replica.statement_key()).is_some()
    }

    /// The pool of a server.
    pub fn pool_of(&self, id: &str) -> Option<Arc<str>> {
        let pools = self.pools.load();
        pools.iter().find(|(_, pool)| pool.iter().any(|r| *r.id == *id)).map(|(name, _)| name.clone())
    }

    /// Keeps what a run has said about itself, as its entry may come back. Without a start time, the next entry with the name
    /// and address may be that of another run.
    fn end_statements(&self, replica: &Replica, now: u64) {
        let run = replica.statement_key();
        if replica.started_unix_ms == 0 {
            self.leaving_runs.lock().forget(run);
        } else if replica.is_held(now) {
            let hold = *replica.health.hold.lock();
            let mut holds = self.holds.lock();
            holds.retain(|_, hold| hold.is_active(now));
            holds.insert(run, hold);
        }
    }

    /// Marks an instance as leaving after a reclaim notice that arrived before the platform's list shows it.
    pub fn mark_leaving(&self, id: &str) {
        if let Some(replica) = self.known.lock().get(id) {
            replica.health.leaving.store(true, Ordering::Relaxed);
        }
    }

    /// Records that another instance has answered at a replica's address. Returns how many other false entries were not
    /// logged, if this one is to be logged.
    pub fn record_misdirected(&self, replica: &Replica, now: u64) -> Option<u64> {
        if !replica.record_misdirected(now) {
            return None;
        }
        self.false_entry_lines.lock().record(now)
    }

    /// Whether any version accepted by `wanted` has a server that takes requests.
    pub fn serves(&self, pool: &str, wanted: impl Fn(&str) -> bool, now: u64) -> bool {
        let pools = self.pools.load();
        let takes_requests = |r: &Arc<Replica>| wanted(&r.version) && !r.is_leaving() && !r.is_false(now);
        pools.get(pool).is_some_and(|pool| pool.iter().any(takes_requests))
    }

    /// The servers of a pool that take requests. One that is listed under several names counts once.
    pub fn servers(&self, pool: &str, now: u64) -> Vec<Arc<Replica>> {
        let mut addresses = HashSet::new();
        let mut servers = self.pool(pool);
        servers.retain(|r| !r.is_leaving() && !r.is_false(now) && addresses.insert(r.address));
        servers
    }

    /// Finds a server by its instance's id.
    pub fn find(&self, id: &str) -> Option<Arc<Replica>> {
        self.known.lock().get(id).cloned()
    }

    pub fn is_known(&self, id: &str) -> bool {
        self.known.lock().contains_key(id)
    }

    /// Whether an instance is known and takes requests.
    pub fn is_used(&self, id: &str) -> bool {
        self.known.lock().get(id).is_some_and(|replica| !replica.is_leaving())
    }

    pub fn pool(&self, pool: &str) -> Vec<Arc<Replica>> {
        self.pools.load().get(pool).cloned().unwrap_or_default()
    }

    pub fn all(&self) -> Vec<Arc<Replica>> {
        self.pools.load().values().flatten().cloned().collect()
    }

    /// Chooses the server with the lowest estimated time to first answer; the offer tells whether it has a free slot.
    ///
    /// # Errors
    /// Fails when no server is eligible.
    pub fn place(&self, query: &PlacementQuery<'_>) -> Result<Offer, NoReplica> {
        self.place_among(query, |_| true)
    }

    /// Chooses like [`Replicas::place`] among the servers that have a free slot, however much cheaper a full one may seem.
    ///
    /// # Errors
    /// Fails when no server with a free slot is eligible.
    pub fn place_free(&self, query: &PlacementQuery<'_>) -> Result<Offer, NoReplica> {
        self.place_among(query, Candidate::has_free_slot)
    }

    fn place_among(
        &self,
        query: &PlacementQuery<'_>,
        is_wanted: impl Fn(&Candidate) -> bool,
    ) -> Result<Offer, NoReplica> {
        let pools = self.pools.load();
        let pool = pools.get(query.pool).ok_or(NoReplica::None)?;
        let is_eligible =
            |r: &&Arc<Replica>| !r.is_leaving() && !r.is_false(query.now) && query.versions.allows(&r.version);
        let (tried, mut eligible): (Vec<&Arc<Replica>>, Vec<_>) =
            pool.iter().filter(is_eligible).partition(|r| query.tried.contains(&r.id));
        if eligible.is_empty() && tried.iter().all(|r| r.is_held(query.now)) {
            // None of them is another server for the request, but when they want requests again is known.
            let first_free = tried.iter().map(|r| r.blocked_ms(query)).min().ok_or(NoReplica::None)?;
            return Err(NoReplica::Held(Duration::from_millis(first_free)));
        }
        let first_free = eligible.iter().map(|r| (r.blocked_ms(query), r.is_held(query.now))).min();
        if let Some((wait, is_held)) = first_free.filter(|(wait, _)| *wait > 0) {
            let wait = Duration::from_millis(wait);
            return Err(if is_held { NoReplica::Held(wait) } else { NoReplica::RateLimited(wait) });
        }
        eligible.retain(|r| r.blocked_ms(query) == 0);
        let healthy: Vec<_> = eligible.iter().copied().filter(|r| !r.is_ejected(query.now)).collect();
        // An ejected server may have recovered, so it is better than none.
        let usable = if healthy.is_empty() { &eligible } else { &healthy };
        let wanted = usable.iter().map(|r| (*r, r.candidate(query))).filter(|(_, candidate)| is_wanted(candidate));
        let (replicas, candidates): (Vec<_>, Vec<_>) = wanted.unzip();
        let placement = place(&candidates, query.prompt_cost, query.salt).ok_or(NoReplica::None)?;
        let replica = replicas[placement.index].clone();
        Ok(Offer { replica, crash_score: query.crash_score, placement, now: query.now })
    }

    /// Chooses a replica by rendezvous hashing of the key, among those whose load is within the bound.
    pub fn choose(&self, query: &ReplicaQuery<'_>) -> Result<ReplicaGuard, NoReplica> {
        let pools = self.pools.load();
        let pool = pools.get(query.pool).ok_or(NoReplica::None)?;
        let is_eligible = |r: &&Arc<Replica>| {
            !r.is_leaving() && query.version.is_none_or(|v| *r.version == *v) && !query.tried.contains(&r.id)
        };
        let eligible: Vec<&Arc<Replica>> = pool.iter().filter(is_eligible).collect();
        let healthy: Vec<_> = eligible.iter().copied().filter(|r| !r.is_ejected(query.now)).collect();
        // Beyond this share a burst of failures may have ejected sound replicas, so that the rest need not take all.
        let min_healthy = eligible.len() as f64 * (1.0 - MAX_EJECTED_SHARE);
        let are_few = (healthy.len() as f64) < min_healthy;
        let has_room = healthy.iter().any(|r| r.in_flight() < query.concurrency);
        let usable = if are_few && !has_room { &eligible } else { &healthy };
        let local: Vec<_> = usable.iter().copied().filter(|r| *r.region == *query.region).collect();
        if !usable.is_empty() && usable.iter().all(|r| r.in_flight() >= query.concurrency * MAX_IN_FLIGHT_FACTOR) {
            return Err(NoReplica::Overloaded);
        }
        let has_local_capacity = local.iter().any(|r| r.in_flight() < query.concurrency);
        let chosen = if has_local_capacity {
            rendezvous_within_bound(&local, query.key)
        } else {
            rendezvous_within_bound(usable, query.key)
        };
        chosen.map(|replica| ReplicaGuard::new(replica.clone(), query.crash_score, 0.0)).ok_or(NoReplica::None)
    }
}

/// Chooses by rendezvous hashing among the replicas with at most [`LOAD_BOUND`] times the mean number of requests.
fn rendezvous_within_bound<'a>(replicas: &[&'a Arc<Replica>], key: u64) -> Option<&'a Arc<Replica>> {
    let total: u32 = replicas.iter().map(|r| r.in_flight()).sum();
    let bound = (LOAD_BOUND * f64::from(total + 1) / replicas.len().max(1) as f64).ceil() as u32;
    let score = |r: &&&Arc<Replica>| mix(r.hash ^ key);
    replicas.iter().filter(|r| r.in_flight() < bound).max_by_key(score).copied()
}

#[cfg(test)]
#[path = "registry_test.rs"]
mod registry_test;
