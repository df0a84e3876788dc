//! Terms that routes, accounts and pools may carry beside their names.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::util::value;

/// What may be done with a request when an attempt fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: it may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// It is answered by a series of events.
    Stream {
        /// Whether another replica may go on after the last event.
        resumable: bool,
        /// Longest pause between events of an answer that counts as in time.
        max_event_gap: Duration,
    },
}

impl RouteKind {
    /// Whether a second run of the same request does no harm.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

value! {
    /// A pool's part of a route's traffic.
    pub struct Share {
        /// The pool.
        pub pool: Arc<str>,
        /// Its weight among the route's pools.
        pub weight: u32,
    }
}

/// What an account's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens read and written; a request that names none counts as this many.
    Tokens(u64),
}

value! {
    /// What an account may use over all daemons together.
    pub struct Quota {
        /// Units a second.
        pub rate: f64,
        /// Units that may be used at once.
        pub burst: f64,
        /// What is counted.
        pub unit: QuotaUnit,
    }
}

value! {
    /// What a model engine can hold.
    pub struct EngineCapacity {
        /// Tokens of requests and cached prompt parts together.
        pub kv_cache_tokens: u64,
        /// Tokens in one event of a stream.
        pub tokens_per_event: u32,
    }
}

value! {
    /// How many backend servers a pool may have, and what they cost.
    pub struct Scaling {
        /// Fewest in an availability zone.
        pub min: u32,
        /// Most in an availability zone.
        pub max: u32,
        /// Time from an order to the first request served.
        pub boot_time: Duration,
        /// Price of a reclaimable server as a part of another's; `None` where there are none to be had.
        pub reclaimable_price_ratio: Option<f64>,
        /// Price of a server by availability zone.
        pub zone_prices: BTreeMap<Arc<str>, f64>,
    }
}

value! {
    /// What a caller may send, and how long it may take.
    pub struct CallerLimits {
        /// Bytes of a request's head.
        pub header_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// Time for a request's head to arrive.
        pub header_timeout: Duration,
        /// Time that a connection may stay idle.
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
