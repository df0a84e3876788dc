//! How often a slot may commit.

/// Commits that a slot may make at once after a quiet time.
const BURST: f64 = 4.0;
/// Commits a second of one slot.
const RATE: f64 = 2.0;

/// A token bucket of commits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    saved: f64,
    refilled: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { saved: BURST, refilled: 0 }
    }
}

impl Pace {
    /// Lets time pass until `now`, in ms.
    pub fn refill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.refilled) as f64 / 1000.0;
        self.refilled = now;
        self.saved = (self.saved + passed * RATE).min(BURST);
    }

    /// Whether a commit may be made now.
    pub fn allows(&self) -> bool {
        self.saved >= 1.0
    }

    /// Counts a commit.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
