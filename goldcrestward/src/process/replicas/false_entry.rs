//! What a daemon knows of an entry whose address another instance has.

/// Time until a request tries the entry again, in ms; it doubles with each that does.
const FIRST_PAUSE_MS: u64 = 30_000;
/// Longest such time, in ms.
const MAX_PAUSE_MS: u64 = 10 * 60 * 1000;

/// Whether the address of an entry has answered that another instance is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FalseEntry {
    /// Pause after the last request that was answered so, in ms; 0 if there was none.
    pause_ms: u64,
    /// When the next request may be sent, in ms since the daemon's start.
    until: u64,
}

impl FalseEntry {
    /// Records that another instance has answered; returns whether that is news.
    pub fn record_misdirected(&mut self, now: u64) -> bool {
        let is_news = self.pause_ms == 0;
        if is_news {
            *self = Self { pause_ms: FIRST_PAUSE_MS, until: now.saturating_add(FIRST_PAUSE_MS) };
        }
        is_news
    }

    /// Whether no request may be sent under the entry's name now.
    pub fn is_closed(&self, now: u64) -> bool {
        now < self.until
    }

    /// Records that a request is sent; after a pause it is the only one in the next.
    pub fn record_sent(&mut self, now: u64) {
        if self.pause_ms > 0 && !self.is_closed(now) {
            self.pause_ms = (2 * self.pause_ms).min(MAX_PAUSE_MS);
            self.until = now.saturating_add(self.pause_ms);
        }
    }

    /// Records that the entry's own instance has answered; returns whether that is news.
    pub fn record_own(&mut self) -> bool {
        std::mem::take(self).pause_ms > 0
    }
}

#[cfg(test)]
#[path = "false_entry_test.rs"]
mod false_entry_test;
