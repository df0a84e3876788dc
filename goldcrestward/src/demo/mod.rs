//! A whole site in one process, on stand-ins, for the demonstration.

mod error;
mod scenario;
mod site;
mod summary;

pub(crate) use error::Error;
pub(crate) use scenario::Scenario;
pub(crate) use summary::Summary;
