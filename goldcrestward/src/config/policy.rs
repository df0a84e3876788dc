//! Policies of routes, accounts and pools.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::util::derive_value_traits;

/// Determines how a request may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another replica may resume the stream after the last event.
        resumable: bool,
        /// Longest time between two events that counts as in time.
        max_event_gap: Duration,
    },
}

impl RouteKind {
    /// Whether the request may run a second time.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

derive_value_traits! {
    /// A pool's share of a route's traffic.
    pub struct Share {
        pub pool: Arc<str>,
        /// Weight relative to the route's other pools.
        pub weight: u32,
    }
}

/// Unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    Requests,
    /// Prompt and generated tokens; a request that states no number counts as this many.
    Tokens(u64),
}

derive_value_traits! {
    /// Limit on an account's usage, across all daemons.
    pub struct Quota {
        /// Units per second.
        pub rate: f64,
        /// Units that may be used at once.
        pub burst: f64,
        pub unit: QuotaUnit,
    }
}

derive_value_traits! {
    pub struct EngineCapacity {
        /// Tokens that fit into the KV cache, of requests and cached prompt parts together.
        pub kv_cache_tokens: u64,
        /// Tokens in one event of a stream.
        pub tokens_per_event: u32,
    }
}

derive_value_traits! {
    /// Size limits of a pool and the prices of its backend servers.
    pub struct Scaling {
        /// Fewest servers in each availability zone.
        pub min: u32,
        /// Most servers in each availability zone.
        pub max: u32,
        /// Time from ordering a server to its first served request.
        pub boot_time: Duration,
        /// Price of a reclaimable server as a fraction of another's; `None` if none are offered.
        pub reclaimable_price_ratio: Option<f64>,
        /// Price of a server, by availability zone.
        pub zone_prices: BTreeMap<Arc<str>, f64>,
    }
}

derive_value_traits! {
    /// Limits on the size and duration of what callers send.
    pub struct CallerLimits {
        /// Largest request head, in bytes.
        pub header_bytes: usize,
        /// Largest request body, in bytes.
        pub body_bytes: usize,
        /// Time within which a request head must arrive.
        pub header_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 8 * 1024 * 1024,
            header_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
