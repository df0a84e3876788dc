//! Load generator: open-loop traffic for a limited time. Responses are checked, and latencies
//! are measured from the planned start, so they are free of coordinated omission.

mod client;
mod plan;
mod report;
mod run;

pub use client::{Client, RequestOutcome, StreamResult};
pub use plan::{LoadPlan, RequestKind, Targets, Workload};
pub use report::{LoadReport, Quantiles};
pub use run::{run, run_until};
