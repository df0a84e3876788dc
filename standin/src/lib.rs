//! Stand-ins for the systems that goldcrestward connects to (the platform's services,
//! model engines and plain services), with fault injection, and a load generator.
//!
//! Each stand-in implements the published protocol of the system it replaces,
//! so the daemon connects to it through its ordinary adapters.

pub mod args;
pub mod capacity;
pub mod cmd;
pub mod endless;
pub mod engine;
pub mod error;
pub mod fault_proxy;
pub mod http;
pub mod load;
pub mod platform;
pub mod reserved_port;
pub mod service;
pub mod upgrade;
