//! The limits of callers, of which they learn later than the daemon.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::config::CallerLimits;

/// Shortest time after the idle time-out for which a connection stays open, so that a request in transit is not cut off.
const MIN_IDLE_GRACE: Duration = Duration::from_millis(500);

/// The limits of callers as the configuration in force has them.
pub(crate) struct LimitsInForce {
    read: Box<dyn Fn() -> CallerLimits + Send + Sync>,
    /// Time within which callers and the daemon learn of a change, in whatever order.
    lag: Duration,
    idle: Mutex<IdleTimeouts>,
}

impl LimitsInForce {
    pub fn new(read: impl Fn() -> CallerLimits + Send + Sync + 'static, lag: Duration) -> Self {
        Self { read: Box::new(read), lag, idle: Mutex::default() }
    }

    /// The limits in force.
    pub fn current(&self) -> CallerLimits {
        (self.read)()
    }

    /// Time after the idle time-out for which a connection stays open. Callers may know of a raised time-out before the
    /// daemon does.
    pub fn idle_grace(&self) -> Duration {
        self.lag.max(MIN_IDLE_GRACE)
    }

    /// The longest idle time-out by which a caller may go.
    pub fn idle_timeout(&self) -> Duration {
        let current = self.current().idle_timeout;
        self.idle.lock().longest(current, self.lag, Instant::now())
    }
}

/// The idle time-out in force and the former one.
#[derive(Debug, Default)]
struct IdleTimeouts {
    current: Duration,
    former: Duration,
    /// Until when callers may go by the former one.
    former_until: Option<Instant>,
}

impl IdleTimeouts {
    /// Takes in the time-out in force, and returns the longest one that callers may know.
    fn longest(&mut self, current: Duration, lag: Duration, now: Instant) -> Duration {
        if self.former_until.is_some_and(|until| until <= now) {
            (self.former, self.former_until) = (Duration::ZERO, None);
        }
        if current < self.current {
            self.former = self.former.max(self.current);
            self.former_until = Some(now + lag);
        }
        self.current = current;
        if self.former_until.is_some_and(|until| until > now) { current.max(self.former) } else { current }
    }
}

#[cfg(test)]
#[path = "limits_in_force_test.rs"]
mod limits_in_force_test;
