//! Requests to model engines other than inference.

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;

/// KV cache of a run that has been stopped so that it can resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigratedKvCache {
    /// Engine that ran it.
    pub source: SocketAddr,
    /// Handle of the KV cache, as returned by `source`.
    pub handle: Arc<str>,
}

/// Where a run that has been stopped can resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationOutcome {
    /// At the target, which has a copy of its KV cache.
    Migrated(MigratedKvCache),
    /// Only at the source, which has kept its KV cache: the target had no room or could not be reached.
    KeptAtSource(MigratedKvCache),
}

/// Requests to model engines other than inference.
pub trait Engines: Send + Sync {
    /// Stops the run of request `id` at `source`, whose stream then ends early, and copies its KV cache to `target`.
    ///
    /// # Errors
    /// Returns the reason if it is not known that the run has been stopped.
    fn migrate_run<'a>(
        &'a self,
        source: SocketAddr,
        id: &'a str,
        target: SocketAddr,
    ) -> BoxFuture<'a, Result<MigrationOutcome, String>>;

    /// Asks the server `id` at `path` whether it is leaving. Returns whether it says that it is not; `false` without an answer
    /// of its own.
    fn says_ready<'a>(&'a self, _server: SocketAddr, _id: &'a str, _path: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(async { false })
    }
}
