//! The key-value store: revisions, transactions, leases and an event history for watches.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Events kept for watches that start at an earlier revision. Older events are dropped.
const MAX_HISTORY_EVENTS: usize = 100_000;

/// Current value of a key.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Revision at which the key was created.
    pub create_revision: i64,
    /// Revision of the last change.
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    pub version: i64,
    pub value: Vec<u8>,
    /// Lease that the key is attached to, zero for none.
    pub lease: i64,
}

/// Change of a key, as reported to watches.
#[derive(Clone, Debug)]
pub struct Event {
    pub key: Vec<u8>,
    /// The new entry, `None` after a deletion.
    pub entry: Option<Entry>,
    /// Revision of the change.
    pub revision: i64,
}

/// Condition of a transaction.
#[derive(Clone, Debug)]
pub struct Compare {
    pub key: Vec<u8>,
    /// Expected modification revision, zero for a key that does not exist.
    pub mod_revision: i64,
}

/// Operation of a transaction.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Stores a value.
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        /// Lease to attach the key to, zero for none.
        lease: i64,
    },
    /// Deletes the keys from `key` up to but not including `end`.
    Delete {
        /// First key.
        key: Vec<u8>,
        /// End of the range, exclusive; empty for the single key.
        end: Vec<u8>,
    },
    /// Reads the keys from `key` up to but not including `end`.
    Range {
        /// First key.
        key: Vec<u8>,
        /// End of the range, exclusive; empty for the single key.
        end: Vec<u8>,
    },
}

/// Keys and values read by one operation.
pub type Rows = Vec<(Vec<u8>, Entry)>;

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

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

    /// Entries from `key` up to but not including `end`, or of the single key if `end` is
    /// empty, that were changed at revision `since` or later.
    pub fn range(&self, key: &[u8], end: &[u8], since: i64) -> Rows {
        let is_recent = |entry: &Entry| entry.mod_revision >= since;
        if end.is_empty() {
            let row = self.entries.get(key).filter(|e| is_recent(e));
            return row.map(|e| (key.to_vec(), e.clone())).into_iter().collect();
        }
        self.entries
            .range(key.to_vec()..end.to_vec())
            .filter(|(_, e)| is_recent(e))
            .map(|(k, e)| (k.clone(), e.clone()))
            .collect()
    }

    /// Runs a transaction: `success` if all compares hold, otherwise `failure`. Returns whether
    /// they held and the entries that each operation read.
    pub fn transact(
        &mut self,
        compares: &[Compare],
        success: &[Operation],
        failure: &[Operation],
    ) -> (bool, Vec<Rows>) {
        let succeeded = compares.iter().all(|c| self.mod_revision(&c.key) == c.mod_revision);
        let operations = if succeeded { success } else { failure };
        let has_writes = operations.iter().any(|o| !matches!(o, Operation::Range { .. }));
        if has_writes {
            self.revision += 1;
        }
        (succeeded, operations.iter().map(|operation| self.apply(operation)).collect())
    }

    /// Grants a lease and returns its identifier.
    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires_at });
        self.next_lease
    }

    /// Renews a lease. Returns false if it has expired or was revoked.
    pub fn renew_lease(&mut self, lease: i64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and deletes the keys attached to it.
    pub fn revoke_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self.entries.iter().filter(|(_, e)| e.lease == lease).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        keys.into_iter().for_each(|key| self.delete(key));
    }

    /// Revokes the leases that have expired.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<_> = self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(k, _)| *k).collect();
        expired.into_iter().for_each(|lease| self.revoke_lease(lease));
    }

    /// Events of a range of keys from revision `from` on.
    pub fn events(&self, key: &[u8], end: &[u8], from: i64) -> Vec<Event> {
        let in_range = |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
        self.history.iter().filter(|e| e.revision >= from && in_range(&e.key)).cloned().collect()
    }

    fn mod_revision(&self, key: &[u8]) -> i64 {
        self.entries.get(key).map_or(0, |e| e.mod_revision)
    }

    fn apply(&mut self, operation: &Operation) -> Rows {
        match operation {
            Operation::Range { key, end } => return self.range(key, end, 0),
            Operation::Put { key, value, lease } => self.put(key.clone(), value.clone(), *lease),
            Operation::Delete { key, end } => {
                let keys: Vec<_> = self.range(key, end, 0).into_iter().map(|(k, _)| k).collect();
                keys.into_iter().for_each(|key| self.delete(key));
            }
        }
        Rows::new()
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let revision = self.revision;
        let previous = self.entries.get(&key);
        let entry = Entry {
            create_revision: previous.map_or(revision, |e| e.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |e| e.version + 1),
            value,
            lease,
        };
        self.entries.insert(key.clone(), entry.clone());
        self.append_event(Event { key, entry: Some(entry), revision });
    }

    fn delete(&mut self, key: Vec<u8>) {
        self.entries.remove(&key);
        let revision = self.revision;
        self.append_event(Event { key, entry: None, revision });
    }

    fn append_event(&mut self, event: Event) {
        if self.history.len() == MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }
}
