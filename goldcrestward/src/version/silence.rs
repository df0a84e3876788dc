//! Short silences of a server, which say nothing about its version.
//!
//! While a request waits, its server is asked for its health. A slow version still answers that; a server that pauses, or
//! one whose path does, answers nothing.

/// Time between the starts of two health checks of a server.
const CHECK_INTERVAL_MS: u64 = 300;
/// Time without an answer to a health check after which the server counts as silent.
const SILENT_AFTER_MS: u64 = 200;
/// Longest silence of a sound server.
pub(crate) const MAX_SILENCE_MS: u64 = 2_500;
/// Time after a silence within which another one is evidence, as sound servers are rarely silent.
const RECOVERY_MS: u64 = 5_000;

/// A span of time in ms since the daemon's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Silence {
    start: u64,
    end: u64,
    is_excused: bool,
}

/// What one daemon knows of a server's silences.
#[derive(Debug, Default)]
pub(crate) struct SilenceRecord {
    /// Start of the health check that has not been answered.
    pending_since: Option<u64>,
    next_check_at: u64,
    last: Option<Silence>,
}

impl SilenceRecord {
    /// Whether the server is to be asked for its health now; [`Self::end_check`] follows.
    pub fn begin_check(&mut self, now: u64) -> bool {
        let is_due = self.pending_since.is_none() && now >= self.next_check_at;
        if is_due {
            self.pending_since = Some(now);
            self.next_check_at = now + CHECK_INTERVAL_MS;
        }
        is_due
    }

    /// Records that a health check has been answered or given up. Returns the length of the silence that it met.
    pub fn end_check(&mut self, now: u64) -> Option<u64> {
        let start = self.pending_since.take()?;
        let length = now.saturating_sub(start);
        if length < SILENT_AFTER_MS {
            return None;
        }
        self.last = Some(Silence { start, end: now, is_excused: self.is_excused(start, now) });
        Some(length)
    }

    /// Whether a silence explains that a request sent at `sent_at` is unanswered or late at `now`: with `target_ms` after
    /// its end, the server still had the time that requests have.
    pub fn explains(&self, sent_at: u64, target_ms: u64, now: u64) -> bool {
        if let Some(start) = self.pending_since
            && now >= start + SILENT_AFTER_MS
        {
            return self.is_excused(start, now);
        }
        self.last.is_some_and(|last| last.is_excused && sent_at < last.end && now <= last.end + target_ms)
    }

    fn is_excused(&self, start: u64, end: u64) -> bool {
        end <= start + MAX_SILENCE_MS && self.last.is_none_or(|last| start >= last.end + RECOVERY_MS)
    }
}

#[cfg(test)]
#[path = "silence_test.rs"]
mod silence_test;
