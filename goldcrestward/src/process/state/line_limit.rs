//! Bounds the log lines on an event that may come at any rate.

/// Minimum time between two lines, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Says which events are logged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LineLimit {
    logged_at: Option<u64>,
    others: u64,
}

impl LineLimit {
    /// Records an event. Returns how many others were not logged since the last line, if this one is to be logged.
    pub fn record(&mut self, now: u64) -> Option<u64> {
        if self.logged_at.is_some_and(|at| now < at + INTERVAL_MS) {
            self.others += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.others))
    }
}

#[cfg(test)]
#[path = "line_limit_test.rs"]
mod line_limit_test;
