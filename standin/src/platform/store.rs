//! The data of the key-value store: revisions, transactions, leases and a history for watches.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Events kept for watches that start at an earlier revision.
const HISTORY_EVENTS: usize = 100_000;

/// One key's present value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Revision at which the key was created.
    pub create: i64,
    /// Revision of the last change.
    pub modified: i64,
    /// Number of changes since creation.
    pub version: i64,
    /// The bytes stored.
    pub value: Vec<u8>,
    /// Lease that keeps the key, zero for none.
    pub lease: i64,
}

/// A change as a watch sees it.
#[derive(Clone, Debug)]
pub struct Event {
    /// The key changed.
    pub key: Vec<u8>,
    /// The new entry, `None` after a deletion.
    pub entry: Option<Entry>,
    /// Revision of the change.
    pub revision: i64,
}

/// A condition of a transaction.
#[derive(Clone, Debug)]
pub struct Compare {
    /// The key looked at.
    pub key: Vec<u8>,
    /// The modification revision expected, zero for a key that does not exist.
    pub modified: i64,
}

/// A step of a transaction.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Stores a value.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The lease, zero for none.
        lease: i64,
    },
    /// Removes the keys from `key` up to `end`.
    Delete {
        /// First key.
        key: Vec<u8>,
        /// End of the range, empty for the one key.
        end: Vec<u8>,
    },
    /// Reads the keys from `key` up to `end`.
    Range {
        /// First key.
        key: Vec<u8>,
        /// End of the range, empty for the one key.
        end: Vec<u8>,
    },
}

/// Keys and values read by one operation.
pub type Rows = Vec<(Vec<u8>, Entry)>;

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// The whole store.
#[derive(Default)]
pub struct Store {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Event>,
}

impl Store {
    /// The latest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Rows from `key` up to `end`, changed at `since` or later.
    pub fn range(&self, key: &[u8], end: &[u8], since: i64) -> Rows {
        let keep = |entry: &Entry| entry.modified >= since;
        if end.is_empty() {
            let row = self.entries.get(key).filter(|e| keep(e));
            return row.map(|e| (key.to_vec(), e.clone())).into_iter().collect();
        }
        self.entries
            .range(key.to_vec()..end.to_vec())
            .filter(|(_, e)| keep(e))
            .map(|(k, e)| (k.clone(), e.clone()))
            .collect()
    }

    /// Runs a transaction: `success` if all compares hold, else `failure`.
    pub fn transact(
        &mut self,
        compares: &[Compare],
        success: &[Operation],
        failure: &[Operation],
    ) -> (bool, Vec<Rows>) {
        let holds = compares.iter().all(|c| self.modified(&c.key) == c.modified);
        let steps = if holds { success } else { failure };
        let writes = steps.iter().any(|s| !matches!(s, Operation::Range { .. }));
        if writes {
            self.revision += 1;
        }
        (holds, steps.iter().map(|step| self.apply(step)).collect())
    }

    /// Grants a lease and gives its number.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let expires = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        self.next_lease
    }

    /// Renews a lease; false if it has lapsed.
    pub fn renew(&mut self, lease: i64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self.entries.iter().filter(|(_, e)| e.lease == lease).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        keys.into_iter().for_each(|key| self.remove(key));
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<_> = self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(k, _)| *k).collect();
        lapsed.into_iter().for_each(|lease| self.revoke(lease));
    }

    /// Events from revision `from` on within a range.
    pub fn events(&self, key: &[u8], end: &[u8], from: i64) -> Vec<Event> {
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
        self.history.iter().filter(|e| e.revision >= from && inside(&e.key)).cloned().collect()
    }

    fn modified(&self, key: &[u8]) -> i64 {
        self.entries.get(key).map_or(0, |e| e.modified)
    }

    fn apply(&mut self, step: &Operation) -> Rows {
        match step {
            Operation::Range { key, end } => return self.range(key, end, 0),
            Operation::Put { key, value, lease } => self.put(key.clone(), value.clone(), *lease),
            Operation::Delete { key, end } => {
                let keys: Vec<_> = self.range(key, end, 0).into_iter().map(|(k, _)| k).collect();
                keys.into_iter().for_each(|key| self.remove(key));
            }
        }
        Rows::new()
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let revision = self.revision;
        let old = self.entries.get(&key);
        let entry = Entry {
            create: old.map_or(revision, |e| e.create),
            modified: revision,
            version: old.map_or(1, |e| e.version + 1),
            value,
            lease,
        };
        self.entries.insert(key.clone(), entry.clone());
        self.record(Event { key, entry: Some(entry), revision });
    }

    fn remove(&mut self, key: Vec<u8>) {
        self.entries.remove(&key);
        let revision = self.revision;
        self.record(Event { key, entry: None, revision });
    }

    fn record(&mut self, event: Event) {
        if self.history.len() == HISTORY_EVENTS {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }
}
