//! What this daemon knows of a server's condition.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use parking_lot::Mutex;

use super::{false_entry::FalseEntry, running_request::RunningRequest};
use crate::process::{
    brittle::Room, health::FailureScore, hold::Hold, loads::LoadTracker, named_limit::NamedLimit, state::LineLimit,
};

/// Time until a leaving replica is gone, if the platform does not report it.
const DEFAULT_LEAVING_TIME: Duration = Duration::from_millis(2_400);

/// Kept while a server's entry changes, as long as its address and its time of start stay the same.
#[derive(Debug, Default)]
pub(super) struct ReplicaHealth {
    pub(super) in_flight: AtomicU32,
    pub(super) failures: AtomicU32,
    pub(super) ejected_until: AtomicU64,
    pub(super) leaving: AtomicBool,
    /// When the platform says that it is gone, in ms since the daemon's start; 0 if it does not say.
    pub(super) leaves_at: AtomicU64,
    /// When it is assumed to be gone if the platform does not say; 0 if it is not leaving.
    pub(super) assumed_end: AtomicU64,
    pub(super) running: Mutex<Vec<RunningRequest>>,
    /// Estimated prefill time in microseconds of this daemon's requests that have not returned a token.
    pub(super) prefill_us: AtomicU64,
    pub(super) loads: Mutex<LoadTracker>,
    pub(super) failure_score: Mutex<FailureScore>,
    pub(super) limit: Mutex<NamedLimit>,
    /// When the next request may be sent within the limit, in ms since the daemon's start.
    pub(super) blocked_until: AtomicU64,
    /// The time for which it wants nothing from this daemon.
    pub(super) hold: Mutex<Hold>,
    /// Whether another instance has its address.
    pub(super) false_entry: Mutex<FalseEntry>,
    /// This daemon's part of its room while it is brittle.
    pub(super) room: Mutex<Room>,
    /// Limits the log lines on its responses that exceed a bound.
    pub(super) long_responses: Mutex<LineLimit>,
    /// Whether this daemon does not reach it by itself.
    pub(super) unreached: AtomicBool,
    /// Whether its responses have borne the ids of their requests.
    pub(super) echoes_ids: AtomicBool,
}

impl ReplicaHealth {
    /// Takes back that the server is leaving.
    pub fn stay(&self) {
        self.leaving.store(false, Ordering::Relaxed);
        self.leaves_at.store(0, Ordering::Relaxed);
        self.assumed_end.store(0, Ordering::Relaxed);
    }

    /// Marks the server as leaving; the first end that becomes known stays.
    pub fn leave(&self, now: u64, leaves_in: Option<Duration>) {
        self.leaving.store(true, Ordering::Relaxed);
        let end = now.saturating_add(leaves_in.unwrap_or(DEFAULT_LEAVING_TIME).as_millis() as u64);
        let known = if leaves_in.is_some() { &self.leaves_at } else { &self.assumed_end };
        known.compare_exchange(0, end, Ordering::Relaxed, Ordering::Relaxed).ok();
    }
}
