//! Versions of backend servers: evidence on a version, and the rollout that shifts traffic to it.

mod analysis;
mod bound;
mod choice;
mod evidence;
mod excess;
mod late_burst;
mod order;
mod rollout;
mod standardized;
mod tally;
mod worst_window;

pub(crate) use analysis::Strata;
pub(crate) use choice::{VersionChoice, VersionRule, version_choice};
pub(crate) use order::ordered_plan;
pub(crate) use rollout::{Decision, Outcome, Readiness, Rollout, Snapshot};
pub(crate) use standardized::StandardizedTally;
pub(crate) use tally::{EvidenceTable, Sample, Tally, TallyKey};

#[cfg(test)]
mod bound_test;
#[cfg(test)]
mod scenario_test;
#[cfg(test)]
mod slow_version_test;
