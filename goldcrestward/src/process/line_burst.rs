//! Bounds the log lines on a matter that many may be affected by at once, each of which is to be named if possible.

/// Lines in a period.
const MAX_LINES: u32 = 32;
/// The period, in ms.
const PERIOD_MS: u64 = 1_000;

/// Says which events are logged: those that come first in each period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LineBurst {
    began_at: u64,
    lines: u32,
    others: u64,
}

impl LineBurst {
    /// Records an event. Returns how many others were not logged since the last line, if this one is to be logged.
    pub fn record(&mut self, now: u64) -> Option<u64> {
        if now >= self.began_at + PERIOD_MS {
            (self.began_at, self.lines) = (now, 0);
        }
        if self.lines == MAX_LINES {
            self.others += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.others))
    }
}

#[cfg(test)]
#[path = "line_burst_test.rs"]
mod line_burst_test;
