//! A whole site in one process, on stand-ins, for the demonstration.

mod error;
mod scene;
mod site;
mod summary;

pub(crate) use error::{Error, Result};
pub(crate) use scene::Scene;
pub(crate) use site::DemoSite;
pub(crate) use summary::Summary;
