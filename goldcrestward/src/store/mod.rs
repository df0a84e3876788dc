//! The platform's key-value service: what a daemon asks of it, and the one client through which it asks.

mod breaker;
mod client;
mod error;
mod port;

pub(crate) use client::{Kv, Purpose};
pub use error::{Error, Result};
#[cfg(test)]
pub(crate) mod memory_store;

pub use port::{Change, Changes, Commit, Compare, Lease, Put, Row, StorePort, TxnOutcome, WatchPort};
