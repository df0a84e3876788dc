//! Orders to model engines.

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;

/// The memory of a run that has been copied to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigratedKvCache {
    /// The engine that ran it.
    pub source: SocketAddr,
    /// The copy's name there.
    pub handle: Arc<str>,
}

/// Orders to model engines.
pub trait Engines: Send + Sync {
    /// Stops the run of a request at `source`, whose stream then ends early, and copies its memory to `target`.
    ///
    /// # Errors
    /// Says why the run was not moved.
    fn migrate_run<'a>(
        &'a self,
        source: SocketAddr,
        id: &'a str,
        target: SocketAddr,
    ) -> BoxFuture<'a, Result<MigratedKvCache, String>>;
}
