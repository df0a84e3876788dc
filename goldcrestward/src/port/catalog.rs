//! What a platform's store says of the site.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::config::Site;

/// Where an instance stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It has a reclaim notice or is being stopped.
    Leaving,
    /// It is gone.
    Gone,
}

/// One backend server instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The platform's name for it.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The pool it belongs to.
    pub pool: Arc<str>,
    /// The version that it runs.
    pub version: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its state.
    pub state: InstanceState,
    /// Requests that it runs at once; 0 if the platform does not say.
    pub slots: u32,
    /// Whether the platform may take it away on notice.
    pub reclaimable: bool,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
    /// Time until it is gone, if it is leaving and the platform says when.
    pub leaves_in: Option<Duration>,
    /// Unix time in ms of its start, which tells two lives under one name apart; 0 if the platform does not say.
    pub started_unix_ms: u64,
}

/// An operator's order to move a pool's traffic to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The pool.
    pub pool: Arc<str>,
    /// The version, as instances name it.
    pub version: Arc<str>,
    /// Time that the move may take.
    pub duration: Duration,
}

/// How a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It goes on.
    Running,
    /// All traffic uses the version; the other servers may stop.
    Completed,
    /// No traffic uses it, now or later.
    RolledBack,
}

/// The meaning of one entry of the store.
#[derive(Debug)]
pub enum Entry {
    /// A whole configuration.
    Site(Box<Site>),
    /// A backend server.
    Instance(Instance),
    /// An order to move traffic.
    Rollout(RolloutOrder),
    /// Nothing that matters here.
    Other,
}

/// Reads the entries of a platform's store.
pub trait Catalog: Send + Sync {
    /// A prefix that all keys that matter have.
    fn prefix(&self) -> &str;

    /// Whether the key is one that matters.
    fn is_relevant(&self, key: &str) -> bool;

    /// Reads an entry.
    ///
    /// # Errors
    /// Says why the entry names nothing to use.
    fn parse(&self, key: &str, value: &str) -> Result<Entry, String>;

    /// The entry, as key and value, that tells operators how a move stands.
    fn rollout_status(&self, pool: &str, version: &str, state: RolloutState) -> (String, String);

    /// The instance that an entry's key names, whatever the entry says.
    fn instance_id<'a>(&self, key: &'a str) -> Option<&'a str>;
}
