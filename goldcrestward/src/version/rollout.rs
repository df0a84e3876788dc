//! The rollout of a new version as a state machine without I/O: evidence and time in, decisions out.

use super::{
    analysis::{Analysis, Strata, Verdict},
    evidence::Evidence,
    late_burst::{LateBurst, WAIT_MS},
    standardized::StandardizedTally,
};
use crate::{
    config::{RolloutMode, VersionPlan},
    util::derive_value_traits,
};

/// Share of traffic held back on the old version until the date, so that the versions can be compared.
const HOLDBACK_SHARE: f64 = 0.05;
/// The same for an ordered rollout, which has only seconds to compare them.
const ORDERED_HOLDBACK_SHARE: f64 = 0.2;
/// Fraction of a rollout's time by which it ends before the date, at most `MAX_LEAD_MS`.
const LEAD_FRACTION: f64 = 0.01;
const MAX_LEAD_MS: f64 = 5_000.0;
/// Largest share of traffic in a planned rollout until the new version is found harmless.
const UNPROVEN_SHARE: f64 = 0.05;
/// The same for an ordered rollout.
const ORDERED_UNPROVEN_SHARE: f64 = 0.1;
/// Fraction of the time until the date in which the steps are due; the rest is left to monitor the last step.
const STEPS_FRACTION: f64 = 0.75;
/// Fraction of an ordered rollout's time that is spent on its first step, so that a fault that shows late affects few
/// requests.
const FIRST_STEP_FRACTION: f64 = 0.5;
/// Minimum time on a step of a planned rollout.
const MIN_STEP_MS: u64 = 2_000;
/// Minimum time on a step of an ordered rollout; covers the age of the evidence.
const ORDERED_MIN_STEP_MS: u64 = 2_000;
/// Time before the date at which the outcome of an ordered rollout is recorded, since the old version's servers stop at
/// the date.
const ORDERED_OUTCOME_LEAD_MS: u64 = 1_000;

derive_value_traits! {
    /// How a rollout ended.
    pub(crate) enum Outcome {
        /// All traffic uses the new version.
        Completed,
        /// The version was rolled back; no traffic uses it.
        RolledBack,
    }
}

impl Outcome {
    /// Name of the outcome in records, metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Completed => "full",
            Self::RolledBack => "taken-back",
        }
    }
}

/// A decision of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// Advance to this step, counted from 1, and its share of traffic.
    Advance(usize),
    /// End the rollout, with the reason for operators.
    End(Outcome, String),
}

/// Number of servers of each version that can take requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Readiness {
    pub new: usize,
    pub old: usize,
}

/// Input of a decision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Unix time in ms.
    pub now_ms: u64,
    pub strata: Strata,
    pub ready: Readiness,
}

/// The rollout of one version.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    plan: VersionPlan,
    analysis: Analysis,
    late_burst: LateBurst,
    step: usize,
    step_since_ms: u64,
    verdict: Verdict,
    ended: bool,
}

impl Rollout {
    /// Creates a rollout that has reached `step`; 0 before the first step.
    pub fn new(plan: VersionPlan, step: usize, now_ms: u64) -> Self {
        let analysis = Analysis::new(plan.harm_threshold, plan.mode);
        let (late_burst, verdict) = (LateBurst::default(), Verdict::Inconclusive);
        Self { plan, analysis, late_burst, step, step_since_ms: now_ms, verdict, ended: false }
    }

    pub fn set_plan(&mut self, plan: VersionPlan) {
        self.plan = plan;
    }

    /// Step that has been reached, counted from 1; 0 before the first.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Number of steps in the plan.
    pub fn steps(&self) -> usize {
        self.plan.steps.len()
    }

    /// The evidence so far, for operators.
    pub fn evidence(&self) -> StandardizedTally {
        self.analysis.evidence()
    }

    /// What the latest decision was made on.
    pub fn latest(&self) -> Evidence {
        self.analysis.latest()
    }

    /// Share of traffic at a step. The step after the last is that of a completed rollout, with all traffic.
    pub fn share(plan: &VersionPlan, step: usize) -> f64 {
        match step {
            0 => 0.0,
            step if step > plan.steps.len() => 1.0,
            step if plan.mode.is_ordered() => plan.steps[step - 1].min(1.0 - ORDERED_HOLDBACK_SHARE),
            step => plan.steps[step - 1].min(1.0 - HOLDBACK_SHARE),
        }
    }

    /// Whether the servers of the old version have stopped, so that there is no version to choose any more.
    pub fn has_old_version_stopped(plan: &VersionPlan, step: usize) -> bool {
        plan.mode.is_ordered() && step > plan.steps.len() + 1
    }

