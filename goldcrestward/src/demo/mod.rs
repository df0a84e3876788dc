//! The demonstration: a complete site of daemons and stand-ins in one process.

mod daemon;
mod error;
mod progress;
mod scenario;
mod site;
mod summary;

pub(crate) use error::Error;
pub(crate) use progress::ProgressDetail;
pub(crate) use scenario::Scenario;
pub(crate) use summary::Summary;
