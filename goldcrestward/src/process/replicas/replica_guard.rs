//! Guard of a request at a server.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use super::{Replica, running_request::RunningRequest};

/// A replica chosen for an attempt; dropping the guard ends the attempt.
pub(crate) struct ReplicaGuard {
    replica: Arc<Replica>,
    pub(super) number: u64,
    /// Estimated prefill time in microseconds; 0 after the first token.
    prefill_us: AtomicU64,
}

impl ReplicaGuard {
    pub(super) fn new(replica: Arc<Replica>, crash_score: u64, prefill_ms: f64) -> Self {
        static NUMBERS: AtomicU64 = AtomicU64::new(0);

        replica.health.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let request = RunningRequest { number, crash_score, output_at: None, disconnected_at: None };
        replica.health.running.lock().push(request);
        let prefill_us = (prefill_ms * 1000.0) as u64;
        replica.health.prefill_us.fetch_add(prefill_us, Ordering::Relaxed);
        Self { replica, number, prefill_us: AtomicU64::new(prefill_us) }
    }

    /// Keeps the place of a request that the replica has got, beyond the guard of its attempt.
    pub fn for_sent(replica: Arc<Replica>) -> Self {
        Self::new(replica, 0, 0.0)
    }

    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Records that the replica has returned tokens, so that its prefill is done.
    pub fn record_first_token(&self, now: u64) {
        self.finish_prefill();
        self.replica.admission_queue.wake_next();
        let mut running = self.replica.health.running.lock();
        if let Some(mine) = running.iter_mut().find(|request| request.number == self.number) {
            mine.output_at = Some(now);
        }
    }

    fn finish_prefill(&self) {
        let prefill_us = self.prefill_us.swap(0, Ordering::Relaxed);
        self.replica.health.prefill_us.fetch_sub(prefill_us, Ordering::Relaxed);
    }

    /// Whether the replica was beginning to answer the request when it crashed.
    pub fn was_beginning(&self, now: u64) -> bool {
        let running = self.replica.health.running.lock();
        let mine = running.iter().find(|request| request.number == self.number);
        mine.is_some_and(|mine| mine.was_beginning(now))
    }

    /// Records that the replica closed the connection; see [`RunningRequest::is_recent`].
    pub fn record_disconnect(&self, now: u64) {
        let mut running = self.replica.health.running.lock();
        running.retain(|request| request.is_recent(now));
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
        drop(running);
        // The request that is woken may look for the place at once, on another thread.
        self.replica.admission_queue.wake_next();
    }
}
