//! The budget of repeated sends, shared by all daemons.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::util::value;

/// Part of the budget that is spent; the rest covers requests that others count in another window.
const SPENT: f64 = 0.7;
/// Slots into which a window is divided.
const SLOTS: u64 = 20;

value! {
    /// How many repeated sends a pool may get.
    pub struct RetryLimit {
        /// As a part of the requests in the window.
        pub share: f64,
        /// Beside that, over all daemons.
        pub extra: f64,
        /// The window in ms.
        pub window: u64,
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Slot {
    number: u64,
    first: u32,
    again: u32,
}

/// The sends of one daemon, by pool.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    pools: HashMap<Arc<str>, VecDeque<Slot>>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, pools: HashMap::new() }
    }

    /// Counts a request for a pool.
    pub fn record_request(&mut self, pool: &Arc<str>, now: u64) {
        self.slot(pool, now).first += 1;
    }

    /// Takes one repeated send at one of `daemons`; false if none is left.
    pub fn take(&mut self, pool: &Arc<str>, daemons: usize, now: u64) -> bool {
        self.slot(pool, now);
        let slots = &self.pools[pool];
        let first: u32 = slots.iter().map(|slot| slot.first).sum();
        let again: u32 = slots.iter().map(|slot| slot.again).sum();
        let extra = self.limit.extra / daemons.max(1) as f64;
        let allowed = SPENT * (self.limit.share * f64::from(first) + extra);
        if f64::from(again + 1) > allowed {
            return false;
        }
        self.slot(pool, now).again += 1;
        true
    }

    fn slot(&mut self, pool: &Arc<str>, now: u64) -> &mut Slot {
        let number = now / (self.limit.window / SLOTS).max(1);
        let slots = self.pools.entry(pool.clone()).or_default();
        while slots.front().is_some_and(|slot| slot.number + SLOTS < number) {
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
