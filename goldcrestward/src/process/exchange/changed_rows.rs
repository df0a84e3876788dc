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

/// A row as it was last sent.
#[derive(Debug)]
struct SentRow<V> {
    /// `None` if a recipient may not have got it.
    value: Option<V>,
    sent_at: u64,
    /// Whether it was sent as gone.
    gone: bool,
}

/// The rows that the recipients of the same messages have been sent.
#[derive(Debug)]
pub(crate) struct ChangedRows<K, V> {
    sent: HashMap<K, SentRow<V>>,
}

impl<K, V> Default for ChangedRows<K, V> {
    fn default() -> Self {
        Self { sent: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord, V: RowValue> ChangedRows<K, V> {
    /// Sends all rows again, as one of the recipients is new.
    pub fn restart(&mut self) {
        self.sent.values_mut().for_each(|row| row.value = None);
    }

    /// Returns at most `limit` rows to send at `now`: those that changed most and longest ago first, then those that
    /// are due for a refresh. A row that is gone is sent twice with the default value.
    pub fn take(&mut self, current: &BTreeMap<K, V>, limit: usize, now: u64) -> Vec<(K, V)> {
        let mut due: Vec<(f64, K)> = Vec::new();
        for (key, value) in current {
            if let Some(priority) = self.priority(key, value, now) {
                due.push((priority, key.clone()));
            }
        }
        let gone = self.sent.iter().filter(|(key, _)| !current.contains_key(key));
        due.extend(gone.filter_map(|(key, row)| {
            let is_due = !row.gone || now.saturating_sub(row.sent_at) >= REFRESH_MS;
            is_due.then(|| (f64::INFINITY, key.clone()))
        }));
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.truncate(limit);
        due.into_iter().map(|(_, key)| self.send(key, current, now)).collect()
    }

    fn priority(&self, key: &K, value: &V, now: u64) -> Option<f64> {
        let Some(row) = self.sent.get(key).filter(|row| !row.gone) else { return Some(f64::INFINITY) };
        let Some(known) = &row.value else { return Some(f64::INFINITY) };
        let (distance, age) = (value.distance(known), now.saturating_sub(row.sent_at));
        if distance > 0.0 {
            return Some((1.0 + distance) * (age + 1) as f64);
        }
        (age >= REFRESH_MS).then_some(0.0)
    }

    fn send(&mut self, key: K, current: &BTreeMap<K, V>, now: u64) -> (K, V) {
        let value = current.get(&key).cloned();
        let was_gone = self.sent.get(&key).is_some_and(|row| row.gone);
        if value.is_none() && was_gone {
            self.sent.remove(&key);
        } else {
            let row = SentRow { gone: value.is_none(), value: value.clone(), sent_at: now };
            self.sent.insert(key.clone(), row);
        }
        (key, value.unwrap_or_default())
    }
}

#[cfg(test)]
#[path = "changed_rows_test.rs"]
mod changed_rows_test;
