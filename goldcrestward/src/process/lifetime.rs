//! The end of a daemon's life, once it is being stopped.

use std::{
    future::pending,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// Time from the beginning of the stop for which estimates decide what is begun. Later it must be certain to end in time.
const ESTIMATE_TIME: Duration = Duration::from_secs(3);

/// How long something takes that is to be begun, from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkTime {
    /// Time that it is expected to take.
    pub expected: Duration,
    /// Time after which it has ended or can be given up with a complete answer; `None` if nothing bounds it.
    pub at_most: Option<Duration>,
}

impl WorkTime {
    /// Something that can be given up at any time, with a complete answer.
    pub fn interruptible(expected: Duration) -> Self {
        Self { expected, at_most: Some(expected) }
    }

    /// Something of which nothing is known.
    pub fn unknown() -> Self {
        Self { expected: Duration::ZERO, at_most: None }
    }

    /// What is left of it after some time.
    pub fn after(self, elapsed: Duration) -> Self {
        let left = |time: Duration| time.saturating_sub(elapsed);
        Self { expected: left(self.expected), at_most: self.at_most.map(left) }
    }
}

/// When the daemon ends. Whatever sends a request, goes on with one or waits asks it, as none may outlast the daemon.
#[derive(Clone, Default)]
pub(crate) struct Lifetime(Arc<Inner>);

#[derive(Default)]
struct Inner {
    stop: OnceLock<StopClock>,
    stopping: CancellationToken,
}

/// A stop that has begun, and what it still allows to begin.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopClock {
    begun: Instant,
    /// `None` if the stop has no time limit.
    end: Option<Instant>,
}

impl StopClock {
    pub fn new(begun: Instant, limit: Option<Duration>) -> Self {
        Self { begun, end: limit.map(|limit| begun + limit) }
    }

    /// Time until the end; `None` if none is set.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.end.map(|end| end.saturating_duration_since(now))
    }

    /// Whether work that begins now ends in time: as far as is known, or for certain once the stop has gone on for a time.
    pub fn allows(&self, work: WorkTime, now: Instant) -> bool {
        let Some(left) = self.time_left(now) else { return true };
        left > work.expected && (!self.needs_certainty(now) || self.is_certain(work, now))
    }

    /// Whether estimates no longer decide what is begun.
    fn needs_certainty(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.begun) >= ESTIMATE_TIME
    }

    /// Whether work that begins now has ended before the daemon whatever happens.
    fn is_certain(&self, work: WorkTime, now: Instant) -> bool {
        self.time_left(now).is_none_or(|left| work.at_most.is_some_and(|at_most| at_most <= left))
    }

    /// When work is no longer allowed, if it takes as long as from now on; `None` if it always is.
    fn last_start(&self, work: WorkTime, now: Instant) -> Option<Instant> {
        let by_estimate = self.end?.checked_sub(work.expected).unwrap_or(now);
        Some(if self.is_certain(work, now) { by_estimate } else { by_estimate.min(self.begun + ESTIMATE_TIME) })
    }
}

impl Lifetime {
    /// Begins the stop, which ends after `limit` at the latest. Only the first call has an effect.
    pub fn begin_stop(&self, limit: Option<Duration>) {
        self.begin_stop_at(Instant::now(), limit);
    }

    fn begin_stop_at(&self, begun: Instant, limit: Option<Duration>) {
        self.0.stop.get_or_init(|| StopClock::new(begun, limit));
        self.0.stopping.cancel();
    }

    /// Time since the beginning of the stop; `None` before it.
    pub fn stopping_since(&self) -> Option<Duration> {
        self.0.stop.get().map(|stop| stop.begun.elapsed())
    }

    /// Time until the end; `None` while none is set.
    pub fn time_left(&self) -> Option<Duration> {
        self.0.stop.get()?.time_left(Instant::now())
    }

    /// Whether work that begins now ends in time: as far as is known, or for certain once the stop has gone on for a time.
    pub fn allows(&self, work: WorkTime) -> bool {
        self.0.stop.get().is_none_or(|stop| stop.allows(work, Instant::now()))
    }

    /// Whether estimates no longer decide what is begun.
    pub fn needs_certainty(&self) -> bool {
        self.0.stop.get().is_some_and(|stop| stop.needs_certainty(Instant::now()))
    }

    /// Whether the end has come.
    pub fn has_ended(&self) -> bool {
        self.time_left().is_some_and(|left| left.is_zero())
    }

    /// Waits for the beginning of the stop.
    pub async fn stopping(&self) {
        self.0.stopping.cancelled().await;
    }

    /// Waits until work that would begin then is no longer allowed, if it takes as long as from now on.
    pub async fn too_late_for(&self, work: WorkTime) {
        self.stopping().await;
        let last = self.0.stop.get().and_then(|stop| stop.last_start(work, Instant::now()));
        match last {
            Some(last) => sleep_until(last.into()).await,
            None => pending().await,
        }
    }

    /// Waits for the end.
    pub async fn ended(&self) {
        self.too_late_for(WorkTime::interruptible(Duration::ZERO)).await;
    }
}

#[cfg(test)]
#[path = "lifetime_test.rs"]
mod lifetime_test;
