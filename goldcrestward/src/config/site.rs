//! The merged configuration, as the daemon uses it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    policy::{CallerLimits, EngineCapacity, Quota, RouteKind, Scaling, Share},
    spec::PoolKind,
};
use crate::util::derive_value_traits;

derive_value_traits! {
    /// Rule that sends requests for a model or a path to a pool.
    pub struct Route {
        pub name: Arc<str>,
        /// Pool that serves the route unless `shares` is set.
        pub pool: Arc<str>,
        /// Model name in the request; `None` if requests are matched by path alone.
        pub model: Option<Arc<str>>,
        /// Prefix of the request path; `None` if requests are matched by model alone.
        pub prefix: Option<Arc<str>>,
        /// Whether a request may be sent more than once.
        pub repeatable: bool,
        /// Whether requests are idempotent lookups, which may be hedged.
        pub lookup: bool,
        /// Time limit of a whole request.
        pub timeout: Duration,
        /// Retry budget, as a share of requests.
        pub retry_share: f64,
        /// Priority passed to model engines.
        pub priority: i32,
        /// Host in the request; any if `None`.
        pub host: Option<Arc<str>>,
        /// Shares of the route's traffic by pool; `pool` gets all of it if empty.
        pub shares: Vec<Share>,
        /// Determines how a request may be retried after a failed attempt.
        pub kind: RouteKind,
        /// Most replicas to which one request may be sent.
        pub attempt_limit: u32,
        /// Time within which a response or the first event of a stream counts as in time.
        pub latency_target: Duration,
        /// Whether requests need no account.
        pub allows_anonymous: bool,
    }
}

derive_value_traits! {
    /// Limits of an account across the whole site; infinite where none is set.
    pub struct Limits {
        /// Requests per second.
        pub requests: f64,
        /// Tokens per second.
        pub tokens: f64,
        /// Requests in flight.
        pub concurrency: f64,
    }
}

impl Limits {
    /// One of `parts` equal shares of the limits.
    pub fn divided(&self, parts: f64) -> Self {
        Self { requests: self.requests / parts, tokens: self.tokens / parts, concurrency: self.concurrency / parts }
    }
}

derive_value_traits! {
    pub struct Account {
        pub name: Arc<str>,
        /// SHA-256 of each accepted key, in lowercase hexadecimal digits.
        pub key_hashes: Vec<Arc<str>>,
        /// Routes that the account may use; all if empty.
        pub routes: Vec<Arc<str>>,
        /// Weight in the fair sharing of scarce capacity between accounts.
        pub weight: f64,
        pub limits: Limits,
        /// Priority of the account's requests, which overrides that of the route.
        pub priority: Option<i32>,
        /// Quota across all daemons; unlimited if `None`.
        pub quota: Option<Quota>,
    }
}

derive_value_traits! {
    /// A group of interchangeable backend servers.
    pub struct Pool {
        pub name: Arc<str>,
        /// Interface of the pool's servers.
        pub kind: PoolKind,
        /// Whether the servers reject orders with an outdated fencing token.
        pub checks_fencing_tokens: bool,
        /// Desired number of servers.
        pub replicas: u32,
        /// Intended number of requests in flight per server.
        pub concurrency: u32,
        /// Connections that each server accepts from all daemons together.
        pub max_connections: u32,
        /// Path at which its servers say whether they are leaving, if they do.
        pub health_path: Option<Arc<str>>,
        /// Capacity of each of the pool's model engines.
        pub engine: Option<EngineCapacity>,
        /// Size limits and prices; `None` if the pool is not scaled.
        pub scaling: Option<Scaling>,
    }
}

/// How a rollout advances, and on what evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutMode {
    /// Over hours; the evidence may be examined at any time.
    Planned,
    /// Within seconds, as an operator ordered it; the evidence is examined once for each step.
    Ordered {
        /// Time in ms before the date from which the old version gets no new requests, as its servers stop at the date.
        drain_ms: u64,
    },
}

impl RolloutMode {
    pub fn is_ordered(self) -> bool {
        matches!(self, Self::Ordered { .. })
    }
}

derive_value_traits! {
    /// A version of a pool's servers and the plan of its rollout.
    pub struct VersionPlan {
        pub name: Arc<str>,
        /// Name under which decisions on the rollout are recorded and gossiped.
        pub rollout_key: Arc<str>,
        pub pool: Arc<str>,
        /// Unix time in ms at which the rollout starts; `None` for the initial version.
        pub start_ms: Option<u64>,
        /// Unix time in ms by which the rollout must have ended.
        pub date_ms: Option<u64>,
        /// Shares of traffic of the successive steps, between 0 and 1.
        pub steps: Vec<f64>,
        /// Increase in the share of failed or slow requests, between 0 and 1, that counts as harm.
        pub harm_threshold: f64,
        pub mode: RolloutMode,
    }
}

derive_value_traits! {
    pub struct Zone {
        pub name: Arc<str>,
        pub region: Arc<str>,
    }
}

derive_value_traits! {
    /// Prices of an instance class in an availability zone.
    pub struct Price {
        pub zone: Arc<str>,
        /// Machine class of the instances.
        pub class: Arc<str>,
        /// Price of a reclaimable instance per hour.
        pub reclaimable: f64,
        /// Price of an on-demand instance per hour.
        pub on_demand: f64,
    }
}

/// A merged and validated configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Number that the operator gave the configuration; 0 if it has none.
    pub version: u64,
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    pub accounts: BTreeMap<Arc<str>, Arc<Account>>,
    pub pools: BTreeMap<Arc<str>, Pool>,
    pub versions: BTreeMap<Arc<str>, VersionPlan>,
    pub zones: BTreeMap<Arc<str>, Zone>,
    pub prices: BTreeMap<Arc<str>, Price>,
    pub caller_limits: CallerLimits,
    /// Routes by host and prefix, filled by [`Site::build_host_index`].
    pub host_index: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

/// Form in which an account's key is stored: its SHA-256.
pub fn key_hash(key: &str) -> Arc<str> {
    crate::util::sha256_hex(key.as_bytes()).into()
}

impl Site {
    /// The route for a model name.
    pub fn model_route(&self, model: &str) -> Option<&Arc<Route>> {
        self.routes.values().find(|r| r.model.as_deref() == Some(model))
    }

    /// The route whose prefix is the longest match for `path`.
    pub fn path_route(&self, path: &str) -> Option<&Arc<Route>> {
        let matches = |r: &&Arc<Route>| r.prefix.as_deref().is_some_and(|p| path.starts_with(p));
        let length = |r: &&Arc<Route>| r.prefix.as_ref().map_or(0, |p| p.len());
        self.routes.values().filter(matches).max_by_key(length)
    }

    /// Adds the routes that have a host and a prefix to the index.
    pub fn build_host_index(&mut self) {
        for route in self.routes.values() {
            let (Some(host), Some(prefix)) = (&route.host, &route.prefix) else { continue };
            self.host_index.entry(host.clone()).or_default().insert(prefix.clone(), route.clone());
        }
    }

    /// The route of a host whose prefix is the longest match for `path`; only prefixes that end with a slash match.
    pub fn host_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.host_index.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// The account to which a key belongs.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        use subtle::ConstantTimeEq;

        let hash = key_hash(key);
        let is_key = |known: &Arc<str>| bool::from(known.as_bytes().ct_eq(hash.as_bytes()));
        let has_key = |a: &&Arc<Account>| a.key_hashes.iter().filter(|known| is_key(known)).count() > 0;
        // Every key is compared, so that the time taken does not reveal which account matched.
        self.accounts.values().filter(has_key).fold(None, |_, account| Some(account))
    }
}
