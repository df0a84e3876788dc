//! Registry of the backend servers that this daemon knows, and selection of one for a request.

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
use log::info;
use parking_lot::Mutex;

use super::{
    admission_queue::{AdmissionQueue, AdmissionQueues},
    brittle::{DaemonRank, Places, Room},
    health::{AttemptOutcome, FailureScore},
    hold::Hold,
    leaving::{LeavingRuns, LeavingSource},
    loads::{LoadTracker, PeerLoad},
    named_limit::NamedLimit,
    placement::{Candidate, Locality, Placement, PromptCost, mix, place},
};
use crate::{
    port::{Instance, InstanceState, Load, StatedLimit},
    util::stable_hash,
    version::VersionRule,
};

/// Requests in flight on a replica, relative to the mean, above which the next one by hash is chosen.
const LOAD_BOUND: f64 = 1.25;
/// Maximum number of requests in flight on a replica, as a multiple of its configured concurrency.
const MAX_IN_FLIGHT_FACTOR: u32 = 2;
/// Consecutive failures after which a replica is ejected.
const EJECT_FAILURES: u32 = 3;
/// Time for which a failing replica stays ejected.
const EJECT_MS: u64 = 10_000;
/// Time until a leaving replica is gone, if the platform does not report it.
const DEFAULT_LEAVING_TIME: Duration = Duration::from_millis(2_400);
/// Time before a replica is gone at which its running requests are migrated.
const MIGRATION_LEAD_MS: u64 = 900;
/// Time for which a replica stays ejected after a connection to it could not be opened.
const BRIEF_EJECT_MS: u64 = 800;
/// Time within which disconnects from a replica are attributed to the same crash.
const CRASH_WINDOW_MS: u64 = 3_000;
/// Time from its first output for which a request counts as beginning.
const EARLY_OUTPUT_MS: u64 = 500;
/// Share of a pool that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.7;

/// One backend server.
pub(crate) struct Replica {
    /// Instance name given by the platform.
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub version: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    pub region: Arc<str>,
    /// Requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether the platform may reclaim it after a notice.
    pub reclaimable: bool,
    /// Unix time in ms of its start, which tells two runs under one name apart; 0 if unknown.
    started_unix_ms: u64,
    /// When its warm-up ends, in ms since the daemon's start.
    warm_at_ms: u64,
    admission_queue: Arc<AdmissionQueue>,
    hash: u64,
    health: Arc<Health>,
}

#[derive(Debug, Default)]
struct Health {
    in_flight: AtomicU32,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    leaving: AtomicBool,
    /// When the platform says that it is gone, in ms since the daemon's start; 0 if it does not say.
    leaves_at: AtomicU64,
    /// When it is assumed to be gone if the platform does not say; 0 if it is not leaving.
    assumed_end: AtomicU64,
    running: Mutex<Vec<RunningRequest>>,
    /// Estimated prefill time in microseconds of this daemon's requests that have not returned a token.
    prefill_us: AtomicU64,
    loads: Mutex<LoadTracker>,
    failure_score: Mutex<FailureScore>,
    limit: Mutex<NamedLimit>,
    /// When the next request may be sent within the limit, in ms since the daemon's start.
    blocked_until: AtomicU64,
    /// The time for which it wants nothing from this daemon.
    hold: Mutex<Hold>,
    /// This daemon's part of its room while it is brittle.
    room: Mutex<Room>,
    /// Whether its responses have borne the ids of their requests.
    echoes_ids: AtomicBool,
}

impl Health {
    fn leave(&self, now: u64, leaves_in: Option<Duration>) {
        self.leaving.store(true, Ordering::Relaxed);
        let end = now.saturating_add(leaves_in.unwrap_or(DEFAULT_LEAVING_TIME).as_millis() as u64);
        let known = if leaves_in.is_some() { &self.leaves_at } else { &self.assumed_end };
        known.compare_exchange(0, end, Ordering::Relaxed, Ordering::Relaxed).ok();
    }
}

/// A request that a replica is running, or was running when it disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RunningRequest {
    number: u64,
    crash_score: u64,
    /// When it received its first output, in ms since the daemon's start.
    output_at: Option<u64>,
    disconnected_at: Option<u64>,
}

