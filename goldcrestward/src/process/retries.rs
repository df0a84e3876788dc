//! Retry budgets of pools, which apply over all daemons. Those of routes are separate: see `RouteRetryBudgets`.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::util::derive_value_traits;

/// Fraction of the budget that may be withdrawn; the rest covers requests that other daemons count in another window.
const USABLE_FRACTION: f64 = 0.7;
/// Slots into which a window is divided.
const SLOTS_PER_WINDOW: u64 = 20;

derive_value_traits! {
    /// Limit on the retries of a pool.
    pub struct RetryLimit {
        /// Allowed retries as a share of the requests in the window.
        pub share: f64,
        /// Retries allowed in addition, over all daemons.
        pub extra: f64,
        /// The window in ms.
        pub window: u64,
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The retry budget of each pool: requests and retries that this daemon has sent.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    pools: HashMap<Arc<str>, VecDeque<Slot>>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, pools: HashMap::new() }
    }

    /// Counts a request; the budget allows retries in proportion to requests.
    pub fn record_request(&mut self, pool: &Arc<str>, now: u64) {
        self.current_slot(pool, now).requests += 1;
    }

    /// Withdraws one retry from the budget; false if none is left. `daemons` is the number of daemons in the site.
    pub fn withdraw(&mut self, pool: &Arc<str>, daemons: usize, now: u64) -> bool {
        let allows = self.allows(pool, daemons, now);
        self.current_slot(pool, now).retries += u32::from(allows);
        allows
    }

    /// Whether a retry is left in the budget.
    pub fn allows(&mut self, pool: &Arc<str>, daemons: usize, now: u64) -> bool {
        self.current_slot(pool, now);
        let slots = &self.pools[pool];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = slots.iter().map(|slot| slot.retries).sum();
        let extra = self.limit.extra / daemons.max(1) as f64;
        let allowed = USABLE_FRACTION * (self.limit.share * f64::from(requests) + extra);
        f64::from(retries + 1) <= allowed
    }

    fn current_slot(&mut self, pool: &Arc<str>, now: u64) -> &mut Slot {
        let number = now / (self.limit.window / SLOTS_PER_WINDOW).max(1);
        let slots = self.pools.entry(pool.clone()).or_default();
        while slots.front().is_some_and(|slot| slot.number + SLOTS_PER_WINDOW < number) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| slot.number != number) {
            slots.push_back(Slot { number, ..Slot::default() });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}

#[cfg(test)]
#[path = "retries_test.rs"]
mod retries_test;
