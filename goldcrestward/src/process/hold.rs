//! The time for which a server that has turned a request away wants nothing from this daemon.

use std::time::Duration;

/// Longest time that is believed.
const MAX_TIME: Duration = Duration::from_mins(10);
/// Requests that may be sent after the end of such a time before one is answered.
const FIRST_REQUESTS: u64 = 2;
/// Period after which as many more may be sent if none has been answered.
const FIRST_PERIOD_MS: u64 = 1_000;

/// When a server wants nothing from this daemon; after that, how many requests it has got since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hold {
    /// End of the time, in ms since the daemon's start; 0 if there is none, or a request has been answered since.
    until: u64,
    /// Requests sent since the end.
    sent: u64,
}

impl Hold {
    /// Applies what a refusal says at `now`; returns the end of the time, or `None` if the time makes no sense.
    pub fn state(&mut self, time: Duration, now: u64) -> Option<u64> {
        if time.is_zero() || time > MAX_TIME {
            return None;
        }
        self.until = self.until.max(now + time.as_millis() as u64);
        self.sent = 0;
        Some(self.until)
    }

    /// Whether the server wants nothing now.
    pub fn is_active(&self, now: u64) -> bool {
        now < self.until
    }

    /// Time in ms until a request may be sent; 0 if it may now.
    pub fn wait(&self, now: u64) -> u64 {
        if self.until == 0 {
            return 0;
        }
        let Some(since) = now.checked_sub(self.until) else { return self.until - now };
        let periods = since / FIRST_PERIOD_MS + 1;
        if self.sent < FIRST_REQUESTS * periods { 0 } else { periods * FIRST_PERIOD_MS - since }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: u64) {
        if self.until > 0 && !self.is_active(now) {
            self.sent += 1;
        }
    }

    /// Records that a request that was sent at `sent_at` has not been turned away.
    pub fn record_taken(&mut self, sent_at: u64) {
        if sent_at >= self.until {
            *self = Self::default();
        }
    }
}

#[cfg(test)]
#[path = "hold_test.rs"]
mod hold_test;