impl RunningRequest {
    /// Higher for a request that is more likely to have crashed the replica.
    fn suspicion(&self) -> u64 {
        2 * self.crash_score + u64::from(self.output_at.is_none())
    }
}

/// How suspicious a request is compared with the others that a crashed replica was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// Another request is more suspicious.
    None,
    /// Other requests are equally suspicious.
    Shared,
    /// It is more suspicious than any other request.
    Sole,
}

impl Blame {
    /// Value in log lines and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Shared => "shared",
            Self::Sole => "sole",
        }
    }
}

impl Replica {
    /// Hash of the instance name, which identifies the replica in messages between daemons.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Hash that tells runs of replicas apart, also those under the same name.
    pub fn run_hash(&self) -> u64 {
        stable_hash(&[self.id.as_bytes(), &self.started_unix_ms.to_le_bytes()])
    }

    /// Key of what the replica says about its run. Without a time of start, only the address tells runs apart.
    pub fn statement_key(&self) -> u64 {
        if self.started_unix_ms > 0 {
            return self.run_hash();
        }
        stable_hash(&[self.id.as_bytes(), self.address.to_string().as_bytes()])
    }

    /// Whether it has a reclaim notice or is being stopped; it then gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.health.leaving.load(Ordering::Relaxed)
    }

    /// Whether its running requests must be migrated now, before it is gone.
    pub fn must_migrate(&self, now: u64) -> bool {
        let stated = self.health.leaves_at.load(Ordering::Relaxed);
        let leaves_at = if stated > 0 { stated } else { self.health.assumed_end.load(Ordering::Relaxed) };
        leaves_at > 0 && now + MIGRATION_LEAD_MS >= leaves_at
    }

    /// Number of this daemon's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.health.in_flight.load(Ordering::Relaxed)
    }

    /// Counts consecutive failures, which eject the replica; a success ends the ejection.
    pub fn update_ejection(&self, succeeded: bool, now: u64) {
        if succeeded {
            self.health.failures.store(0, Ordering::Relaxed);
            self.health.ejected_until.store(0, Ordering::Relaxed);
            return;
        }
        if self.health.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES {
            self.health.ejected_until.store(now + EJECT_MS, Ordering::Relaxed);
        }
    }

    /// Ejects the replica without waiting for further failures, for example after a refused connection.
    pub fn eject(&self, now: u64) {
        self.health.ejected_until.store(now + EJECT_MS, Ordering::Relaxed);
    }

    /// Ejects the replica for a short time after a refused connection, as it may be restarting.
    pub fn eject_briefly(&self, now: u64) {
        self.health.ejected_until.store(now + BRIEF_EJECT_MS, Ordering::Relaxed);
    }

    /// Compares a request with the others that the replica was running when it crashed.
    pub fn blame(&self, guard: &ReplicaGuard, now: u64) -> Blame {
        let running = self.health.running.lock();
        let recent = |request: &&RunningRequest| {
            request.disconnected_at.is_none_or(|at| now.saturating_sub(at) < CRASH_WINDOW_MS)
        };
        let Some(mine) = running.iter().find(|request| request.number == guard.number) else { return Blame::None };
        let others = running.iter().filter(|request| request.number != guard.number).filter(recent);
        match others.map(RunningRequest::suspicion).max() {
            Some(highest) if highest > mine.suspicion() => Blame::None,
            Some(highest) if highest == mine.suspicion() => Blame::Shared,
            _ => Blame::Sole,
        }
    }

    /// Number of this daemon's requests that the replica ran when it crashed, and of those without output.
    pub fn recent_requests(&self, now: u64) -> (usize, usize) {
        let running = self.health.running.lock();
        let recent = running
            .iter()
            .filter(|request| request.disconnected_at.is_none_or(|at| now.saturating_sub(at) < CRASH_WINDOW_MS));
        recent.fold((0, 0), |(all, silent), request| (all + 1, silent + usize::from(request.output_at.is_none())))
    }

    /// Records the outcome of an attempt in the failure score, which placement takes into account.
    pub fn update_failure_score(&self, outcome: AttemptOutcome, now: u64) {
        self.health.failure_score.lock().record(outcome, now);
    }

    /// Load that this daemon puts on the server.
    pub fn own_load(&self) -> PeerLoad {
        let prefill_ms = self.health.prefill_us.load(Ordering::Relaxed) as f64 / 1000.0;
        PeerLoad { running: self.in_flight(), prefill_ms }
    }

    /// Stores the load that all other daemons put on the server.
    pub fn set_others_load(&self, load: PeerLoad, now: u64) {
        self.health.loads.lock().set_others(load, now);
        self.health.room.lock().set_known(self.in_flight());
    }

    /// Records that the server is brittle; returns whether that is new.
    pub fn state_brittle(&self, max_refusals: u32, now: u64) -> bool {
        self.health.room.lock().state(max_refusals, now)
    }

    /// Records that the server has turned a request away for want of room.
    pub fn record_refusal(&self, daemons: usize, now: u64) {
        let mut room = self.health.room.lock();
        if room.is_brittle(now) {
            room.record_refusal(daemons, now);
        }
    }

    /// Stores the load that the server reported.
    pub fn set_reported_load(&self, load: Load, now: u64) {
        self.health.loads.lock().apply_server_report(load, now);
    }

    /// Whether its responses bear the ids of their requests.
    pub fn echoes_ids(&self) -> bool {
        self.health.echoes_ids.load(Ordering::Relaxed)
    }

    /// Records whether its last response bore an id.
    pub fn set_echoes_ids(&self, echoes: bool) {
        self.health.echoes_ids.store(echoes, Ordering::Relaxed);
    }

    /// The rate limit that the server has named.
    pub fn limit(&self) -> NamedLimit {
        *self.health.limit.lock()
    }

    /// Applies what an answer says about the server's rate limit; see [`NamedLimit::apply_answer`].
    pub fn apply_stated_limit(&self, stated: StatedLimit, sent_ms: u64, now_ms: u64) -> bool {
        let changes = self.health.limit.lock().apply_answer(stated, sent_ms, now_ms);
        if changes {
            self.block_until(0);
        }
        changes
    }

    /// Applies a limit that another daemon has learned; see [`NamedLimit::learn`].
    pub fn learn_limit(&self, per_second: Option<f64>, named_ms: u64) -> bool {
        let changes = self.health.limit.lock().learn(per_second, named_ms);
        if changes {
            self.block_until(0);
        }
        changes
    }

    /// Sends no request before this time, in ms since the daemon's start, as the limit is used up.
    pub fn block_until(&self, until: u64) {
        self.health.blocked_until.store(until, Ordering::Relaxed);
    }

    /// Applies the time for which the server wants nothing; see [`Hold::state`].
    pub fn hold(&self, time: Duration, now: u64) -> Option<u64> {
        self.health.hold.lock().state(time, now)
    }

    /// Whether the server has said that it wants nothing now.
    pub fn is_held(&self, now: u64) -> bool {
        self.health.hold.lock().is_active(now)
    }

    /// Records that a request that was sent at `sent_at` has not been turned away.
    pub fn record_taken(&self, sent_at: u64) {
        self.health.hold.lock().record_taken(sent_at);
    }

    /// Time in ms until the server takes another request of this daemon; 0 if it does now.
    fn blocked_ms(&self, query: &PlacementQuery<'_>) -> u64 {
        let now = query.now;
        let limited = self.health.blocked_until.load(Ordering::Relaxed).saturating_sub(now);
        let limited = limited.max(self.health.hold.lock().wait(now));
        let room = self.health.room.lock();
        if !room.is_brittle(now) {
            return limited;
        }
        let taken = self.health.loads.lock().total(&self.own_load(), now).running;
        let places = Places { slots: self.slots, taken, own: self.in_flight() };
        limited.max(room.wait(places, query.daemon, self.run_hash(), now, query.agreed_ms))
    }

    fn candidate(&self, query: &PlacementQuery<'_>) -> Candidate {
        let PlacementQuery { zone, region, now, .. } = *query;
        let load = self.health.loads.lock().total(&self.own_load(), now);
        let locality = if *self.zone == *zone {
            Locality::SameZone
        } else if *self.region == *region {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        };
        Candidate {
            hash: self.hash,
            locality,
            running: load.running,
            prefill_ms: load.prefill_ms,
            slots: self.slots,
            cold: self.warm_at_ms > now,
            failure_score: self.health.failure_score.lock().value(now),
        }
    }

    fn is_ejected(&self, now: u64) -> bool {
        self.health.ejected_until.load(Ordering::Relaxed) > now
    }
}

