//! Stand-ins for the systems that goldcrestward meets: the platform's services,
//! model engines and plain services, with faults on demand, and a load tool.
//!
//! Each stand-in speaks the published protocol of the system whose place it takes,
//! so that the daemon meets it through its ordinary adapters.

pub mod args;
pub mod capacity;
pub mod cmd;
pub mod engine;
pub mod error;
pub mod faults;
pub mod http;
pub mod load;
pub mod platform;
pub mod service;
