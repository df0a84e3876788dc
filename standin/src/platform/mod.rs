//! The platform's services: a key-value store behind the etcd v3 JSON gateway,
//! and a lagging list of instances.

mod gateway;
mod instances;
mod store;

pub use gateway::{CallCounters, Platform, PlatformFaults};
pub use instances::{Instance, InstanceList, InstancePage, InstanceState};
pub use store::Store;
