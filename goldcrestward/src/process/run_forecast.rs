//! How long a request takes, from what is known when it may begin.

use std::time::{Duration, Instant};

use super::{
    lifetime::WorkTime,
    run_times::{Knowledge, RunKind, RunTimes},
};

/// Time that repeatable requests are assumed to take while no run of their route is known.
const UNKNOWN_RUN_TIME: Duration = Duration::from_secs(3);

/// What the time that a request needs is known from, in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Basis {
    /// The longest of the recent runs of its kind.
    Longest,
    /// The time within which most of them ended.
    Usual,
    /// No run of its kind, nor one of a larger size, is known.
    Assumed,
    /// Its deadline: the runs that are known take longer, or it has to end for certain.
    Deadline,
    /// Nothing: it has to end for certain, and may go on beyond its deadline.
    Unbounded,
}

impl Basis {
    pub fn label(self) -> &'static str {
        match self {
            Self::Longest => "longest",
            Self::Usual => "usual",
            Self::Assumed => "assumed",
            Self::Deadline => "deadline",
            Self::Unbounded => "unbounded",
        }
    }
}

/// What bounds the run of a request.
#[derive(Clone, Debug)]
pub(crate) struct RunForecast {
    /// `None` before the route is known.
    pub kind: Option<RunKind>,
    pub deadline: Instant,
    /// Whether the request may run a second time.
    pub is_idempotent: bool,
    /// Whether the answer is complete before the caller gets any of it.
    pub is_buffered: bool,
    /// Whether the answer may go on beyond the deadline.
    pub outlasts_deadline: bool,
}

impl RunForecast {
    /// Time until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The time that the request needs, and what it is known from. Only one that can be repeated, and whose answer has not
    /// begun, may turn out to take longer. Nothing is known of one without a route.
    pub fn needed(&self, times: &RunTimes, now: Instant) -> (Duration, Basis) {
        let Some(kind) = &self.kind else { return (Duration::ZERO, Basis::Assumed) };
        let may_fail = self.may_fail();
        let left = self.time_left(now);
        let (known, basis) =
            if may_fail { (times.usual(kind, now), Basis::Usual) } else { (times.longest(kind, now), Basis::Longest) };
        match known {
            Some(known) if self.outlasts_deadline || known <= left => (known, basis),
            Some(_) => (left, Basis::Deadline),
            None if may_fail => (UNKNOWN_RUN_TIME.min(left), Basis::Assumed),
            None => (left, Basis::Deadline),
        }
    }

    /// Number of recent runs on which the estimate rests, and whose they are.
    pub fn known_runs(&self, times: &RunTimes, now: Instant) -> (u64, Knowledge) {
        match &self.kind {
            Some(kind) if self.may_fail() => (times.count(kind, now), Knowledge::Own),
            Some(kind) => times.longest_basis(kind, now),
            None => (0, Knowledge::Own),
        }
    }

    /// How long a run takes that begins now.
    pub fn work_time(&self, times: &RunTimes, now: Instant) -> WorkTime {
        let (expected, _) = self.needed(times, now);
        if self.may_fail() {
            return WorkTime::interruptible(expected);
        }
        WorkTime { expected, at_most: (!self.outlasts_deadline).then_some(self.time_left(now)) }
    }

    /// Records a run that has ended. The other daemons learn of those that can't be given up whole.
    pub fn record(&self, times: &RunTimes, took: Duration, now: Instant) {
        let Some(kind) = &self.kind else { return };
        times.record(kind, took, now);
        if !self.may_fail() {
            times.share(kind);
        }
    }

    /// Whether the request may be given up at any time, as it can be repeated and its answer has not begun. So may one
    /// that waits for its route.
    fn may_fail(&self) -> bool {
        self.kind.is_none() || self.is_buffered && self.is_idempotent
    }
}
