//! Largest number of requests in flight in the last while.

/// Time for which a number counts at least; up to twice as long.
const SPAN_MS: u64 = 60;

/// The largest of the numbers recorded in a span of time, kept for the current span and the one before.
#[derive(Debug, Default)]
pub(super) struct RecentHigh {
    since: u64,
    current: u32,
    previous: u32,
}

impl RecentHigh {
    /// Records the number at `now`; returns the largest of the last while.
    pub fn record(&mut self, number: u32, now: u64) -> u32 {
        let age = now.saturating_sub(self.since);
        if age >= SPAN_MS {
            self.previous = if age >= 2 * SPAN_MS { number } else { self.current };
            self.current = number;
            self.since = now;
        }
        self.current = self.current.max(number);
        self.current.max(self.previous)
    }
}

#[cfg(test)]
#[path = "recent_high_test.rs"]
mod recent_high_test;
