//! The platform's key-value service: the port that a platform implements, and the client that a daemon calls it by.

mod breaker;
mod client;
mod error;
mod history;
mod listing;
mod port;
mod revision;

pub(crate) use client::{Kv, Purpose};
pub use error::{Cause, Error, Result};
pub(crate) use listing::Listing;
#[cfg(test)]
pub(crate) mod memory_store;

pub use port::{Change, Changes, Compare, Lease, Page, Put, Row, StorePort, Txn, TxnOutcome, WatchPort};
pub use revision::Revision;
