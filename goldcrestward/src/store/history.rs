//! The history of the key-value service that is in force, and since when this daemon knows it.

use std::time::{Duration, Instant};

/// A history ends when the service is restored from a copy: what was written after the copy was made is lost, and
/// revisions are given out again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct History {
    /// Rises with each restore; `None` before the first answer.
    pub number: Option<u64>,
    known_since: Instant,
}

impl History {
    pub fn unknown() -> Self {
        Self { number: None, known_since: Instant::now() }
    }

    /// Time for which this daemon has known the history, which is at most the age of the history.
    pub fn known_for(&self) -> Duration {
        self.known_since.elapsed()
    }

    /// Enters a later history; returns whether it is later. Earlier ones are ignored, as their answers were delayed.
    pub fn enter(&mut self, number: u64) -> bool {
        if self.number.is_some_and(|known| number <= known) {
            return false;
        }
        *self = Self { number: Some(number), known_since: Instant::now() };
        true
    }
}
