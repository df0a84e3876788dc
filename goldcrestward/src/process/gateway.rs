//! What requests that are passed through share.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;

use super::{demand::DemandMeters, quota::Quotas, retries::RetryBudget, shared::Shared, usage::UsageCounts};
use crate::{
    config::{Account, QuotaUnit},
    connection::BackendLinks,
    port::{Engines, HeaderCodec, RequestMetadata},
    request::{Reason, Refusal},
};

/// What requests that are passed through share. Its locks are taken one at a time.
pub(crate) struct Gateway {
    /// The daemon's tables.
    pub shared: Arc<Shared>,
    /// Names and formats of headers.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Orders to model engines.
    pub engines: Arc<dyn Engines>,
    /// Kept connections to backend servers.
    pub links: BackendLinks,
    /// Quotas of accounts over all daemons.
    pub quotas: Mutex<Quotas>,
    /// The budget of repeated sends.
    pub retries: Mutex<RetryBudget>,
    /// Requests that began to run.
    pub usage: Mutex<UsageCounts>,
    /// Work in ms given to each pool since the start.
    pub work: Mutex<BTreeMap<Arc<str>, f64>>,
    /// The work that all daemons give to pools.
    pub demand: Mutex<DemandMeters>,
}

impl Gateway {
    /// Tables in which nothing has been counted.
    pub fn new(shared: Arc<Shared>, header_codec: Arc<dyn HeaderCodec>, engines: Arc<dyn Engines>) -> Self {
        let retries = RetryBudget::new(shared.settings.retries.clone());
        let usage = UsageCounts::new(shared.settings.usage_window, shared.settings.usage_delay);
        Self {
            shared,
            header_codec,
            engines,
            links: BackendLinks::default(),
            quotas: Mutex::default(),
            retries: Mutex::new(retries),
            usage: Mutex::new(usage),
            work: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Counts work that is given to a pool.
    pub fn works(&self, pool: &Arc<str>, ms: f64) {
        *self.work.lock().entry(pool.clone()).or_default() += ms;
    }

    /// Counts a request of an account that began to run.
    pub fn began(&self, account: &Account) {
        let window = self.shared.agreed_ms() / self.shared.settings.usage_window.as_millis().max(1) as u64;
        self.usage.lock().began(window, &account.name);
    }

    /// Takes a request's part of its account's quota; gives the units taken.
    ///
    /// # Errors
    /// Gives the refusal when the quota is used up.
    pub fn admit(&self, account: &Account, metadata: &RequestMetadata) -> Result<f64, Refusal> {
        let Some(quota) = &account.quota else { return Ok(0.0) };
        let units = match quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens(plain) => {
                metadata.tokens.map_or(plain as f64, |(input, output)| f64::from(input) + f64::from(output))
            }
        };
        let (daemons, now) = (self.shared.present(), self.shared.now());
        let mut quotas = self.quotas.lock();
        let taken = quotas.take(&account.name, quota, units, daemons, now);
        if quotas.is_news(&account.name, quota, daemons) {
            self.shared.tell_peers.notify_one();
        }
        drop(quotas);
        taken.map(|()| units).map_err(|wait| {
            let message = format!("the quota of account {} is used up", account.name);
            Refusal::not_run(Reason::TokenLimit, message).with_retry_after(wait)
        })
    }
}
