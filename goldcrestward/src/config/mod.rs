//! The operators' configuration: small YAML files, merged in the order of their names.

mod document;
mod error;
mod merge;
mod replica;
mod site;
mod spec;

pub use document::Document;
pub(crate) use document::yaml_problem;
pub use error::{Error, Result};
pub use merge::{Merged, Override, Problem, merge};
pub(crate) use replica::ConfigReplica;
pub use site::{Account, Limits, Pool, Price, Route, Site, VersionPlan, Zone};
pub use spec::{PoolKind, Spec};