/// A replica chosen for an attempt; dropping the guard ends the attempt.
pub(crate) struct ReplicaGuard {
    replica: Arc<Replica>,
    number: u64,
    /// Estimated prefill time in microseconds; 0 after the first token.
    prefill_us: AtomicU64,
}

impl ReplicaGuard {
    fn new(replica: Arc<Replica>, crash_score: u64, prefill_ms: f64) -> Self {
        static NUMBERS: AtomicU64 = AtomicU64::new(0);

        replica.health.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let request = RunningRequest { number, crash_score, output_at: None, disconnected_at: None };
        replica.health.running.lock().push(request);
        let prefill_us = (prefill_ms * 1000.0) as u64;
        replica.health.prefill_us.fetch_add(prefill_us, Ordering::Relaxed);
        Self { replica, number, prefill_us: AtomicU64::new(prefill_us) }
    }

    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Records that the replica has returned tokens, so that its prefill is done.
    pub fn record_first_token(&self, now: u64) {
        self.finish_prefill();
        let mut running = self.replica.health.running.lock();
        if let Some(mine) = running.iter_mut().find(|request| request.number == self.number) {
            mine.output_at = Some(now);
        }
    }

    fn finish_prefill(&self) {
        let prefill_us = self.prefill_us.swap(0, Ordering::Relaxed);
        self.replica.health.prefill_us.fetch_sub(prefill_us, Ordering::Relaxed);
        self.replica.admission_queue.wake_next();
    }

