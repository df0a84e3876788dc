//! In-memory key-value service for tests of its callers.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;

use super::{
    Lease, Page, Result, Revision, Row, StorePort, Txn, TxnOutcome, WatchPort,
    error::{Cause, UnreachedSnafu},
};

/// Rows by key and the revision of the whole store. Watches are not supported.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    rows: Mutex<(Revision, BTreeMap<String, Row>)>,
    leases: AtomicU64,
}

impl MemoryStore {
    fn apply(&self, txn: &Txn) -> TxnOutcome {
        let (revision, rows) = &mut *self.rows.lock();
        let at = |key: &String| rows.get(key).map_or(Revision::NONE, |row| row.revision);
        if txn.compares.iter().any(|compare| at(&compare.key) != compare.revision) {
            return TxnOutcome { succeeded: false, revision: *revision };
        }
        *revision = Revision::new(0, revision.number() + 1);
        for put in &txn.puts {
            let create_revision = rows.get(&put.key).map_or(*revision, |row| row.create_revision);
            let (key, value) = (put.key.clone(), put.value.clone().into());
            rows.insert(put.key.clone(), Row { key, value, revision: *revision, create_revision });
        }
        for key in &txn.removes {
            rows.remove(key);
        }
        TxnOutcome { succeeded: true, revision: *revision }
    }
}

impl StorePort for MemoryStore {
    fn get<'a>(&'a self, _purpose: &'static str, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move { Ok(self.rows.lock().1.get(key).cloned()) })
    }

    fn list_page<'a>(
        &'a self,
        _purpose: &'static str,
        prefix: &'a str,
        since: Revision,
        _after: &'a str,
    ) -> BoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            let (revision, rows) = &*self.rows.lock();
            let wanted = rows.values().filter(|row| row.key.starts_with(prefix) && row.revision >= since);
            Ok(Page { rows: wanted.cloned().collect(), revision: *revision, next: None })
        })
    }

    fn watch<'a>(
        &'a self,
        _purpose: &'static str,
        _prefix: &'a str,
        _after: Revision,
    ) -> BoxFuture<'a, Result<Box<dyn WatchPort>>> {
        Box::pin(async { UnreachedSnafu { service: "memory", cause: Cause::Refused }.fail() })
    }

    fn txn<'a>(&'a self, _purpose: &'static str, txn: &'a Txn) -> BoxFuture<'a, Result<TxnOutcome>> {
        Box::pin(async move { Ok(self.apply(txn)) })
    }

    fn grant(&self, _purpose: &'static str, ttl: Duration) -> BoxFuture<'_, Result<Lease>> {
        Box::pin(async move { Ok(Lease { id: self.leases.fetch_add(1, Ordering::Relaxed) + 1, ttl }) })
    }

    fn renew(&self, _purpose: &'static str, _lease: u64) -> BoxFuture<'_, Result<()>> {
        Box::pin(async { Ok(()) })
    }

    fn revoke(&self, _purpose: &'static str, _lease: u64) -> BoxFuture<'_, Result<()>> {
        Box::pin(async { Ok(()) })
    }
}
