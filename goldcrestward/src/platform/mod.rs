//! What faces the platform: the key-value service and the list of instances.

mod error;
mod instances;
mod kv;

pub(crate) use error::Error;
pub(crate) use instances::{Instance, InstanceList, InstanceState};
pub(crate) use kv::{Compare, Kv, Purpose, Put, Row, Txn, prefix_end};
