//! What lives as long as the process.

mod admin;
mod answers;
mod collect;
mod configure;
mod daemon;
mod error;
mod gossip;
mod life;
mod limits;
pub(crate) mod membership;
mod metrics;
mod replicas;
mod rollout;
mod seeds;
mod settings;
mod shared;

pub use daemon::{Daemon, DaemonCounts};
pub use error::{Error, Result};
pub(crate) use life::Stage;
pub(crate) use replicas::{Blame, Flight, Replica, Wish};
pub use settings::{Overrides, Settings, SettingsError};
pub(crate) use shared::{InFlight, Shared};
