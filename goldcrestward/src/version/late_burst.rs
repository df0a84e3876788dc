//! One burst of late answers that is left out of the evidence on a version.
//!
//! Servers may be silent for a second or two and go on. The answers of that time are late together, which says no more
//! of the version than one of them. Answers that go on being late are found so by what comes after the burst.

use std::collections::VecDeque;

use super::analysis::{Analysis, Strata, Verdict, without};

/// Time before a verdict in which its late answers are sent: the silence and the age of the evidence.
const BURST_MS: u64 = 2_500;
/// Time for which the other late answers of the burst are awaited.
pub(super) const WAIT_MS: u64 = 500;

/// An evaluation of the evidence.
#[derive(Clone, Debug)]
struct Look {
    at_ms: u64,
    strata: Strata,
    analysis: Analysis,
}

#[derive(Clone, Debug, Default)]
enum State {
    /// No burst has been left out.
    #[default]
    Ready,
    /// What comes until a time belongs to the burst, which began after a look.
    Waiting { until_ms: u64, before: Box<Look> },
    /// What came in the burst is left out.
    Used(Strata),
}

/// Evaluates the evidence on a version, without the first burst of late answers that would condemn it.
#[derive(Clone, Debug, Default)]
pub(super) struct LateBurst {
    /// The looks of the last [`BURST_MS`], and the last one before them.
    looks: VecDeque<Look>,
    state: State,
}

impl LateBurst {
    /// Evaluates the cumulative tallies. A version that was punctual until a burst is not condemned by it, if `may_wait`:
    /// there is time to see what follows.
    pub fn evaluate(&mut self, analysis: &mut Analysis, strata: &Strata, now_ms: u64, may_wait: bool) -> Verdict {
        if let State::Waiting { until_ms, before } = &self.state {
            if now_ms < *until_ms {
                return Verdict::Inconclusive;
            }
            *analysis = before.analysis.clone();
            self.state = State::Used(without(strata, &before.strata));
        }
        if let State::Used(burst) = &self.state {
            return analysis.evaluate(&without(strata, burst), now_ms);
        }
        let verdict = analysis.evaluate(strata, now_ms);
        if verdict == Verdict::Harmful {
            let is_burst = |look: &&Look| look.at_ms + BURST_MS <= now_ms && look.analysis.is_punctual();
            let before = self.looks.front().filter(is_burst);
            if let Some(before) = before.filter(|_| may_wait && analysis.is_late()) {
                self.state = State::Waiting { until_ms: now_ms + WAIT_MS, before: Box::new(before.clone()) };
                return Verdict::Inconclusive;
            }
            return verdict;
        }
        self.looks.push_back(Look { at_ms: now_ms, strata: strata.clone(), analysis: analysis.clone() });
        while self.looks.get(1).is_some_and(|look| look.at_ms + BURST_MS <= now_ms) {
            self.looks.pop_front();
        }
        verdict
    }

    /// Whether a verdict waits for what follows a burst.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting { .. })
    }
}
