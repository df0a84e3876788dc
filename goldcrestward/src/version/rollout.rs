//! The move of traffic to a new version as a plain state machine: evidence and time in, decisions out.

use super::{
    analysis::{Analysis, Strata, Verdict},
    standardized::StandardizedTally,
};
use crate::{
    config::{RolloutMode, VersionPlan},
    util::value,
};

/// Share of traffic that stays with the old version until the date, so that both can be compared.
const HELD_BACK: f64 = 0.05;
/// The same for an ordered move, in which a few seconds must do.
const ORDERED_HELD_BACK: f64 = 0.2;
/// Part of the move's time by which it ends before the date, and that time in ms at most.
const LEAD_PART: f64 = 0.01;
const LEAD_MOST_MS: f64 = 5_000.0;
/// Share of traffic that a planned version may have before evidence says that it is harmless.
const UNPROVEN_SHARE: f64 = 0.05;
/// The same for an ordered one.
const ORDERED_UNPROVEN: f64 = 0.1;
/// Part of the time until the date that the steps may take; the rest is for the full share's watch.
const STEPS_PART: f64 = 0.75;
/// Part of an ordered move's time that is left for its first step: what shows late shall not meet many.
const FIRST_STEP_PART: f64 = 0.5;
/// Least time on a step, in ms.
const STEP_LEAST_MS: u64 = 2_000;
/// The same for an ordered move, beyond the age of the evidence.
const ORDERED_STEP_MS: u64 = 2_000;
/// Time before the date at which the outcome is written where the old version's servers stop with it, in ms.
const WRITE_MS: u64 = 1_000;

value! {
    /// How a move ended.
    pub(crate) enum Outcome {
        /// All traffic uses the new version.
        Completed,
        /// No traffic uses it.
        RolledBack,
    }
}

impl Outcome {
    /// The outcome's name for operators.
    pub fn label(self) -> &'static str {
        match self {
            Self::Completed => "full",
            Self::RolledBack => "taken-back",
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
pub(crate) struct Snapshot {
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
        let analysis = Analysis::new(plan.harm_threshold, plan.mode);
        Self { plan, analysis, step, step_since: now_ms, verdict: Verdict::Open, ended: false }
    }

    /// Takes over a changed plan.
    pub fn set_plan(&mut self, plan: VersionPlan) {
        self.plan = plan;
    }

    /// Steps of the plan.
    pub fn steps(&self) -> usize {
        self.plan.steps.len()
    }

    /// The evidence in numbers.
    pub fn evidence(&self) -> StandardizedTally {
        self.analysis.evidence()
    }

    /// Share of traffic at a step; the step after the last is that of a move that has ended in full.
    pub fn share(plan: &VersionPlan, step: usize) -> f64 {
        match step {
            0 => 0.0,
            step if step > plan.steps.len() => 1.0,
            step if plan.mode.is_ordered() => plan.steps[step - 1].min(1.0 - ORDERED_HELD_BACK),
            step => plan.steps[step - 1].min(1.0 - HELD_BACK),
        }
    }

    /// Whether the servers of the old version have stopped, so that no choice among versions is left.
    pub fn has_old_version_stopped(plan: &VersionPlan, step: usize) -> bool {
        plan.mode.is_ordered() && step > plan.steps.len() + 1
    }

    /// Decides. The caller makes a decision durable and then calls [`Rollout::apply`].
    pub fn decide(&mut self, snapshot: &Snapshot) -> Option<Decision> {
        let (Some(start), Some(date)) = (self.plan.start_ms, self.plan.date_ms) else { return None };
        if self.ended || snapshot.now_ms < start {
            return None;
        }
        self.verdict = self.analysis.analysis(&snapshot.strata);
        if self.verdict == Verdict::Harmful {
            let reason = self.analysis.reason().unwrap_or("harmful").to_owned();
            return Some(Decision::End(Outcome::RolledBack, reason));
        }
        let last = self.plan.steps.len();
        if self.step > last {
            // The old version gets nothing new. The watch goes on while what runs there ends.
            let full = || Decision::End(Outcome::Completed, "all traffic uses the new version".into());
            return (snapshot.now_ms + WRITE_MS >= date).then(full);
        }
        let lead = (LEAD_PART * (date - start) as f64).min(LEAD_MOST_MS) as u64;
        if snapshot.now_ms + lead.max(self.settle_ms()) >= date {
            let leaves = self.plan.mode.is_ordered() && self.step == last;
            return Some(if leaves { Decision::Advance(last + 1) } else { self.end_at_date(last, snapshot) });
        }
        let due = start + (self.due_part() * (date - start) as f64) as u64;
        let rested = snapshot.now_ms >= self.step_since + self.rest_ms();
        if self.step >= last || snapshot.now_ms < due || (self.step > 0 && !rested) {
            return None;
        }
        self.may_advance(snapshot).then_some(Decision::Advance(self.step + 1))
    }

    /// Notes that a decision has been made durable.
    pub fn apply(&mut self, decision: &Decision, now_ms: u64) {
        match decision {
            Decision::Advance(step) => {
                self.step = *step;
                self.step_since = now_ms;
            }
            Decision::End(..) => self.ended = true,
        }
    }

    /// Why the move does not go on, for operators.
    pub fn obstacle(&self, snapshot: &Snapshot) -> Option<&'static str> {
        let next = Self::share(&self.plan, self.step + 1);
        if !Self::is_ready(next, snapshot.ready) {
            return Some("too few servers of the new version");
        }
        if next > self.unproven() && self.verdict != Verdict::Harmless {
            return Some("too little evidence");
        }
        None
    }

    fn settle_ms(&self) -> u64 {
        match self.plan.mode {
            RolloutMode::Planned => 0,
            RolloutMode::Ordered { settle_ms } => settle_ms,
        }
    }

    fn rest_ms(&self) -> u64 {
        if self.plan.mode.is_ordered() { ORDERED_STEP_MS } else { STEP_LEAST_MS }
    }

    fn unproven(&self) -> f64 {
        if self.plan.mode.is_ordered() { ORDERED_UNPROVEN } else { UNPROVEN_SHARE }
    }

    /// Part of the time until the date after which the next step is due.
    fn due_part(&self) -> f64 {
        match self.plan.mode {
            RolloutMode::Ordered { .. } if self.step > 0 => FIRST_STEP_PART,
            RolloutMode::Ordered { .. } => 0.0,
            RolloutMode::Planned => STEPS_PART * self.step as f64 / self.plan.steps.len() as f64,
        }
    }

    fn may_advance(&self, snapshot: &Snapshot) -> bool {
        self.obstacle(snapshot).is_none()
    }

    fn is_ready(share: f64, ready: Readiness) -> bool {
        // The servers of the old version carried all traffic, so as many in proportion carry a share.
        let wanted = (share * ready.old as f64).floor().max(1.0);
        ready.new as f64 >= wanted
    }

    fn end_at_date(&self, last: usize, snapshot: &Snapshot) -> Decision {
        if self.step >= last {
            return Decision::End(Outcome::Completed, "all traffic uses the new version".into());
        }
        let share = 100.0 * Self::share(&self.plan, self.step);
        let why = self.obstacle(snapshot).unwrap_or("too little time");
        Decision::End(Outcome::RolledBack, format!("the date was reached at {share}% of traffic: {why}"))
    }
}
