//! Entries of a platform's store: configuration, instances and rollouts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::config::Site;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It serves requests.
    Live,
    /// It has received a reclaim notice or is being stopped.
    Leaving,
    /// It has terminated.
    Gone,
}

/// An instance of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id that the platform assigned.
    pub id: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// The pool it belongs to.
    pub pool: Arc<str>,
    /// The version that it runs.
    pub version: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Lifecycle state.
    pub state: InstanceState,
    /// Number of requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether the platform may reclaim it on notice.
    pub reclaimable: bool,
    /// Time after its start during which it is still slow.
    pub warm_up: Duration,
    /// Time until it terminates, if it is leaving and the platform says when.
    pub leaves_in: Option<Duration>,
    /// Unix time of its start in ms, which changes when an id is reused; 0 if unknown.
    pub started_unix_ms: u64,
}

/// An operator's order to roll out a version of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The pool.
    pub pool: Arc<str>,
    /// The version, spelled as in [`Instance::version`].
    pub version: Arc<str>,
    /// Time over which the traffic is shifted.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic is being shifted.
    Running,
    /// All traffic uses the version; servers of other versions may be stopped.
    Completed,
    /// The version receives no traffic and will receive none.
    RolledBack,
}

/// One parsed entry of the store.
#[derive(Debug)]
pub enum Entry {
    /// A complete configuration.
    Site(Box<Site>),
    /// A backend server.
    Instance(Instance),
    /// An order to roll out a version.
    Rollout(RolloutOrder),
    /// An entry that the daemon ignores.
    Other,
}

/// Parses the entries of a platform's store.
pub trait Catalog: Send + Sync {
    /// Common prefix of all relevant keys.
    fn prefix(&self) -> &str;

    /// Whether the daemon uses the entry with this key.
    fn is_relevant(&self, key: &str) -> bool;

    /// Parses an entry.
    ///
    /// # Errors
    /// Returns the reason if the entry is invalid.
    fn parse(&self, key: &str, value: &str) -> Result<Entry, String>;

    /// Whether an entry's value is older than another one that was seen for the key, by what the values say themselves.
    fn is_outdated(&self, key: &str, value: &str, known: &str) -> bool;

    /// Key and value of the entry that reports the state of a rollout to operators.
    fn rollout_status(&self, pool: &str, version: &str, state: RolloutState) -> (String, String);

    /// The instance id in a key, also if the entry's value is invalid; `None` if it is not the key of an instance.
    fn instance_id<'a>(&self, key: &'a str) -> Option<&'a str>;
}
