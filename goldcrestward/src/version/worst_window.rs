//! The time in which most answers of a new version were late, so that one silence of its servers can be told from
//! answers that are late all along.

use std::collections::VecDeque;

use super::{bound::binomial_tail, standardized::StandardizedTally};

/// Length of a window: a silence and the age of the evidence.
const WINDOW_MS: u64 = 2_500;
/// Time after a window by which the other late answers of a silence have come.
const SETTLE_MS: u64 = 500;
/// Error allowed when the share of late answers in the window is found larger than outside.
const BURST_ERROR: f64 = 0.001;

/// Cumulative counts at an evaluation.
#[derive(Clone, Copy, Debug)]
struct Look {
    at_ms: u64,
    tally: StandardizedTally,
}

#[derive(Clone, Debug, Default)]
pub(super) struct WorstWindow {
    /// The looks of the last [`WINDOW_MS`], and the last one before them.
    looks: VecDeque<Look>,
    worst: StandardizedTally,
    worst_end_ms: u64,
    now_ms: u64,
}

impl WorstWindow {
    pub fn add(&mut self, tally: StandardizedTally, now_ms: u64) {
        self.now_ms = now_ms;
        self.looks.push_back(Look { at_ms: now_ms, tally });
        while self.looks.get(1).is_some_and(|look| look.at_ms + WINDOW_MS <= now_ms) {
            self.looks.pop_front();
        }
        let Some(first) = self.looks.front() else { return };
        let window = tally.since(&first.tally);
        if window.matched.slow > self.worst.matched.slow {
            (self.worst, self.worst_end_ms) = (window, now_ms);
        }
    }

    /// The counts without the window if far more of its answers were late than of the others.
    pub fn rest(&self, tally: &StandardizedTally) -> Option<StandardizedTally> {
        let (window, rest) = (self.worst.matched, tally.since(&self.worst));
        let late = window.slow + rest.matched.slow;
        let share = window.count as f64 / (window.count + rest.matched.count).max(1) as f64;
        let error = binomial_tail(window.slow, late, share * late as f64);
        (error < BURST_ERROR && self.now_ms >= self.worst_end_ms + SETTLE_MS).then_some(rest)
    }
}
