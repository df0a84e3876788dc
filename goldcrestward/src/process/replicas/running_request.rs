//! A request at a server.

/// Time within which disconnects from a replica are attributed to the same crash.
const CRASH_WINDOW_MS: u64 = 3_000;
/// Time from its first output for which a request counts as beginning.
const EARLY_OUTPUT_MS: u64 = 500;

/// A request that a replica is running, or was running when it disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningRequest {
    pub(super) number: u64,
    pub(super) crash_score: u64,
    /// When it received its first output, in ms since the daemon's start.
    pub(super) output_at: Option<u64>,
    pub(super) disconnected_at: Option<u64>,
}

impl RunningRequest {
    /// Higher for a request that is more likely to have crashed the replica.
    pub fn suspicion(&self) -> u64 {
        2 * self.crash_score + u64::from(self.output_at.is_none())
    }

    /// Whether the replica was beginning to answer it when it disconnected, or is now.
    pub fn was_beginning(&self, now: u64) -> bool {
        let end = self.disconnected_at.unwrap_or(now);
        self.output_at.is_none_or(|at| end.saturating_sub(at) < EARLY_OUTPUT_MS)
    }

    /// Whether it is running, or may have been running when the replica crashed.
    pub fn is_recent(&self, now: u64) -> bool {
        self.disconnected_at.is_none_or(|at| now.saturating_sub(at) < CRASH_WINDOW_MS)
    }
}
