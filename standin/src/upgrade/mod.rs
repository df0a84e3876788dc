//! Runs two programs side by side: replaces daemons one after the other and checks that no promise breaks.

mod binaries;
mod changes;
mod daemon;
mod plan;
mod promises;
mod report;
mod run;
mod site;

use std::time::Duration;

pub use plan::{Build, Phase, Step, UpgradePlan};
pub use promises::BrokenPromises;
pub use report::{StepReport, UpgradeReport};
pub use run::{UpgradeOptions, run};

/// Time within which every daemon that is ready follows a change, counted from its acknowledgement.
const CHANGE_LIMIT: Duration = Duration::from_secs(6);

#[cfg(test)]
mod plan_test;
#[cfg(test)]
mod promises_test;
