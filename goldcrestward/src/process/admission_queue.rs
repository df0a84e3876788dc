//! Queues of requests that wait for a free place at a pool's servers, woken in the order of their rank.

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

/// Order in which waiting requests are woken: by priority, then by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// 0 is woken first.
    pub priority: i32,
    /// Time at which the request becomes late, in ms since the daemon's start.
    pub due_ms: u64,
}

struct Waiter {
    rank: Rank,
    ticket: u64,
    wake: oneshot::Sender<()>,
}

/// The waiting requests of one pool.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    waiters: Mutex<Vec<Waiter>>,
    next_ticket: AtomicU64,
}

impl AdmissionQueue {
    /// Whether no waiting request takes precedence over one of this rank.
    pub fn is_next(&self, rank: Rank) -> bool {
        self.waiters.lock().iter().all(|waiter| rank <= waiter.rank)
    }

    /// Waits to be woken; false if that does not happen within `limit`.
    pub async fn wait(&self, rank: Rank, limit: Duration) -> bool {
        let (wake, woken) = oneshot::channel();
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        self.waiters.lock().push(Waiter { rank, ticket, wake });
        let _guard = WaiterGuard { queue: self, ticket };
        matches!(timeout(limit, woken).await, Ok(Ok(())))
    }

    /// Wakes the first request that still waits.
    pub fn wake_next(&self) {
        let mut waiters = self.waiters.lock();
        while let Some(first) = (0..waiters.len()).min_by_key(|at| (waiters[*at].rank, waiters[*at].ticket)) {
            if waiters.swap_remove(first).wake.send(()).is_ok() {
                return;
            }
        }
    }
}

/// Removes a request from its queue on drop, once it was woken, has timed out or was cancelled.
struct WaiterGuard<'a> {
    queue: &'a AdmissionQueue,
    ticket: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.queue.waiters.lock().retain(|waiter| waiter.ticket != self.ticket);
    }
}

/// The admission queues of all pools.
#[derive(Default)]
pub(crate) struct AdmissionQueues {
    by_pool: Mutex<HashMap<Arc<str>, Arc<AdmissionQueue>>>,
}

impl AdmissionQueues {
    /// The queue of a pool; created if missing.
    pub fn for_pool(&self, pool: &Arc<str>) -> Arc<AdmissionQueue> {
        self.by_pool.lock().entry(pool.clone()).or_default().clone()
    }

    /// Wakes one request of each pool, after a change of the servers.
    pub fn wake_next_in_each(&self) {
        let queues: Vec<_> = self.by_pool.lock().values().cloned().collect();
        queues.iter().for_each(|queue| queue.wake_next());
    }
}

#[cfg(test)]
#[path = "admission_queue_test.rs"]
mod admission_queue_test;
