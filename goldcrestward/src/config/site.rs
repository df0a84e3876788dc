//! The configuration in the form that the daemon works with.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    policy::{CallerLimits, EngineCapacity, Quota, RouteKind, Scaling, Share},
    spec::PoolKind,
};
use crate::util::value;

value! {
    /// A way from callers to a pool.
    pub struct Route {
        /// The route's name.
        pub name: Arc<str>,
        /// The pool that serves it.
        pub pool: Arc<str>,
        /// The model name that callers ask for.
        pub model: Option<Arc<str>>,
        /// The path prefix that callers use.
        pub prefix: Option<Arc<str>>,
        /// Whether a call may be sent again.
        pub repeatable: bool,
        /// Whether calls are idempotent lookups that may be hedged.
        pub lookup: bool,
        /// Longest time for a whole request.
        pub timeout: Duration,
        /// Retries allowed as a share of requests.
        pub retry_share: f64,
        /// Priority handed to engines.
        pub priority: i32,
        /// The host that callers name; any when `None`.
        pub host: Option<Arc<str>>,
        /// Pools that share the route's traffic; `pool` alone when empty.
        pub shares: Vec<Share>,
        /// What may be done with a request when an attempt fails.
        pub kind: RouteKind,
        /// Replicas that one request may be sent to.
        pub max_attempts: u32,
        /// Time within which an answer, or its first event, is in time.
        pub latency_target: Duration,
        /// Whether callers need no account.
        pub allows_anonymous: bool,
    }
}

value! {
    /// The limits of an account, for the whole site.
    pub struct Limits {
        /// Requests a second.
        pub requests: f64,
        /// Tokens a second.
        pub tokens: f64,
        /// Requests in flight.
        pub concurrency: f64,
    }
}

impl Limits {
    /// An equal part of the limits.
    pub fn divided(&self, parts: f64) -> Self {
        Self { requests: self.requests / parts, tokens: self.tokens / parts, concurrency: self.concurrency / parts }
    }
}

value! {
    /// A client account.
    pub struct Account {
        /// The account's name.
        pub name: Arc<str>,
        /// SHA-256 of each of its keys, in lowercase hexadecimal digits.
        pub key_hashes: Vec<Arc<str>>,
        /// Routes that it may use; all when empty.
        pub routes: Vec<Arc<str>>,
        /// Weight when accounts share what is scarce.
        pub weight: f64,
        /// Its limits.
        pub limits: Limits,
        /// Rank of its requests, which goes before their route's.
        pub priority: Option<i32>,
        /// What it may use over all daemons together; anything when `None`.
        pub quota: Option<Quota>,
    }
}

value! {
    /// A group of like backend servers.
    pub struct Pool {
        /// The pool's name.
        pub name: Arc<str>,
        /// What its servers speak.
        pub kind: PoolKind,
        /// Whether its servers refuse orders with an old fencing number.
        pub checks_fences: bool,
        /// Servers wanted.
        pub replicas: u32,
        /// Requests in flight that one server is meant to hold.
        pub concurrency: u32,
        /// Connections that one server accepts from all daemons together.
        pub max_connections: u32,
        /// What a model engine of the pool can hold.
        pub engine: Option<EngineCapacity>,
        /// How many servers it may have.
        pub scaling: Option<Scaling>,
    }
}

/// How fast a move goes on, and on what evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutMode {
    /// Over hours, looking at the evidence at any time.
    Planned,
    /// Within seconds, as an operator ordered it: evidence is looked at once for each step.
    Ordered {
        /// Time before the date, in ms, from which the old version gets nothing new, as its servers stop then.
        settle_ms: u64,
    },
}

impl RolloutMode {
    /// Whether the move was ordered.
    pub fn is_ordered(self) -> bool {
        matches!(self, Self::Ordered { .. })
    }
}

value! {
    /// A version of a pool's servers and when traffic moves to it.
    pub struct VersionPlan {
        /// The version's name.
        pub name: Arc<str>,
        /// Name under which decisions on the move are known.
        pub rollout_key: Arc<str>,
        /// The pool.
        pub pool: Arc<str>,
        /// Unix time in ms at which the move starts; `None` for the version in use from the outset.
        pub start_ms: Option<u64>,
        /// Unix time in ms by which the move must have ended.
        pub date_ms: Option<u64>,
        /// Shares of traffic on the way, each between 0 and 1.
        pub steps: Vec<f64>,
        /// Added share of failed or slow requests that counts as harm.
        pub harm_threshold: f64,
        /// How fast the move goes on.
        pub mode: RolloutMode,
    }
}

value! {
    /// An availability zone.
    pub struct Zone {
        /// The zone's name.
        pub name: Arc<str>,
        /// Its region.
        pub region: Arc<str>,
    }
}

value! {
    /// What instances of a class cost in a zone.
    pub struct Price {
        /// The zone.
        pub zone: Arc<str>,
        /// The machine class.
        pub class: Arc<str>,
        /// Price of a reclaimable instance for an hour.
        pub reclaimable: f64,
        /// Price of an on-demand instance for an hour.
        pub on_demand: f64,
    }
}

/// A whole configuration, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Routes by name.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// Accounts by name.
    pub accounts: BTreeMap<Arc<str>, Arc<Account>>,
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, Pool>,
    /// Versions by name.
    pub versions: BTreeMap<Arc<str>, VersionPlan>,
    /// Zones by name.
    pub zones: BTreeMap<Arc<str>, Zone>,
    /// Prices by name.
    pub prices: BTreeMap<Arc<str>, Price>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    /// Routes by host and prefix; see [`Site::index`].
    pub host_index: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

/// The form in which an account's key is kept.
pub fn key_hash(key: &str) -> Arc<str> {
    crate::util::sha256_hex(key.as_bytes()).into()
}

impl Site {
    /// The route of a model name.
    pub fn model_route(&self, model: &str) -> Option<&Arc<Route>> {
        self.routes.values().find(|r| r.model.as_deref() == Some(model))
    }

    /// The route with the longest prefix of `path`.
    pub fn path_route(&self, path: &str) -> Option<&Arc<Route>> {
        let matches = |r: &&Arc<Route>| r.prefix.as_deref().is_some_and(|p| path.starts_with(p));
        let length = |r: &&Arc<Route>| r.prefix.as_ref().map_or(0, |p| p.len());
        self.routes.values().filter(matches).max_by_key(length)
    }

    /// Fills the index of routes that name a host.
    pub fn build_host_index(&mut self) {
        for route in self.routes.values() {
            let (Some(host), Some(prefix)) = (&route.host, &route.prefix) else { continue };
            self.host_index.entry(host.clone()).or_default().insert(prefix.clone(), route.clone());
        }
    }

    /// The route of a host with the longest prefix of `path`, of prefixes that end with a slash.
    pub fn host_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.host_index.get(host)?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// The account with this key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        use subtle::ConstantTimeEq;

        let hash = key_hash(key);
        let is_key = |known: &Arc<str>| bool::from(known.as_bytes().ct_eq(hash.as_bytes()));
        let same = |a: &&Arc<Account>| a.key_hashes.iter().filter(|known| is_key(known)).count() > 0;
        // All keys are compared, so that the time does not tell which account matched.
        self.accounts.values().filter(same).fold(None, |_, account| Some(account))
    }
}
