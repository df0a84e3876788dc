//! Counts started requests by account and time window.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::term::UsageRecord;

/// Number of requests by account.
pub(crate) type AccountCounts = BTreeMap<Arc<str>, u64>;

/// The counts of this daemon and those reported by its peers.
#[derive(Debug)]
pub(crate) struct UsageCounts {
    /// Number of windows that are kept, the current one included.
    retained_windows: usize,
    own: BTreeMap<u64, AccountCounts>,
    /// By daemon and start of its process, so that counts from before a restart are not lost.
    others: HashMap<(Arc<str>, u64), BTreeMap<u64, AccountCounts>>,
    /// Latest counts that some daemon has stored to report them.
    recorded: Option<UsageRecord>,
}

impl UsageCounts {
    /// Creates empty counts for windows of length `window`, each to be reported within `delay` of its end.
    pub fn new(window: Duration, delay: Duration) -> Self {
        Self {
            retained_windows: windows_in(window, delay) + 2,
            own: BTreeMap::new(),
            others: HashMap::new(),
            recorded: None,
        }
    }

    /// Counts a request that started in a window.
    pub fn count_request(&mut self, window: u64, account: &Arc<str>) {
        *self.own.entry(window).or_default().entry(account.clone()).or_default() += 1;
        while self.own.len() > self.retained_windows {
            self.own.pop_first();
        }
    }

    /// This daemon's counts by window.
    pub fn own(&self) -> &BTreeMap<u64, AccountCounts> {
        &self.own
    }

    /// The known counts of other daemons, by daemon and start of its process.
    pub fn others(&self) -> impl Iterator<Item = (&(Arc<str>, u64), &BTreeMap<u64, AccountCounts>)> {
        self.others.iter()
    }

    /// Merges a daemon's counts of a window. Counts only grow, so smaller ones are outdated and ignored, and accounts
    /// that are missing keep theirs.
    pub fn merge(&mut self, from: &Arc<str>, epoch: u64, window: u64, counts: AccountCounts) {
        let windows = self.others.entry((from.clone(), epoch)).or_default();
        let known = windows.entry(window).or_default();
        for (account, count) in counts {
            let entry = known.entry(account).or_default();
            *entry = count.max(*entry);
        }
        while windows.len() > self.retained_windows {
            windows.pop_first();
        }
    }

    /// Sums a window's counts over all daemons.
    pub fn total(&self, window: u64) -> AccountCounts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for counts in self.others.values().filter_map(|windows| windows.get(&window)) {
            for (account, count) in counts {
                let sum = total.entry(account.clone()).or_default();
                *sum = count.saturating_add(*sum);
            }
        }
        total
    }

    /// Learns of counts that were stored to be reported. Those of the latest window are kept, as a restore of the store may
    /// lose them, and a window must not be reported with other counts.
    pub fn learn_record(&mut self, record: UsageRecord) {
        if self.recorded.as_ref().is_none_or(|known| known.window < record.window) {
            self.recorded = Some(record);
        }
    }

    /// The latest counts that were stored to be reported, as far as this daemon knows.
    pub fn recorded(&self) -> Option<&UsageRecord> {
        self.recorded.as_ref()
    }

    /// Returns the window to report next, if it has ended. Without an earlier record, it is the first that was counted.
    ///
    /// `last_written` is the last window on record, `first_open` the first that has not ended, and `oldest_on_time` the
    /// first whose report is not overdue.
    pub fn next_window(&self, last_written: Option<u64>, first_open: u64, oldest_on_time: u64) -> Option<u64> {
        let counted = || self.others.values().chain([&self.own]).filter_map(|windows| windows.keys().next());
        let first = || counted().min().copied().unwrap_or(first_open.saturating_sub(1));
        let next = last_written.map_or_else(first, |window| window + 1).max(oldest_on_time);
        (next < first_open).then_some(next)
    }

    /// Removes daemons without counts in `window` or later.
    pub fn forget_before(&mut self, window: u64) {
        self.others.retain(|_, windows| windows.keys().next_back().is_some_and(|last| *last >= window));
    }
}

/// Largest number of windows that can start within a time span.
pub(crate) fn windows_in(window: Duration, span: Duration) -> usize {
    span.as_millis().div_ceil(window.as_millis().max(1)) as usize
}

#[cfg(test)]
#[path = "usage_test.rs"]
mod usage_test;
