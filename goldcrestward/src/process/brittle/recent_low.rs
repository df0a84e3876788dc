//! Least number of requests in flight in the last while.

/// Time for which a number counts at least; up to twice as long.
const SPAN_MS: u64 = super::room::KNOWN_AFTER_MS;

/// The least of the numbers recorded in a span of time, kept for the current span and the one before.
#[derive(Debug, Default)]
pub(super) struct RecentLow {
    since: u64,
    current: u32,
    previous: u32,
}

impl RecentLow {
    /// Begins at `now` with nothing known.
    pub fn starting(now: u64) -> Self {
        Self { since: now, current: 0, previous: 0 }
    }

    /// Records the number at `now`, which must be done before it rises; returns the least of the last while.
    pub fn record(&mut self, number: u32, now: u64) -> u32 {
        let age = now.saturating_sub(self.since);
        if age >= SPAN_MS {
            // Nothing was recorded meanwhile, so it has not risen.
            self.previous = if age >= 2 * SPAN_MS { number } else { self.current };
            self.current = number;
            self.since = now;
        }
        self.current = self.current.min(number);
        self.current.min(self.previous)
    }
}

#[cfg(test)]
#[path = "recent_low_test.rs"]
mod recent_low_test;
