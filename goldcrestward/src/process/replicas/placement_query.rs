//! Requirements of a proxied request for a server.

use std::sync::Arc;

use crate::{
    process::{brittle::DaemonRank, placement::PromptCost},
    version::VersionRule,
};

/// Requirements of a request for placement on a server, and the location of the daemon that sends it.
pub(crate) struct PlacementQuery<'a> {
    pub pool: &'a str,
    /// Prefill time of the request's prompt.
    pub prompt_cost: &'a PromptCost,
    /// The versions that may serve the request.
    pub versions: &'a VersionRule,
    /// Instances already tried.
    pub tried: &'a [Arc<str>],
    /// The daemon's availability zone.
    pub zone: &'a str,
    /// The daemon's region.
    pub region: &'a str,
    /// Score that the request has from earlier crashes of replicas.
    pub crash_score: u64,
    /// Differs between requests, to spread them over equally good servers.
    pub salt: u64,
    /// This daemon among those that may send to the servers.
    pub daemon: DaemonRank,
    /// Time agreed among the daemons, as Unix time in ms.
    pub agreed_ms: u64,
    /// Time in ms since the daemon's start.
    pub now: u64,
}
