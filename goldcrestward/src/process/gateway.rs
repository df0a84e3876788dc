//! State that all requests to a platform's back ends share.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;

use super::{demand::DemandMeters, quota::Quotas, retries::RetryBudget, shared::Shared, usage::UsageCounts};
use crate::{
    config::{Account, QuotaUnit},
    connection::BackendConnections,
    port::{Engines, HeaderCodec, RequestMetadata},
    request::{Reason, Refusal},
};

/// State that all requests to a platform's back ends share. No two of its locks are held at once.
pub(crate) struct Gateway {
    pub shared: Arc<Shared>,
    /// Header names and formats of the platform.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Control calls to model engines.
    pub engines: Arc<dyn Engines>,
    /// Connection pool for backend servers.
    pub backend_connections: BackendConnections,
    /// Account quotas, which apply across all daemons.
    pub quotas: Mutex<Quotas>,
    /// Limits the retries of each pool over all daemons.
    pub retry_budget: Mutex<RetryBudget>,
    /// Requests that started running, counted by account.
    pub usage: Mutex<UsageCounts>,
    /// Estimated work in ms that this daemon has sent to each pool since its start.
    pub work: Mutex<BTreeMap<Arc<str>, f64>>,
    /// Work that all daemons send to each pool.
    pub demand: Mutex<DemandMeters>,
}

impl Gateway {
    pub fn new(shared: Arc<Shared>, header_codec: Arc<dyn HeaderCodec>, engines: Arc<dyn Engines>) -> Self {
        let retry_budget = RetryBudget::new(shared.settings.retries.clone());
        let usage = UsageCounts::new(shared.settings.usage_window, shared.settings.usage_delay);
        Self {
            shared,
            header_codec,
            engines,
            backend_connections: BackendConnections::default(),
            quotas: Mutex::default(),
            retry_budget: Mutex::new(retry_budget),
            usage: Mutex::new(usage),
            work: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Adds work that is sent to a pool.
    pub fn add_work(&self, pool: &Arc<str>, ms: f64) {
        *self.work.lock().entry(pool.clone()).or_default() += ms;
    }

    /// Counts a request of an account that started running.
    pub fn count_started(&self, account: &Account) {
        let window = self.shared.agreed_ms() / self.shared.settings.usage_window.as_millis().max(1) as u64;
        self.usage.lock().count_request(window, &account.name);
    }

    /// Charges a request to its account's quota and returns the units charged.
    ///
    /// # Errors
    /// Returns a refusal when the quota is used up.
    pub fn admit(&self, account: &Account, metadata: &RequestMetadata) -> Result<f64, Refusal> {
        let Some(quota) = &account.quota else { return Ok(0.0) };
        let units = match quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens(default) => {
                metadata.tokens.map_or(default as f64, |(input, output)| f64::from(input) + f64::from(output))
            }
        };
        let (daemons, now) = (self.shared.daemon_count(), self.shared.now());
        let mut quotas = self.quotas.lock();
        let charged = quotas.charge(&account.name, quota, units, daemons, now);
        if quotas.is_report_due(&account.name, quota, daemons) {
            self.shared.send_digest.notify_one();
        }
        drop(quotas);
        charged.map(|()| units).map_err(|wait| {
            let message = format!("the quota of account {} is used up", account.name);
            Refusal::not_run(Reason::TokenLimit, message).with_retry_after(wait)
        })
    }
}
