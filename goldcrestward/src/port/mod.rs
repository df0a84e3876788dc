//! The edges of a daemon: what it must be told and may ask for, whatever platform it runs on.

use std::sync::Arc;

use crate::store::StorePort;

mod catalog;
mod duty;
mod engines;
mod header_codec;

pub use catalog::{Catalog, Entry, Instance, InstanceState, RolloutOrder, RolloutState};
pub use duty::{Duties, DutyAnswer, Holder, PoolOrder};
pub use engines::{Engines, MigratedKvCache};
pub use header_codec::{AttemptMetadata, HeaderCodec, Load, PromptPart, RequestMetadata, ResponseMetadata};

/// The edges of a daemon on one platform.
pub struct Ports {
    /// The key-value service.
    pub store: Arc<dyn StorePort>,
    /// What its entries mean.
    pub catalog: Arc<dyn Catalog>,
    /// What headers mean.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Orders to model engines.
    pub engines: Arc<dyn Engines>,
    /// Calls that one daemon makes for all.
    pub duties: Arc<dyn Duties>,
}
