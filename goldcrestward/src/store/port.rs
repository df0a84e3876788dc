//! Port to a key-value service, independent of its protocol.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use super::{
    error::{CompactedSnafu, Result},
    revision::Revision,
};

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub key: String,
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub create_revision: Revision,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has a new value.
    Put(Row),
    /// The key was removed at a revision.
    Removed(String, Revision),
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
}

/// A part of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub rows: Vec<Row>,
    /// Revision of the service when it read the page.
    pub revision: Revision,
    /// Key after which the next page begins; `None` for the last one.
    pub next: Option<String>,
}

/// A condition of a transaction: the key was last changed at this revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    pub key: String,
    /// Expected revision of the last change; [`Revision::NONE`] if the key must not exist.
    pub revision: Revision,
}

/// A value to store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    pub key: String,
    pub value: Vec<u8>,
    /// Lease with which the key is removed; 0 for none.
    pub lease: u64,
}

/// A transaction: applied as a whole if all conditions hold, otherwise not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    pub compares: Vec<Compare>,
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// The service's answer to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all conditions held, so that the transaction was applied.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: Revision,
}

/// A lease granted by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    pub id: u64,
    /// Time to live, counted from when the grant or a renewal reaches the service.
    pub ttl: Duration,
}

/// An open watch on a prefix.
pub trait WatchPort: Send {
    /// Waits for the next changes. May return without any, after `limit` or another time.
    ///
    /// # Errors
    /// Fails when the watch has ended; the keys must then be listed again.
    fn next(&mut self, limit: Duration) -> BoxFuture<'_, Result<Changes>>;
}

/// A key-value service with revisions, watches and leases.
pub trait StorePort: Send + Sync {
    /// Number of the store's history, as far as its answers tell. It rises when the store is restored from a copy, whose
    /// revisions are lower than those before. Always 0 if the protocol does not tell.
    fn history(&self) -> u64 {
        0
    }

    /// Learns of a history from elsewhere, so that answers of earlier ones that are still to come count as lost.
    fn learn_history(&self, _history: u64) {}

    /// Reads one key.
    fn get<'a>(&'a self, purpose: &'static str, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;

    /// Lists the rows with `prefix` that changed at revision `since` or later: the page that begins after the key
    /// `after`, which is empty for the first one.
    fn list_page<'a>(
        &'a self,
        purpose: &'static str,
        prefix: &'a str,
        since: Revision,
        after: &'a str,
    ) -> BoxFuture<'a, Result<Page>>;

    /// Reads the changes of keys with `prefix` after revision `after` without waiting for one, on a connection of its own.
    ///
    /// # Errors
    /// Fails with [`Error::Compacted`](super::Error::Compacted) if the keys must be listed instead.
    fn changes<'a>(
        &'a self,
        _purpose: &'static str,
        _prefix: &'a str,
        _after: Revision,
    ) -> BoxFuture<'a, Result<Changes>> {
        Box::pin(async { CompactedSnafu { service: "key-value service" }.fail() })
    }

    /// Opens a watch on the keys with `prefix` for changes after revision `after`.
    fn watch<'a>(
        &'a self,
        purpose: &'static str,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Box<dyn WatchPort>>>;

    /// Executes a transaction.
    fn txn<'a>(&'a self, purpose: &'static str, txn: &'a Txn) -> BoxFuture<'a, Result<TxnOutcome>>;

    /// Requests a lease.
    fn grant(&self, purpose: &'static str, ttl: Duration) -> BoxFuture<'_, Result<Lease>>;

    /// Renews a lease.
    fn renew(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>>;

    /// Revokes a lease, which removes the keys attached to it.
    fn revoke(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>>;
}
