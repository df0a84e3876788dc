//! Retry budgets: retries as a share of a route's requests.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;

/// Retries that a route may save up.
const SAVED: f64 = 10.0;

/// The retry budgets of all routes at one daemon.
///
/// A budget grows with the requests that this daemon sees, so the site's retries stay
/// the same share of its requests however many daemons there are.
#[derive(Default)]
pub(crate) struct RouteRetryBudgets {
    saved: Mutex<HashMap<Arc<str>, f64>>,
}

impl RouteRetryBudgets {
    /// Adds the share that one more request earns.
    pub fn deposit(&self, route: &Arc<str>, share: f64) {
        let mut saved = self.saved.lock();
        let saved = saved.entry(route.clone()).or_insert(SAVED);
        *saved = (*saved + share).min(SAVED);
    }

    /// Takes one retry; false if none is left.
    pub fn withdraw(&self, route: &Arc<str>) -> bool {
        let mut saved = self.saved.lock();
        let saved = saved.entry(route.clone()).or_insert(SAVED);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
