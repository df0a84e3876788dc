//! AccountCounts of requests that began to run, by account and window of time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Counts by account.
pub(crate) type AccountCounts = BTreeMap<Arc<str>, u64>;

/// What this daemon has counted, and what others have told.
#[derive(Debug)]
pub(crate) struct UsageCounts {
    /// Windows that are remembered, the present one included.
    kept: usize,
    own: BTreeMap<u64, AccountCounts>,
    /// By daemon and the start of its life, so that a restart does not hide what it counted before.
    others: HashMap<(Arc<str>, u64), BTreeMap<u64, AccountCounts>>,
}

impl UsageCounts {
    /// No counts yet, of windows that last `window` and are to be reported within `delay` of their end.
    pub fn new(window: Duration, delay: Duration) -> Self {
        Self { kept: windows_in(window, delay) + 2, own: BTreeMap::new(), others: HashMap::new() }
    }

    /// Counts a request that began to run in a window.
    pub fn count_request(&mut self, window: u64, account: &Arc<str>) {
        *self.own.entry(window).or_default().entry(account.clone()).or_default() += 1;
        while self.own.len() > self.kept {
            self.own.pop_first();
        }
    }

    /// What this daemon has counted, by window.
    pub fn own(&self) -> &BTreeMap<u64, AccountCounts> {
        &self.own
    }

    /// What each life of another daemon has counted, as far as it is known.
    pub fn others(&self) -> impl Iterator<Item = (&(Arc<str>, u64), &BTreeMap<u64, AccountCounts>)> {
        self.others.iter()
    }

    /// Takes in what a daemon has counted in a window. Counts only grow, so what was said earlier changes nothing.
    pub fn merge(&mut self, from: &Arc<str>, life: u64, window: u64, counts: AccountCounts) {
        let windows = self.others.entry((from.clone(), life)).or_default();
        let total = |counts: &AccountCounts| counts.values().sum::<u64>();
        if windows.get(&window).is_some_and(|known| total(known) >= total(&counts)) {
            return;
        }
        windows.insert(window, counts);
        while windows.len() > self.kept {
            windows.pop_first();
        }
    }

    /// The counts of all daemons in a window.
    pub fn total(&self, window: u64) -> AccountCounts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for counts in self.others.values().filter_map(|windows| windows.get(&window)) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }

    /// The window to be reported next, if it has ended: the first of all is the first that was counted.
    ///
    /// `written` is the last one that was written down, `ended` the first that has not ended, `oldest` the first
    /// whose report is not overdue.
    pub fn next_window(&self, written: Option<u64>, ended: u64, oldest: u64) -> Option<u64> {
        let counted = || self.others.values().chain([&self.own]).filter_map(|windows| windows.keys().next());
        let first = || counted().min().copied().unwrap_or(ended.saturating_sub(1));
        let next = written.map_or_else(first, |window| window + 1).max(oldest);
        (next < ended).then_some(next)
    }

    /// Time for which counts are kept.
    pub fn memory(&self, window: Duration) -> Duration {
        window * self.kept as u32
    }

    /// Forgets daemons that have counted nothing since a window.
    pub fn forget_before(&mut self, window: u64) {
        self.others.retain(|_, windows| windows.keys().next_back().is_some_and(|last| *last >= window));
    }
}

/// Windows that begin, at most, in a span of time.
pub(crate) fn windows_in(window: Duration, span: Duration) -> usize {
    span.as_millis().div_ceil(window.as_millis().max(1)) as usize
}

#[cfg(test)]
#[path = "usage_test.rs"]
mod usage_test;
