//! Retry budgets of requests to models and plain services: retries are limited to a share of a route's requests.
//! Retries of proxied requests are limited by pool instead, in `process::retries`.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;

/// Limit of a route's balance, in retries; a new route starts with it.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The retry budgets of all routes at one daemon.
///
/// Each daemon credits only the requests that it receives, so the share of retries over the whole site
/// does not depend on the number of daemons.
#[derive(Default)]
pub(crate) struct RouteRetryBudgets {
    balances: Mutex<HashMap<Arc<str>, f64>>,
}

impl RouteRetryBudgets {
    /// Credits one request: `share` is the number of retries allowed per request.
    pub fn deposit(&self, route: &Arc<str>, share: f64) {
        let mut balances = self.balances.lock();
        let balance = balances.entry(route.clone()).or_insert(MAX_SAVED_RETRIES);
        *balance = (*balance + share).min(MAX_SAVED_RETRIES);
    }

    /// Whether one retry is left in the balance.
    pub fn allows(&self, route: &Arc<str>) -> bool {
        *self.balances.lock().entry(route.clone()).or_insert(MAX_SAVED_RETRIES) >= 1.0
    }

    /// Takes one retry from the balance; returns false if less than one is left.
    pub fn withdraw(&self, route: &Arc<str>) -> bool {
        let mut balances = self.balances.lock();
        let balance = balances.entry(route.clone()).or_insert(MAX_SAVED_RETRIES);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