    /// Makes the next decision, if one is due. The caller must make it durable and then call [`Rollout::apply`].
    pub fn decide(&mut self, snapshot: &Snapshot) -> Option<Decision> {
        let (Some(start), Some(date)) = (self.plan.start_ms, self.plan.date_ms) else { return None };
        if self.ended || snapshot.now_ms < start {
            return None;
        }
        let lead_ms = (LEAD_FRACTION * (date - start) as f64).min(MAX_LEAD_MS) as u64;
        let last_ms = date.saturating_sub(lead_ms.max(self.drain_ms()));
        let may_wait = snapshot.now_ms + 2 * WAIT_MS < last_ms;
        let Self { analysis, late_burst, .. } = self;
        self.verdict = late_burst.evaluate(analysis, &snapshot.strata, snapshot.now_ms, may_wait);
        if self.verdict == Verdict::Harmful {
            let reason = self.analysis.reason().unwrap_or("harmful").to_owned();
            return Some(Decision::End(Outcome::RolledBack, reason));
        }
        if self.is_waiting() {
            return None;
        }
        let last_step = self.plan.steps.len();
        if self.step > last_step {
            // The old version gets no new requests. The evidence is still evaluated while its running requests finish.
            let completed = || Decision::End(Outcome::Completed, "all traffic uses the new version".into());
            return (snapshot.now_ms + ORDERED_OUTCOME_LEAD_MS >= date).then(completed);
        }
        if snapshot.now_ms >= last_ms {
            let leaves_old_version = self.plan.mode.is_ordered() && self.step == last_step && !self.analysis.is_worse();
            return Some(if leaves_old_version {
                Decision::Advance(last_step + 1)
            } else {
                self.end_at_date(last_step, snapshot)
            });
        }
        let may_advance = self.is_step_due(snapshot.now_ms) && self.obstacle(snapshot).is_none();
        may_advance.then_some(Decision::Advance(self.step + 1))
    }

    /// Applies a decision that has been made durable.
    pub fn apply(&mut self, decision: &Decision, now_ms: u64) {
        match decision {
            Decision::Advance(step) => {
                self.step = *step;
                self.step_since_ms = now_ms;
            }
            Decision::End(..) => self.ended = true,
        }
    }

    /// Whether a verdict on late answers waits for what follows them.
    pub fn is_waiting(&self) -> bool {
        self.late_burst.is_waiting()
    }

    /// Why a step that is due is not taken.
    pub fn held_back(&self, snapshot: &Snapshot) -> Option<&'static str> {
        let is_due = self.is_waiting() || self.is_step_due(snapshot.now_ms);
        self.obstacle(snapshot).filter(|_| is_due && !self.ended)
    }

    /// Why the rollout cannot advance, for operators.
    pub fn obstacle(&self, snapshot: &Snapshot) -> Option<&'static str> {
        if self.is_waiting() {
            return Some("a burst of late answers, which may be a silence of servers");
        }
        if self.analysis.is_worse() {
            return Some("more failed or late answers than of the old version");
        }
        let next = Self::share(&self.plan, self.step + 1);
        if !Self::has_capacity(next, snapshot.ready) {
            return Some("too few servers of the new version");
        }
        if next > self.unproven_share() && self.verdict != Verdict::Harmless {
            return Some("too little evidence");
        }
        None
    }

    /// Time before the date from which the old version gets no new requests; 0 in a planned rollout.
    fn drain_ms(&self) -> u64 {
        match self.plan.mode {
            RolloutMode::Planned => 0,
            RolloutMode::Ordered { drain_ms } => drain_ms,
        }
    }

    fn min_step_ms(&self) -> u64 {
        if self.plan.mode.is_ordered() { ORDERED_MIN_STEP_MS } else { MIN_STEP_MS }
    }

    fn unproven_share(&self) -> f64 {
        if self.plan.mode.is_ordered() { ORDERED_UNPROVEN_SHARE } else { UNPROVEN_SHARE }
    }

    /// Fraction of the time until the date after which the next step is due.
    fn due_fraction(&self) -> f64 {
        match self.plan.mode {
            RolloutMode::Ordered { .. } if self.step > 0 => FIRST_STEP_FRACTION,
            RolloutMode::Ordered { .. } => 0.0,
            RolloutMode::Planned => STEPS_FRACTION * self.step as f64 / self.plan.steps.len() as f64,
        }
    }

    fn is_step_due(&self, now_ms: u64) -> bool {
        let (Some(start), Some(date)) = (self.plan.start_ms, self.plan.date_ms) else { return false };
        let due_ms = start + (self.due_fraction() * (date - start) as f64) as u64;
        let step_elapsed = self.step == 0 || now_ms >= self.step_since_ms + self.min_step_ms();
        self.step < self.plan.steps.len() && now_ms >= due_ms && step_elapsed
    }

    fn has_capacity(share: f64, ready: Readiness) -> bool {
        // The servers of the old version carried all traffic, so a proportional number can carry a share of it.
        let required = (share * ready.old as f64).floor().max(1.0);
        ready.new as f64 >= required
    }

    fn end_at_date(&self, last_step: usize, snapshot: &Snapshot) -> Decision {
        if self.step >= last_step && !self.analysis.is_worse() {
            return Decision::End(Outcome::Completed, "all traffic uses the new version".into());
        }
        let share = 100.0 * Self::share(&self.plan, self.step);
        let why = self.obstacle(snapshot).unwrap_or("too little time");
        Decision::End(Outcome::RolledBack, format!("the date was reached at {share}% of traffic: {why}"))
    }
}
