//! The end of a daemon's life, once it is being stopped.

use std::{
    future::pending,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// When the daemon ends. Whatever sends a request, goes on with one or waits asks it, as none may outlast the daemon.
#[derive(Clone, Default)]
pub(crate) struct Lifetime(Arc<Inner>);

#[derive(Default)]
struct Inner {
    stop: OnceLock<Stop>,
    stopping: CancellationToken,
}

#[derive(Clone, Copy)]
struct Stop {
    begun: Instant,
    /// `None` if the stop has no time limit.
    end: Option<Instant>,
}

impl Lifetime {
    /// Begins the stop, which ends after `limit` at the latest. Only the first call has an effect.
    pub fn begin_stop(&self, limit: Option<Duration>) {
        let begun = Instant::now();
        self.0.stop.get_or_init(|| Stop { begun, end: limit.map(|limit| begun + limit) });
        self.0.stopping.cancel();
    }

    /// Time since the beginning of the stop; `None` before it.
    pub fn stopping_since(&self) -> Option<Duration> {
        self.0.stop.get().map(|stop| stop.begun.elapsed())
    }

    /// Time until the end; `None` while none is set.
    pub fn time_left(&self) -> Option<Duration> {
        self.end().map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Whether a request that takes so long ends in time.
    pub fn allows(&self, needed: Duration) -> bool {
        self.time_left().is_none_or(|left| left > needed)
    }

    /// Whether the end has come.
    pub fn has_ended(&self) -> bool {
        self.time_left().is_some_and(|left| left.is_zero())
    }

    /// Waits for the beginning of the stop.
    pub async fn stopping(&self) {
        self.0.stopping.cancelled().await;
    }

    /// Waits until less than `needed` is left.
    pub async fn shorter_than(&self, needed: Duration) {
        self.stopping().await;
        match self.end() {
            Some(end) => sleep_until(end.checked_sub(needed).unwrap_or_else(Instant::now).into()).await,
            None => pending().await,
        }
    }

    /// Waits for the end.
    pub async fn ended(&self) {
        self.shorter_than(Duration::ZERO).await;
    }

    fn end(&self) -> Option<Instant> {
        self.0.stop.get().and_then(|stop| stop.end)
    }
}

#[cfg(test)]
#[path = "lifetime_test.rs"]
mod lifetime_test;
