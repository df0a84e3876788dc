//! Requests to model engines other than inference.

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;

/// KV cache of a run that has been copied to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigratedKvCache {
    /// Engine from which it was copied.
    pub source: SocketAddr,
    /// Handle of the copy, as returned by `source`.
    pub handle: Arc<str>,
}

/// Requests to model engines other than inference.
pub trait Engines: Send + Sync {
    /// Stops the run of request `id` at `source`, whose stream then ends early, and copies its KV cache to `target`.
    ///
    /// # Errors
    /// Returns the reason if the run was not migrated.
    fn migrate_run<'a>(
        &'a self,
        source: SocketAddr,
        id: &'a str,
        target: SocketAddr,
    ) -> BoxFuture<'a, Result<MigratedKvCache, String>>;
}
