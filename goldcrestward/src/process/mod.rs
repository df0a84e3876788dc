//! What lives as long as the process.

mod admin;
mod collect;
mod configure;
mod daemon;
mod error;
mod gossip;
mod life;
mod limits;
pub(crate) mod membership;
mod metrics;
mod peer_service;
mod replicas;
mod rollout;
mod seeds;
mod settings;
mod shared;

pub use daemon::{Daemon, DaemonCounts};
pub use error::{Error, Result};
pub(crate) use life::Stage;
pub(crate) use limits::Admitted;
pub(crate) use replicas::{Blame, NoReplica, Replica, ReplicaGuard, ReplicaQuery};
pub use settings::{Overrides, Settings, SettingsError};
pub(crate) use shared::{InFlight, Shared};
