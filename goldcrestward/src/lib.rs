//! goldcrestward serves model traffic on reclaimable instances.
//!
//! Callers connect to any of several equal daemons. A daemon forwards requests to model engines
//! and plain services, answers each accepted request exactly once and completely, and shifts
//! traffic to new versions by a date or rolls it back.

pub mod args;
pub mod cmd;
pub mod config;
mod connection;
mod demo;
pub mod error;
mod ledger;
mod line_queue;
pub mod logs;
mod one_line;
pub mod pb;
mod platform;
pub mod port;
mod process;
mod request;
pub mod store;
mod util;
mod version;

pub use connection::{HeadTooLong, HttpClient, OutboundRequest, SendError};
pub use process::{
    Daemon, DaemonCounts, Error, MemoryLimit, Overrides, ReadError, ResponseBuffer, ResponseMemory, Result, RetryLimit,
    Settings, SettingsError, TooLong,
};
pub use util::repaired_text;
