//! Requests that wait for a place at a pool's servers, called up in the order of their rank.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{sync::oneshot, time::timeout};

/// The order in which requests are called up: by priority, then by the time at which they are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// 0 goes first.
    pub priority: i32,
    /// This daemon's time in ms at which the request is late.
    pub due: u64,
}

struct Waiter {
    rank: Rank,
    ticket: u64,
    call: oneshot::Sender<()>,
}

/// The requests that wait for one pool.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    waiting: Mutex<Vec<Waiter>>,
    tickets: AtomicU64,
}

impl AdmissionQueue {
    /// Whether a request of this rank would be called up before all that wait.
    pub fn is_next(&self, rank: Rank) -> bool {
        self.waiting.lock().iter().all(|waiter| rank <= waiter.rank)
    }

    /// Waits to be called up; false if that has not happened within `limit`.
    pub async fn wait(&self, rank: Rank, limit: Duration) -> bool {
        let (call, called) = oneshot::channel();
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        self.waiting.lock().push(Waiter { rank, ticket, call });
        let _leave = Leave { turns: self, ticket };
        matches!(timeout(limit, called).await, Ok(Ok(())))
    }

    /// Calls up the first request.
    pub fn wake_next(&self) {
        let mut waiting = self.waiting.lock();
        while let Some(first) = (0..waiting.len()).min_by_key(|at| (waiting[*at].rank, waiting[*at].ticket)) {
            if waiting.swap_remove(first).call.send(()).is_ok() {
                return;
            }
        }
    }
}

/// Takes a request out of the line when it no longer waits.
struct Leave<'a> {
    turns: &'a AdmissionQueue,
    ticket: u64,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.turns.waiting.lock().retain(|waiter| waiter.ticket != self.ticket);
    }
}

/// The lines of all pools.
#[derive(Default)]
pub(crate) struct AdmissionQueues {
    pools: Mutex<HashMap<Arc<str>, Arc<AdmissionQueue>>>,
}

impl AdmissionQueues {
    /// The line of a pool.
    pub fn of(&self, pool: &Arc<str>) -> Arc<AdmissionQueue> {
        self.pools.lock().entry(pool.clone()).or_default().clone()
    }

    /// Calls up one request of each pool, after news of the servers.
    pub fn wake_next_in_each(&self) {
        let pools: Vec<_> = self.pools.lock().values().cloned().collect();
        pools.iter().for_each(|turns| turns.wake_next());
    }
}

#[cfg(test)]
#[path = "admission_queue_test.rs"]
mod admission_queue_test;
