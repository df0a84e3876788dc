//! The demonstration: a complete site of daemons and stand-ins in one process.

mod error;
mod scenario;
mod site;
mod summary;

pub(crate) use error::Error;
pub(crate) use scenario::Scenario;
pub(crate) use summary::Summary;
