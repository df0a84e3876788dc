//! Selects the rows of a table that a recipient lacks, so that messages carry changes and no copies of the table.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// Time after which an unchanged row is sent again, as the message that carried it may have been lost.
const REFRESH_MS: u64 = 1_000;

/// A row's value. The default value stands for a row that the table does not contain.
pub(crate) trait RowValue: Clone + Default {
    /// How much a recipient gains from learning `self` in place of `known`; 0 if they are equal.
    fn distance(&self, known: &Self) -> f64;
}

/// The rows that one recipient has been sent.
#[derive(Debug)]
pub(crate) struct ChangedRows<K, V> {
    sent: HashMap<K, (V, u64)>,
}

impl<K, V> Default for ChangedRows<K, V> {
    fn default() -> Self {
        Self { sent: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord, V: RowValue> ChangedRows<K, V> {
    /// Returns at most `limit` rows to send at `now`: those that changed most and longest ago first, then those that
    /// are due for a refresh. A row that is gone is sent once with the default value.
    pub fn take(&mut self, current: &BTreeMap<K, V>, limit: usize, now: u64) -> Vec<(K, V)> {
        let mut due: Vec<(f64, &K)> = Vec::new();
        for (key, value) in current {
            match self.sent.get(key) {
                None => due.push((f64::INFINITY, key)),
                Some((known, sent_at)) => {
                    let (distance, age) = (value.distance(known), now.saturating_sub(*sent_at));
                    if distance > 0.0 {
                        due.push((distance * (age + 1) as f64, key));
                    } else if age >= REFRESH_MS {
                        due.push((0.0, key));
                    }
                }
            }
        }
        let gone: Vec<K> = self.sent.keys().filter(|key| !current.contains_key(key)).cloned().collect();
        due.extend(gone.iter().map(|key| (f64::INFINITY, key)));
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let mut rows = Vec::new();
        for (_, key) in due.into_iter().take(limit) {
            let value = current.get(key).cloned().unwrap_or_default();
            if current.contains_key(key) {
                self.sent.insert(key.clone(), (value.clone(), now));
            } else {
                self.sent.remove(key);
            }
            rows.push((key.clone(), value));
        }
        rows
    }
}

#[cfg(test)]
#[path = "changed_rows_test.rs"]
mod changed_rows_test;
