//! The operators' configuration: YAML files, merged in order of file name.

mod compilation;
mod document;
mod error;
mod merge;
mod policy;
mod replica;
mod site;
mod spec;

pub(crate) use compilation::{Compilation, StoredDocument};
pub use document::Document;
pub(crate) use document::yaml_problem;
pub use error::{Error, Result};
pub use merge::{Merged, Override, Problem, merge};
pub use policy::{CallerLimits, EngineCapacity, Quota, QuotaUnit, RouteKind, Scaling, Share};
pub(crate) use replica::ConfigReplica;
pub use site::{Account, Limits, Pool, Price, RolloutMode, Route, Site, VersionPlan, Zone, key_hash};
pub use spec::{PoolKind, Spec};
