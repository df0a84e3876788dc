//! The daemon: its components and the state that they share.

mod admin;
mod admission_queue;
mod brittle;
mod clock;
mod configure;
mod crash_evidence;
mod crash_watch;
mod daemon;
mod demand;
mod duty;
mod error;
mod exchange;
mod gateway;
mod gossip;
mod health;
mod hold;
mod leaving;
mod lifecycle;
mod lifetime;
mod limit_facts;
mod limits;
mod loads;
pub(crate) mod membership;
mod metrics;
mod named_limit;
mod peer_service;
mod placement;
mod quota;
mod reach;
mod replicas;
mod retries;
mod rollout;
mod rollout_record;
mod run_times;
mod scaler;
mod seeds;
mod send_limits;
mod settings;
mod shared;
mod state;
mod term;
mod usage;
mod verdict_keeper;

pub(crate) use admission_queue::Rank;
pub(crate) use brittle::record_stated as record_brittle;
pub(crate) use crash_evidence::Condemned;
pub(crate) use crash_watch::{accuse_parts, part_names, record_answer};
pub use daemon::{Daemon, DaemonCounts, StartingDaemon};
pub use error::{Error, Result};
pub(crate) use gateway::Gateway;
pub(crate) use health::AttemptOutcome;
pub(crate) use leaving::record_stated as record_leaving;
pub(crate) use lifecycle::Stage;
pub(crate) use limits::AdmissionPermit;
pub(crate) use placement::{Placement, PromptCost};
pub(crate) use replicas::{Blame, NoReplica, Offer, PlacementQuery, Replica, ReplicaGuard, ReplicaQuery};
pub use retries::RetryLimit;
pub(crate) use run_times::RunKind;
pub use settings::{Overrides, Settings, SettingsError};
pub(crate) use shared::{InFlight, Shared};

#[cfg(test)]
mod crash_simulation_test;
#[cfg(test)]
mod records_test;
