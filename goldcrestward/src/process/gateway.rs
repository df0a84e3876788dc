//! State that all requests to a platform's back ends share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use log::info;
use parking_lot::Mutex;

use super::{
    demand::DemandMeters,
    quota::{IsolatedQuotas, QuotaBalances, QuotaLedger, Verdict},
    replicas::Replica,
    retries::RetryBudget,
    shared::Shared,
    usage::UsageCounts,
};
use crate::{
    config::{Account, QuotaUnit},
    connection::BackendConnections,
    port::{Engines, HeaderCodec, RequestMetadata, StatedLimit},
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
    /// What this daemon knows of the account quotas, which apply across all daemons.
    pub quota_balances: Mutex<QuotaBalances>,
    /// Account quotas as the relay of the availability zone knows them.
    pub quota_ledger: Mutex<QuotaLedger>,
    /// Account quotas while no relay can be reached: this daemon's part.
    isolated_quotas: Mutex<IsolatedQuotas>,
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
            quota_balances: Mutex::default(),
            quota_ledger: Mutex::default(),
            isolated_quotas: Mutex::default(),
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

    /// Applies what an answer says about its server's rate limit.
    pub fn apply_stated_limit(&self, replica: &Replica, stated: StatedLimit, sent_ms: u64) {
        if stated == StatedLimit::Unlimited && replica.limit().per_second.is_none() {
            return;
        }
        let changes = replica.apply_stated_limit(stated, sent_ms, self.shared.agreed_ms());
        if changes {
            info!("event=server-limit-named instance={} per_second={:?}", replica.id, replica.limit().per_second);
        }
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
    pub async fn admit(&self, account: &Account, metadata: &RequestMetadata) -> Result<f64, Refusal> {
        let Some(quota) = &account.quota else { return Ok(0.0) };
        let units = match quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens(default) => {
                metadata.tokens.map_or(default as f64, |(input, output)| f64::from(input) + f64::from(output))
            }
        };
        let (daemons, now) = (self.shared.daemon_count(), self.shared.now());
        let verdict = {
            let mut balances = self.quota_balances.lock();
            let verdict = balances.charge(&account.name, quota, units, now);
            if balances.is_report_due(&account.name, quota, daemons) {
                self.shared.report_due.notify_one();
            }
            verdict
        };
        let basis = match verdict {
            Verdict::Admitted => return Ok(units),
            Verdict::AskRelay(left, age) => format!("about {left:.0} of {:.0} were left {age} ms ago", quota.burst),
            Verdict::NoRelay => "no relay of the availability zone is heard".to_owned(),
        };
        let decided = match self.charge_at_relay(account, units, now).await {
            Some(decided) => decided,
            None => {
                let last_level = self.quota_balances.lock().last_level(&account.name);
                let charged = self.isolated_quotas.lock().charge(&account.name, quota, units, daemons, last_level, now);
                if charged.is_ok() {
                    self.quota_balances.lock().record(&account.name, units);
                }
                charged
            }
        };
        decided.map(|()| units).map_err(|wait| {
            let message = format!("the quota of account {} cannot bear {units:.0} units: {basis}", account.name);
            Refusal::not_run(Reason::TokenLimit, message).with_retry_after(wait)
        })
    }

    /// Charges a request at the relay of the zone; `None` if no relay decides in time.
    async fn charge_at_relay(&self, account: &Account, units: f64, now: u64) -> Option<Result<(), Duration>> {
        let exchange = self.shared.exchange.get()?;
        match exchange.quota_relay(now).ok()? {
            None => exchange.charge_as_relay(&account.name, units),
            Some(address) => exchange.ask_relay(self, address, &account.name, units).await,
        }
    }
}
