//! The move of traffic to a new version as a plain state machine: evidence and time in, decisions out.

use super::{
    analysis::{Analysis, Strata, Verdict},
    standard::Standard,
};
use crate::{config::VersionPlan, util::value};

/// Share of traffic that a version may have before evidence says that it is harmless.
const UNPROVEN_SHARE: f64 = 0.05;
/// Share of traffic that stays with the old version until the date, so that both can be compared.
const HELD_BACK: f64 = 0.05;
/// Part of the move's time by which it ends before the date, and that time in ms at most.
const LEAD_PART: f64 = 0.01;
const LEAD_MOST_MS: f64 = 5_000.0;
/// Part of the time until the date that the steps may take; the rest is for the full share's watch.
const STEPS_PART: f64 = 0.75;
/// Least time on a step, in ms.
const STEP_LEAST_MS: u64 = 2_000;

value! {
    /// How a move ended.
    pub(crate) enum Outcome {
        /// All traffic uses the new version.
        Full,
        /// No traffic uses it.
        TakenBack,
    }
}

impl Outcome {
    /// The outcome's name for operators.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::TakenBack => "taken-back",
        }
    }
}

/// What the rollout decides.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// Raise the share to that of this step, counted from 1.
    Advance(usize),
    /// End the move.
    End(Outcome, String),
}

/// Servers of both versions that can take requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Readiness {
    /// Servers of the new version.
    pub new: usize,
    /// Servers of the old version.
    pub old: usize,
}

/// What the rollout is told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    /// Unix time in ms.
    pub now_ms: u64,
    /// Tallies by route and zone.
    pub strata: Strata,
    /// Servers that can take requests.
    pub ready: Readiness,
}

/// One move.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    plan: VersionPlan,
    analysis: Analysis,
    step: usize,
    step_since: u64,
    verdict: Verdict,
    ended: bool,
}

impl Rollout {
    /// A move that has reached `step`, 0 for none.
    pub fn new(plan: VersionPlan, step: usize, now_ms: u64) -> Self {
        let analysis = Analysis::new(plan.harm);
        Self { plan, analysis, step, step_since: now_ms, verdict: Verdict::Open, ended: false }
    }

    /// Takes over a changed plan.
    pub fn replan(&mut self, plan: VersionPlan) {
        self.plan = plan;
    }

    /// Steps of the plan.
    pub fn steps(&self) -> usize {
        self.plan.steps.len()
    }

    /// The evidence in numbers.
    pub fn evidence(&self) -> Standard {
        self.analysis.evidence()
    }

    /// Share of traffic at a step; the step after the last is that of a move that has ended in full.
    pub fn share(plan: &VersionPlan, step: usize) -> f64 {
        match step {
            0 => 0.0,
            step if step > plan.steps.len() => 1.0,
            step => plan.steps[step - 1].min(1.0 - HELD_BACK),
        }
    }

    /// Decides. The caller makes a decision durable and then calls [`Rollout::done`].
    pub fn decide(&mut self, reading: &Reading) -> Option<Decision> {
        let (Some(start), Some(date)) = (self.plan.start_ms, self.plan.date_ms) else { return None };
        if self.ended || reading.now_ms < start {
            return None;
        }
        self.verdict = self.analysis.analysis(&reading.strata);
        if self.verdict == Verdict::Harmful {
            let reason = self.analysis.reason().unwrap_or("harmful").to_owned();
            return Some(Decision::End(Outcome::TakenBack, reason));
        }
        let last = self.plan.steps.len();
        let lead = (LEAD_PART * (date - start) as f64).min(LEAD_MOST_MS) as u64;
        if reading.now_ms + lead >= date {
            return Some(self.end_at_date(last, reading));
        }
        let due = start + (STEPS_PART * (date - start) as f64 * self.step as f64 / last as f64) as u64;
        let rested = reading.now_ms >= self.step_since + STEP_LEAST_MS;
        if self.step >= last || reading.now_ms < due || (self.step > 0 && !rested) {
            return None;
        }
        self.may_advance(reading).then_some(Decision::Advance(self.step + 1))
    }

    /// Notes that a decision has been made durable.
    pub fn done(&mut self, decision: &Decision, now_ms: u64) {
        match decision {
            Decision::Advance(step) => {
                self.step = *step;
                self.step_since = now_ms;
            }
            Decision::End(..) => self.ended = true,
        }
    }

    /// Why the move does not go on, for operators.
    pub fn obstacle(&self, reading: &Reading) -> Option<&'static str> {
        let next = Self::share(&self.plan, self.step + 1);
        if !Self::is_ready(next, reading.ready) {
            return Some("too few servers of the new version");
        }
        if next > UNPROVEN_SHARE && self.verdict != Verdict::Harmless {
            return Some("too little evidence");
        }
        None
    }

    fn may_advance(&self, reading: &Reading) -> bool {
        self.obstacle(reading).is_none()
    }

    fn is_ready(share: f64, ready: Readiness) -> bool {
        // The servers of the old version carried all traffic, so as many in proportion carry a share.
        let wanted = (share * ready.old as f64).floor().max(1.0);
        ready.new as f64 >= wanted
    }

    fn end_at_date(&self, last: usize, reading: &Reading) -> Decision {
        if self.step >= last {
            return Decision::End(Outcome::Full, "all traffic uses the new version".into());
        }
        let share = 100.0 * Self::share(&self.plan, self.step);
        let why = self.obstacle(reading).unwrap_or("too little time");
        Decision::End(Outcome::TakenBack, format!("the date was reached at {share}% of traffic: {why}"))
    }
}