    /// Whether the replica was beginning to answer the request when it crashed.
    pub fn was_beginning(&self, now: u64) -> bool {
        let running = self.replica.health.running.lock();
        let mine = running.iter().find(|request| request.number == self.number);
        mine.is_some_and(|mine| {
            let end = mine.disconnected_at.unwrap_or(now);
            mine.output_at.is_none_or(|at| end.saturating_sub(at) < EARLY_OUTPUT_MS)
        })
    }

    /// Records that the replica closed the connection; the request still counts as running for [`CRASH_WINDOW_MS`].
    pub fn record_disconnect(&self, now: u64) {
        let mut running = self.replica.health.running.lock();
        running.retain(|request| request.disconnected_at.is_none_or(|at| now.saturating_sub(at) < CRASH_WINDOW_MS));
        if let Some(mine) = running.iter_mut().find(|request| request.number == self.number) {
            mine.disconnected_at = Some(now);
        }
    }
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.replica.health.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut running = self.replica.health.running.lock();
        running.retain(|request| request.number != self.number || request.disconnected_at.is_some());
    }
}

type Pools = BTreeMap<Arc<str>, Vec<Arc<Replica>>>;

/// Requirements of a request for a replica.
pub(crate) struct ReplicaQuery<'a> {
    pub pool: &'a str,
    /// Requests with the same key go to the same replica while its load allows it.
    pub key: u64,
    /// The only version that may serve the request, if it is bound to one.
    pub version: Option<&'a str>,
    /// The daemon's own region; its replicas are preferred.
    pub region: &'a str,
    /// Configured number of requests in flight per replica.
    pub concurrency: u32,
    /// Score that the request has from earlier crashes of replicas.
    pub crash_score: u64,
    /// Instances already tried.
    pub tried: &'a [Arc<str>],
    /// Time in ms since the daemon's start.
    pub now: u64,
}

