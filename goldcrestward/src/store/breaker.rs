//! Circuit breaker: pauses calls to a failing service with exponential backoff.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Instant,
};

use rand::Rng;

/// Consecutive failures at which calls pause.
const FAILURE_THRESHOLD: u32 = 3;
/// Upper limit of the first pause; it doubles with each further failure.
const INITIAL_PAUSE_MS: u64 = 500;

/// Counts consecutive failures. It is open while calls pause and closes by itself after the pause.
pub(crate) struct CircuitBreaker {
    failures: AtomicU32,
    closes_at_ms: AtomicU64,
    start: Instant,
    max_pause_ms: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker that never pauses for more than `max_pause_ms`.
    pub fn new(max_pause_ms: u64) -> Self {
        Self { failures: AtomicU32::new(0), closes_at_ms: AtomicU64::new(0), start: Instant::now(), max_pause_ms }
    }

    /// Whether calls pause now.
    pub fn is_open(&self) -> bool {
        let now_ms = self.start.elapsed().as_millis() as u64;
        self.closes_at_ms.load(Ordering::Relaxed) > now_ms
    }

    /// Records the outcome of a call; true if the service has just become unavailable or available again.
    pub fn record(&self, answered: bool) -> bool {
        if answered {
            return self.failures.swap(0, Ordering::Relaxed) >= FAILURE_THRESHOLD;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < FAILURE_THRESHOLD {
            return false;
        }
        let doublings = (failures - FAILURE_THRESHOLD).min(6);
        let limit_ms = (INITIAL_PAUSE_MS << doublings).min(self.max_pause_ms);
        // Jitter keeps the daemons from calling all at once when the service recovers.
        let pause_ms = rand::rng().random_range(limit_ms / 2..=limit_ms);
        let now_ms = self.start.elapsed().as_millis() as u64;
        self.closes_at_ms.store(now_ms + pause_ms, Ordering::Relaxed);
        failures == FAILURE_THRESHOLD
    }

    /// Whether the last recorded call failed.
    pub fn is_failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) > 0
    }
}
