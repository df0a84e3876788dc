//! In-memory key-value service for the tests of the slot state machine.

use std::collections::BTreeMap;

use super::message::{Effect, StoreResult};
use crate::store::{Revision, Row, TxnOutcome};

#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    revision: u64,
    /// Value and revision by key.
    pub rows: BTreeMap<String, (Vec<u8>, u64)>,
    /// Revision at which a key was created, if it has been written since.
    created: BTreeMap<String, u64>,
}

impl Store {
    /// Writes a key.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.insert(key, value);
    }

    fn insert(&mut self, key: &str, value: Vec<u8>) {
        let before = self.rows.insert(key.to_owned(), (value, self.revision));
        if let Some((_, revision)) = before {
            self.created.entry(key.to_owned()).or_insert(revision);
        }
    }

    /// Executes a `Load` or `Txn` and returns its result.
    pub fn apply(&mut self, effect: &Effect) -> StoreResult {
        let Effect::Txn(compares, puts, removes) = effect else {
            let rows = self.rows.iter().map(|(key, (value, revision))| Row {
                key: key.clone(),
                value: value.clone().into(),
                revision: Revision::new(0, *revision),
                create_revision: Revision::new(0, *self.created.get(key).unwrap_or(revision)),
            });
            return StoreResult::Loaded(Ok(rows.collect()));
        };
        let at = |key: &String| self.rows.get(key).map_or(0, |(_, revision)| *revision);
        let succeeded = compares.iter().all(|c| at(&c.key) == c.revision.number());
        if succeeded {
            self.revision += 1;
            for put in puts {
                self.insert(&put.key, put.value.clone());
            }
            for key in removes {
                self.rows.remove(key);
                self.created.remove(key);
            }
        }
        StoreResult::Executed(Ok(TxnOutcome { succeeded, revision: Revision::new(0, self.revision) }))
    }
}
