//! goldcrestward serves model traffic on reclaimable instances.
//!
//! Callers reach any of several equal daemons, which pass requests on to model engines and
//! plain services, answer each accepted request once and whole, and move traffic to new
//! versions by a date or take it back.

pub mod args;
pub mod cmd;
pub mod config;
mod connection;
mod demo;
pub mod error;
mod ledger;
pub mod logs;
pub mod pb;
mod platform;
pub mod port;
mod process;
mod request;
pub mod store;
mod util;
mod version;

pub use connection::{HttpClient, OutboundRequest, SendError};
pub use process::{Daemon, DaemonCounts, Error, Overrides, Result, RetryLimit, Settings, SettingsError};
