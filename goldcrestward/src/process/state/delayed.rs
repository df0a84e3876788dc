//! Changes of the site's state that take effect only after a delay, as the store may yet correct them.

use std::{collections::BTreeMap, sync::Arc};

use crate::{pb::FileOrigin, port::Instance};

/// Time for a running server to restore an entry that the store has lost.
const REMOVAL_GRACE_MS: u64 = 2_200;
/// Time for operators to write an order again that the store has lost. Orders have no heartbeat.
const ORDER_GRACE_MS: u64 = 5_000;
/// Time after a restore in which the store still lists servers that are gone: three heartbeats and the delay of a watch.
const RETURN_DELAY_MS: u64 = 4_500;

/// Changes that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Due {
    /// Servers that are gone.
    pub removed: Vec<Arc<str>>,
    /// Servers that were thought gone and are used again.
    pub returned: Vec<Instance>,
    /// Keys of orders that are withdrawn.
    pub withdrawn: Vec<String>,
}

/// Changes that are not in effect yet.
#[derive(Debug, Default)]
pub(super) struct Delayed {
    removals: BTreeMap<Arc<str>, u64>,
    returns: BTreeMap<Arc<str>, (Instance, u64)>,
    withdrawals: BTreeMap<String, u64>,
}

impl Delayed {
    pub fn is_empty(&self) -> bool {
        self.removals.is_empty() && self.returns.is_empty() && self.withdrawals.is_empty()
    }

    /// Removes a server, at once unless its entry may come back: after a restore from a copy that lacks it, or after
    /// trouble with the store. Returns the delay in ms.
    pub fn remove(&mut self, id: Arc<str>, origin: FileOrigin, store_in_trouble: bool, now: u64) -> u64 {
        self.returns.remove(&id);
        let grace = if store_in_trouble || origin == FileOrigin::Lost { REMOVAL_GRACE_MS } else { 0 };
        self.removals.insert(id, now + grace);
        grace
    }

    /// Uses a server from now on; returns it if it is to be used at once. A server that had been removed and is listed
    /// by a restored store is held back, as it may only be listed because the copy is older than its end.
    pub fn use_server(&mut self, instance: Instance, origin: FileOrigin, now: u64) -> Option<Instance> {
        self.removals.remove(&instance.id);
        if origin == FileOrigin::Reappeared {
            self.returns.insert(instance.id.clone(), (instance, now + RETURN_DELAY_MS));
            return None;
        }
        self.returns.remove(&instance.id);
        Some(instance)
    }

    /// Whether the order stays in force for now although its entry is gone, as a restore has lost it.
    pub fn keeps_order(&mut self, key: &str, origin: FileOrigin, now: u64) -> bool {
        let is_lost = origin == FileOrigin::Lost;
        if is_lost {
            self.withdrawals.insert(key.to_owned(), now + ORDER_GRACE_MS);
        }
        is_lost
    }

    /// Records that an order is in the store.
    pub fn order_written(&mut self, key: &str) {
        self.withdrawals.remove(key);
    }

    /// Takes the changes that are due.
    pub fn take_due(&mut self, now: u64) -> Due {
        let mut due = Due::default();
        self.removals.retain(|id, at| {
            let is_due = *at <= now;
            due.removed.extend(is_due.then(|| id.clone()));
            !is_due
        });
        self.returns.retain(|_, (instance, at)| {
            let is_due = *at <= now;
            due.returned.extend(is_due.then(|| instance.clone()));
            !is_due
        });
        self.withdrawals.retain(|key, at| {
            let is_due = *at <= now;
            due.withdrawn.extend(is_due.then(|| key.clone()));
            !is_due
        });
        due
    }
}

#[cfg(test)]
#[path = "delayed_test.rs"]
mod delayed_test;
