//! Requirements of a request of the own interface for a server.

use std::sync::Arc;

/// Requirements of a request for a replica.
pub(crate) struct ReplicaQuery<'a> {
    pub pool: &'a str,
    /// Requests with the same key go to the same replica while its load allows it.
    pub key: u64,
    /// The only version that may serve the request, if it is bound to one.
    pub version: Option<&'a str>,
    /// The daemon's own region; its replicas are preferred.
    pub region: &'a str,
    /// Configured number of requests in flight per replica.
    pub concurrency: u32,
    /// Score that the request has from earlier crashes of replicas.
    pub crash_score: u64,
    /// Instances already tried.
    pub tried: &'a [Arc<str>],
    /// Time in ms since the daemon's start.
    pub now: u64,
}