/// Requirements of a request for placement on a server, and the location of the daemon that sends it.
pub(crate) struct PlacementQuery<'a> {
    pub pool: &'a str,
    /// Prefill time of the request's prompt.
    pub prompt_cost: &'a PromptCost,
    /// The versions that may serve the request.
    pub versions: &'a VersionRule,
    /// Instances already tried.
    pub tried: &'a [Arc<str>],
    /// The daemon's availability zone.
    pub zone: &'a str,
    /// The daemon's region.
    pub region: &'a str,
    /// Score that the request has from earlier crashes of replicas.
    pub crash_score: u64,
    /// Differs between requests, to spread them over equally good servers.
    pub salt: u64,
    /// This daemon among those that may send to the servers.
    pub daemon: DaemonRank,
    /// Time agreed among the daemons, as Unix time in ms.
    pub agreed_ms: u64,
    /// Time in ms since the daemon's start.
    pub now: u64,
}

/// A server chosen for a request that has not been sent yet.
pub(crate) struct Offer {
    replica: Arc<Replica>,
    crash_score: u64,
    /// The estimates that the choice is based on.
    pub placement: Placement,
    /// When it was made, in ms since the daemon's start.
    now: u64,
}

impl Offer {
    /// Accepts the offer: counts the request as in flight on the server.
    pub fn accept(self) -> ReplicaGuard {
        self.replica.health.hold.lock().record_sent(self.now);
        ReplicaGuard::new(self.replica, self.crash_score, self.placement.prefill_ms)
    }
}

/// Why no replica could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplica {
    /// No replica is eligible.
    None,
    /// All eligible replicas have [`MAX_IN_FLIGHT_FACTOR`] times their concurrency in flight.
    Overloaded,
    /// All eligible replicas have got what they take; the first takes another request after this time.
    RateLimited(Duration),
    /// All eligible replicas have got what they take or want nothing; the first wants requests after this time.
    Held(Duration),
}

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
}

/// A run that was not known to be leaving until now.
pub(crate) struct LeavingNews {
    /// The replica; `None` if its entry is not known.
    pub replica: Option<Arc<Replica>>,
    /// Replicas of its pool that still take requests.
    pub ready_in_pool: usize,
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
        if state == InstanceState::Leaving {
            runs.state(run, LeavingSource::Entry, now, now);
            replica.health.leave(now, leaves_in);
        } else if let Some((source, at)) = runs.first(run) {
            let (source, age_ms) = (source.label(), now.saturating_sub(at));
            info!("event=ready-ignored instance={} leaving_by={source} age_ms={age_ms}", replica.id);
            replica.health.leave(now, None);
        }
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

    /// Whether any version accepted by `wanted` has a server that takes requests.
    pub fn serves(&self, pool: &str, wanted: impl Fn(&str) -> bool) -> bool {
        let pools = self.pools.load();
        pools.get(pool).is_some_and(|pool| pool.iter().any(|r| wanted(&r.version) && !r.is_leaving()))
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
        let pools = self.pools.load();
        let pool = pools.get(query.pool).ok_or(NoReplica::None)?;
        let is_eligible =
            |r: &&Arc<Replica>| !r.is_leaving() && query.versions.allows(&r.version) && !query.tried.contains(&r.id);
        let mut eligible: Vec<&Arc<Replica>> = pool.iter().filter(is_eligible).collect();
        let first_free = eligible.iter().map(|r| (r.blocked_ms(query), r.is_held(query.now))).min();
        if let Some((wait, is_held)) = first_free.filter(|(wait, _)| *wait > 0) {
            let wait = Duration::from_millis(wait);
            return Err(if is_held { NoReplica::Held(wait) } else { NoReplica::RateLimited(wait) });
        }
        eligible.retain(|r| r.blocked_ms(query) == 0);
        let healthy: Vec<_> = eligible.iter().copied().filter(|r| !r.is_ejected(query.now)).collect();
        // An ejected server may have recovered, so it is better than none.
        let usable = if healthy.is_empty() { &eligible } else { &healthy };
        let candidates: Vec<_> = usable.iter().map(|r| r.candidate(query)).collect();
        let placement = place(&candidates, query.prompt_cost, query.salt).ok_or(NoReplica::None)?;
        let replica = usable[placement.index].clone();
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
        // Ignores ejections if there are too many, so that a burst of failures cannot eject the whole pool.
        let min_healthy = eligible.len() as f64 * (1.0 - MAX_EJECTED_SHARE);
        let usable = if (healthy.len() as f64) < min_healthy { &eligible } else { &healthy };
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
#[path = "replicas_test.rs"]
mod replicas_test;
