//! A bounded load: open-loop traffic whose answers are checked, with latencies free of coordinated omission.

mod client;
mod plan;
mod report;
mod run;

pub use client::{Client, RequestOutcome, StreamResult};
pub use plan::{Kind, LoadPlan, Targets, Workload};
pub use report::{LoadReport, Quantiles};
pub use run::run;
