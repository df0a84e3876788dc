//! Which runs of servers are leaving.
//!
//! Leaving is final for a run, whoever says so and in whatever order statements arrive: an entry that says ready, older
//! or newer than an answer that said leaving, does not undo it. A server that starts again is another run.

use std::collections::HashMap;

use crate::util::derive_value_traits;

/// Time for which a run's statements are kept after the last one. Its server has ended long before.
const RETENTION_MS: u64 = 10 * 60 * 1000;
/// Most by which the clocks of the daemons and of a server's host are taken to differ.
const CLOCK_TOLERANCE_MS: u64 = 500;

derive_value_traits! {
    /// Where a statement that a server is leaving comes from.
    pub(crate) enum LeavingSource {
        /// The server's entry in the store.
        Entry,
        /// An answer of the server, to this daemon or to another one.
        Answer,
    }
}

impl LeavingSource {
    /// Value in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
        }
    }
}

/// The first statement of each source that a run is leaving, in ms since the daemon's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Leaving {
    entry_at: Option<u64>,
    answer_at: Option<u64>,
    stated_at: u64,
}

/// The runs that are leaving. It outlives the servers' entries: an entry that is removed and comes back must not make a
/// leaving server ready, and daemons may learn of a run before they know its entry.
#[derive(Debug, Default)]
pub(crate) struct LeavingRuns {
    runs: HashMap<u64, Leaving>,
    /// The last answers that said so, by the id and address at which they were asked for.
    answers: HashMap<u64, Answer>,
}

/// An answer that says that its server is leaving.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Unix time in ms at which its request was sent.
    asked_unix_ms: u64,
    recorded_at: u64,
}

impl LeavingRuns {
    /// Records a statement made at `at`; returns whether the run was not known to be leaving.
    pub fn state(&mut self, run: u64, source: LeavingSource, at: u64, now: u64) -> bool {
        self.runs.retain(|_, leaving| now < leaving.stated_at.saturating_add(RETENTION_MS));
        let is_new = !self.runs.contains_key(&run);
        let leaving = self.runs.entry(run).or_default();
        let first = match source {
            LeavingSource::Entry => &mut leaving.entry_at,
            LeavingSource::Answer => &mut leaving.answer_at,
        };
        *first = Some(first.map_or(at, |known| known.min(at)));
        leaving.stated_at = leaving.stated_at.max(now);
        is_new
    }

    /// Records an answer that says so, to a request that was sent to the server at `place` at that Unix time in ms. Whose
    /// run it is may not be known yet, as the entry of a server that has started again may come later.
    pub fn record_answer(&mut self, place: u64, asked_unix_ms: u64, now: u64) {
        self.answers.retain(|_, answer| now < answer.recorded_at.saturating_add(RETENTION_MS));
        let answer = self.answers.entry(place).or_insert(Answer { asked_unix_ms, recorded_at: now });
        answer.asked_unix_ms = answer.asked_unix_ms.max(asked_unix_ms);
        answer.recorded_at = now;
    }

    /// Whether the run that started at `place` at that Unix time in ms has given such an answer.
    pub fn has_answered(&self, place: u64, started_unix_ms: u64) -> bool {
        let answer = self.answers.get(&place);
        answer.is_some_and(|answer| answer.asked_unix_ms >= started_unix_ms.saturating_add(CLOCK_TOLERANCE_MS))
    }

    /// The earliest statement that the run is leaving, and when it was made; `None` if there is none.
    pub fn first(&self, run: u64) -> Option<(LeavingSource, u64)> {
        let leaving = self.runs.get(&run)?;
        let entry = leaving.entry_at.map(|at| (LeavingSource::Entry, at));
        let answer = leaving.answer_at.map(|at| (LeavingSource::Answer, at));
        entry.into_iter().chain(answer).min_by_key(|(_, at)| *at)
    }

    /// Forgets a run whose name and address may be those of the next one.
    pub fn forget(&mut self, run: u64) {
        self.runs.remove(&run);
    }
}

#[cfg(test)]
#[path = "runs_test.rs"]
mod runs_test;
