//! Ports of a daemon: the traits through which it uses its platform, implemented once for each platform.

use std::sync::Arc;

use crate::store::StorePort;

mod catalog;
mod duty;
mod engines;
mod header_codec;

pub use catalog::{Catalog, Entry, Instance, InstanceState, RolloutOrder, RolloutState};
pub use duty::{Duties, DutyAnswer, Holder, PoolOrder};
pub use engines::{Engines, MigratedKvCache, MigrationOutcome};
pub use header_codec::{
    AttemptMetadata, HeaderCodec, Load, PromptPart, RequestMetadata, ResponseHead, ResponseMetadata, StatedHold,
    StatedLimit,
};

/// The implementations of all ports for one platform.
pub struct Ports {
    /// The key-value service.
    pub store: Arc<dyn StorePort>,
    /// Parses the entries of the key-value service.
    pub catalog: Arc<dyn Catalog>,
    /// Decodes and encodes HTTP headers.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Requests to model engines other than inference.
    pub engines: Arc<dyn Engines>,
    /// Calls that only the holder of the duties makes.
    pub duties: Arc<dyn Duties>,
}
