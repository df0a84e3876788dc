//! Limits the rate of commits of one slot.

/// Commits that an idle slot may make at once.
const MAX_BURST: f64 = 4.0;
const COMMITS_PER_S: f64 = 2.0;

/// Token bucket with one token per commit.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitLimiter {
    tokens: f64,
    refilled_ms: u64,
}

impl Default for CommitLimiter {
    fn default() -> Self {
        Self { tokens: MAX_BURST, refilled_ms: 0 }
    }
}

impl CommitLimiter {
    /// Adds the tokens earned since the last call.
    pub fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * COMMITS_PER_S).min(MAX_BURST);
    }

    /// Whether a commit may be made now.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    pub fn record(&mut self) {
        self.tokens -= 1.0;
    }
}
