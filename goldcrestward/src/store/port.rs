//! What a daemon asks of a key-value service, independent of its protocol.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use super::error::Result;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key came into being.
    pub create_revision: u64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has a new value.
    Put(Row),
    /// The key was removed at a revision.
    Removed(String, u64),
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// A condition of a transaction: the key's last change is of this revision; 0 if it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision.
    pub revision: u64,
}

/// A value to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key ends with; 0 for none.
    pub lease: u64,
}

/// A transaction: all of it if all conditions hold, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// Values to be stored.
    pub puts: Vec<Put>,
    /// Keys to be removed.
    pub removes: Vec<String>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all conditions held, so that the values were stored.
    pub succeeded: bool,
    /// Revision of the service after it.
    pub revision: u64,
}

/// A lease as the service granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// Time to live from the arrival of a grant or renewal at the service.
    pub ttl: Duration,
}

/// An open watch.
pub trait WatchPort: Send {
    /// Waits for the next changes, which may be none after a while.
    ///
    /// # Errors
    /// Fails when the watch has ended; the keys must then be listed anew.
    fn next(&mut self) -> BoxFuture<'_, Result<Changes>>;
}

/// A key-value service with revisions, watches and leases.
pub trait StorePort: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, purpose: &'static str, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;

    /// Reads the keys with `prefix` that were changed at revision `since` or later, and the revision of the service.
    fn list<'a>(&'a self, purpose: &'static str, prefix: &'a str, since: u64)
    -> BoxFuture<'a, Result<(Vec<Row>, u64)>>;

    /// Opens a watch on the keys with `prefix` for changes after a revision.
    fn watch<'a>(
        &'a self,
        purpose: &'static str,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<Box<dyn WatchPort>>>;

    /// Carries out a transaction.
    fn commit<'a>(&'a self, purpose: &'static str, commit: &'a Commit) -> BoxFuture<'a, Result<TxnOutcome>>;

    /// Asks for a lease.
    fn grant(&self, purpose: &'static str, ttl: Duration) -> BoxFuture<'_, Result<Lease>>;

    /// Renews a lease.
    fn renew(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>>;

    /// Ends a lease.
    fn revoke(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>>;
}
