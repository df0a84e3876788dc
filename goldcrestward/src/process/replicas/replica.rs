//! A backend server as this daemon knows it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::{Blame, PlacementQuery, ReplicaGuard, replica_health::ReplicaHealth, running_request::RunningRequest};
use crate::{
    port::{Load, StatedLimit},
    process::{
        admission_queue::AdmissionQueue,
        brittle::Places,
        health::AttemptOutcome,
        loads::PeerLoad,
        named_limit::NamedLimit,
        placement::{Candidate, Locality},
    },
    util::stable_hash,
};

/// Consecutive failures after which a replica is ejected.
const EJECT_FAILURES: u32 = 3;
/// Time for which a failing replica stays ejected.
const EJECT_MS: u64 = 10_000;
/// Time before a replica is gone at which its running requests are migrated.
const MIGRATION_LEAD_MS: u64 = 900;
/// Time for which a replica stays ejected after a connection to it could not be opened.
const BRIEF_EJECT_MS: u64 = 800;

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
    pub(super) started_unix_ms: u64,
    /// When its warm-up ends, in ms since the daemon's start.
    pub(super) warm_at_ms: u64,
    pub(super) admission_queue: Arc<AdmissionQueue>,
    pub(super) hash: u64,
    pub(super) health: Arc<ReplicaHealth>,
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
        if self.started_unix_ms > 0 { self.run_hash() } else { self.place_key() }
    }

    /// Key of all runs under its id and address.
    pub fn place_key(&self) -> u64 {
        stable_hash(&[self.id.as_bytes(), self.address.to_string().as_bytes()])
    }

    /// Whether it has a reclaim notice or is being stopped; it then gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.health.leaving.load(Ordering::Relaxed)
    }

    /// Whether its entry is false, as another instance has its address, so that nothing is to be sent there in its name.
    pub fn is_false(&self, now: u64) -> bool {
        self.health.false_entry.lock().is_closed(now)
    }

    /// Records that another instance has its address; returns whether that is news.
    pub fn record_misdirected(&self, now: u64) -> bool {
        self.health.false_entry.lock().record_misdirected(now)
    }

    /// Records that it has answered itself; returns whether its entry was false until now.
    pub fn record_own_answer(&self) -> bool {
        self.health.false_entry.lock().record_own()
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
        let recent = |request: &&RunningRequest| request.is_recent(now);
        let Some(mine) = running.iter().find(|request| request.number == guard.number) else { return Blame::None };
        let others = running.iter().filter(|request| request.number != guard.number).filter(recent);
        match others.map(RunningRequest::suspicion).max() {
            Some(highest) if highest > mine.suspicion() => Blame::None,
            Some(highest) if highest == mine.suspicion() => Blame::Shared,
            _ => Blame::Sole,
        }
    }

    /// Whether the replica was beginning to answer any of this daemon's requests when it crashed.
    pub fn was_beginning_any(&self, now: u64) -> bool {
        let running = self.health.running.lock();
        running.iter().any(|request| request.is_recent(now) && request.was_beginning(now))
    }

    /// Number of this daemon's requests that the replica ran when it crashed, and of those without output.
    pub fn recent_requests(&self, now: u64) -> (usize, usize) {
        let running = self.health.running.lock();
        let recent = running.iter().filter(|request| request.is_recent(now));
        recent.fold((0, 0), |(all, silent), request| (all + 1, silent + usize::from(request.output_at.is_none())))
    }

    /// Records the outcome of an attempt in the failure score, which placement takes into account.
    pub fn update_failure_score(&self, outcome: AttemptOutcome, now: u64) {
        self.health.failure_score.lock().record(outcome, now);
    }

    /// Records that a response exceeded a bound. Returns how many others were not logged, if this one is to be logged.
    pub fn record_long_response(&self, now: u64) -> Option<u64> {
        self.health.long_responses.lock().record(now)
    }

    /// Whether it has answered an attempt of this daemon since `at`, in ms since the daemon's start.
    pub fn has_answered_since(&self, at: u64) -> bool {
        self.health.failure_score.lock().has_answered_since(at)
    }

    /// Load that this daemon puts on the server.
    pub fn own_load(&self) -> PeerLoad {
        let prefill_ms = self.health.prefill_us.load(Ordering::Relaxed) as f64 / 1000.0;
        PeerLoad { running: self.in_flight(), prefill_ms }
    }

    /// Stores the load that all other daemons put on the server.
    pub fn set_others_load(&self, load: PeerLoad, now: u64) {
        self.health.loads.lock().set_others(load, now);
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

    /// Records whether this daemon reaches it by itself.
    pub fn set_unreached(&self, unreached: bool) {
        self.health.unreached.store(unreached, Ordering::Relaxed);
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
    pub(super) fn blocked_ms(&self, query: &PlacementQuery<'_>) -> u64 {
        let now = query.now;
        let limited = self.health.blocked_until.load(Ordering::Relaxed).saturating_sub(now);
        let limited = limited.max(self.health.hold.lock().wait(now));
        let mut room = self.health.room.lock();
        if !room.is_brittle(now) {
            return limited;
        }
        let taken = self.health.loads.lock().total(&self.own_load(), now).running;
        let places = Places { slots: self.slots, taken, own: self.in_flight() };
        limited.max(room.wait(places, query.daemon, self.run_hash(), now, query.agreed_ms))
    }

    pub(super) fn candidate(&self, query: &PlacementQuery<'_>) -> Candidate {
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
            unreached: self.health.unreached.load(Ordering::Relaxed),
        }
    }

    pub(super) fn is_ejected(&self, now: u64) -> bool {
        self.health.ejected_until.load(Ordering::Relaxed) > now
    }
}
