//! One burst of late answers that is left out of the evidence on a version.
//!
//! Servers may be silent for a second or two and go on. The answers of that time are late together, which says no more
//! of the version than one of them. Answers that go on being late are found so by those outside of the burst.

use std::collections::VecDeque;

use super::{
    analysis::{Analysis, Strata, Verdict, without},
    bound::binomial_tail,
    tally::Tally,
};

/// Length of a burst: a silence and the age of the evidence.
const BURST_MS: u64 = 2_500;
/// Time for which the other late answers of the burst are awaited.
pub(super) const WAIT_MS: u64 = 500;
/// Error allowed when a larger share of the answers in the burst than of the others is found late.
const BURST_ERROR: f64 = 0.05;

/// An evaluation of the evidence.
#[derive(Clone, Debug)]
struct Look {
    at_ms: u64,
    strata: Strata,
    analysis: Analysis,
}

/// The time in which most answers were late.
#[derive(Clone, Debug)]
struct Burst {
    before: Box<Look>,
    end_ms: u64,
    end: Strata,
    late: u64,
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
    worst: Option<Burst>,
    state: State,
}

impl LateBurst {
    /// Evaluates the cumulative tallies. A version is not condemned by a burst in which far more of its answers were late
    /// than otherwise, if `may_wait`: there is time to see what follows.
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
        self.find_worst(strata, now_ms);
        if verdict == Verdict::Harmful {
            let may_leave_out = may_wait && analysis.is_late();
            let Some(burst) = self.worst.take().filter(|burst| may_leave_out && burst.stands_out(strata)) else {
                return verdict;
            };
            if now_ms < burst.end_ms + WAIT_MS {
                self.state = State::Waiting { until_ms: burst.end_ms + WAIT_MS, before: burst.before };
                return Verdict::Inconclusive;
            }
            *analysis = burst.before.analysis;
            let left_out = without(&burst.end, &burst.before.strata);
            let verdict = analysis.evaluate(&without(strata, &left_out), now_ms);
            self.state = State::Used(left_out);
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

    fn find_worst(&mut self, strata: &Strata, now_ms: u64) {
        let Some(first) = self.looks.front() else { return };
        let (start, end) = (new_tally(&first.strata), new_tally(strata));
        let late = (end - start).slow;
        if late == 0 || self.worst.as_ref().is_some_and(|worst| late <= worst.late) {
            return;
        }
        // The burst begins after the answers of which far fewer were late.
        let is_before = |look: &&Look| {
            let before = new_tally(&look.strata) - start;
            2 * before.slow * (end - start).count <= late * before.count
        };
        let before = Box::new(self.looks.iter().rev().find(is_before).unwrap_or(first).clone());
        self.worst = Some(Burst { before, end_ms: now_ms, end: strata.clone(), late });
    }
}

impl Burst {
    /// Whether a larger share of its answers than of all others is late.
    fn stands_out(&self, strata: &Strata) -> bool {
        let (burst, all) = (new_tally(&self.end) - new_tally(&self.before.strata), new_tally(strata));
        let share = burst.count as f64 / all.count.max(1) as f64;
        binomial_tail(burst.slow, all.slow, share * all.slow as f64) < BURST_ERROR
    }
}

/// The counts of the new version on all routes and in all zones.
fn new_tally(strata: &Strata) -> Tally {
    strata.values().fold(Tally::default(), |mut sum, pair| {
        sum.add(pair.new);
        sum
    })
}
