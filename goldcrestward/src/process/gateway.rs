//! State that all requests to a platform's back ends share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use log::{info, warn};
use parking_lot::Mutex;
use tokio::sync::Semaphore;

use super::{
    demand::DemandMeters,
    duty::own_key,
    kept_spans::KeptSpans,
    limit_facts::publish_limit,
    quota::{IsolatedQuotas, QuotaBalances, QuotaCharge, QuotaLedger, Verdict},
    reach::{Helpers, MAX_SEARCHES, Probes, ReachTable},
    replicas::Replica,
    retries::RetryBudget,
    send_limits::{IsolatedSends, SendLimits},
    shared::Shared,
    usage::UsageCounts,
};
use crate::{
    config::{Account, QuotaUnit},
    connection::BackendConnections,
    logs::is_sampled,
    port::{Engines, HeaderCodec, RequestMetadata, StatedHold, StatedLimit},
    request::{Reason, Refusal},
    util::{stable_hash, unix_ms},
};

/// Time within which a relay must answer whether a request may be sent to a replica: one of this zone, and one of another.
const NEAR_RELAY_TIMEOUT: Duration = Duration::from_millis(25);
const FAR_RELAY_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for which a replica is not offered, as its limit may be raised meanwhile.
const MAX_BLOCK_MS: u64 = 2_000;

/// Response heads at once that are read although their callers have gone; each has 64 KiB at most.
const MAX_UNHEARD_HEADS: usize = 32;

/// Requests sent to a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentWork {
    /// Estimated work in ms.
    pub ms: f64,
    pub requests: u64,
}

/// State that all requests to a platform's back ends share. No two of its locks are held at once.
pub(crate) struct Gateway {
    pub shared: Arc<Shared>,
    /// Header names and formats of the platform.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Control calls to model engines.
    pub engines: Arc<dyn Engines>,
    /// Connection pool for backend servers.
    pub backend_connections: BackendConnections,
    /// Which servers this daemon reaches.
    pub reach: Mutex<ReachTable>,
    /// Attempts to reach servers by itself.
    pub(super) probes: Mutex<Probes>,
    /// Which peers may open connections to those that it does not.
    pub helpers: Mutex<Helpers>,
    /// Limits the searches for such a peer.
    pub(super) tunnel_searches: Semaphore,
    /// Limits the response heads that are read although their callers have gone.
    pub unheard_heads: Arc<Semaphore>,
    /// What this daemon knows of the account quotas, which apply across all daemons.
    pub quota_balances: Arc<Mutex<QuotaBalances>>,
    /// Account quotas as the relay of the availability zone knows them.
    pub quota_ledger: Mutex<QuotaLedger>,
    /// Account quotas while no relay can be reached: this daemon's part.
    isolated_quotas: Mutex<IsolatedQuotas>,
    /// Requests to replicas with a rate limit that this daemon grants as the relay of the availability zone.
    pub send_limits: Mutex<SendLimits>,
    /// Its share of the rate limits of replicas while no relay can be reached.
    isolated_sends: Mutex<IsolatedSends>,
    /// Limits the retries of each pool over all daemons.
    pub retry_budget: Mutex<RetryBudget>,
    /// Requests that started running, counted by account.
    pub usage: Mutex<UsageCounts>,
    /// When this daemon has learnt all that the daemons of a zone counted.
    pub kept_spans: Mutex<KeptSpans>,
    /// Work that this daemon has sent to each pool since its start.
    pub work: Mutex<BTreeMap<Arc<str>, SentWork>>,
    /// Work that all daemons send to each pool.
    pub demand: Mutex<DemandMeters>,
}

impl Gateway {
    pub fn new(shared: Arc<Shared>, header_codec: Arc<dyn HeaderCodec>, engines: Arc<dyn Engines>) -> Self {
        let retry_budget = RetryBudget::new(shared.settings.retries.clone());
        let seed = stable_hash(&[shared.settings.name.as_bytes()]);
        let usage = UsageCounts::new(shared.settings.usage_window, shared.settings.usage_delay);
        let backend_connections = BackendConnections::new(shared.metrics.backend_connects.clone());
        Self {
            shared,
            header_codec,
            engines,
            backend_connections,
            reach: Mutex::default(),
            probes: Mutex::default(),
            helpers: Mutex::default(),
            tunnel_searches: Semaphore::new(MAX_SEARCHES),
            unheard_heads: Arc::new(Semaphore::new(MAX_UNHEARD_HEADS)),
            quota_balances: Arc::default(),
            quota_ledger: Mutex::default(),
            isolated_quotas: Mutex::default(),
            send_limits: Mutex::new(SendLimits::new(0)),
            isolated_sends: Mutex::new(IsolatedSends::new(seed)),
            retry_budget: Mutex::new(retry_budget),
            usage: Mutex::new(usage),
            kept_spans: Mutex::default(),
            work: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Adds work that is sent to a pool.
    pub fn add_work(&self, pool: &Arc<str>, ms: f64) {
        let mut work = self.work.lock();
        let sent = work.entry(pool.clone()).or_default();
        sent.ms += ms;
        sent.requests += 1;
    }

    /// Mean work of a request to a pool in ms, if there were any.
    pub fn mean_work_ms(&self, pool: &str) -> Option<f64> {
        let work = self.work.lock();
        work.get(pool).filter(|sent| sent.requests > 0).map(|sent| sent.ms / sent.requests as f64)
    }

    /// Learns of the last record of usage that the store has shown to this daemon; a restore may have lost it since.
    pub fn learn_stored_record(&self) {
        let key = own_key(&self.shared.settings.site, "usage");
        let last_text = self.shared.config.lock().last_text(&key);
        if let Some(record) = last_text.and_then(|text| serde_json::from_str(&text).ok()) {
            self.usage.lock().learn_record(record);
        }
    }

    /// Applies what an answer says about its server's rate limit.
    pub fn apply_stated_limit(&self, replica: &Replica, stated: StatedLimit, sent_ms: u64) {
        if stated == StatedLimit::Unlimited && replica.limit().per_second.is_none() {
            return;
        }
        let before = replica.limit();
        replica.apply_stated_limit(stated, sent_ms, self.shared.agreed_ms());
        let after = replica.limit();
        if after.is_news(&before) {
            info!("event=rate-limit-named instance={} per_second={:?}", replica.id, after.per_second);
            publish_limit(&self.shared, replica);
        }
    }

    /// Applies the time for which a server wants nothing, as the refusal of request `id` says.
    pub fn apply_stated_hold(&self, id: &str, replica: &Replica, stated: StatedHold) {
        let instance = &replica.id;
        let (seconds, until) = match stated {
            StatedHold::None => return,
            StatedHold::Seconds(seconds) => {
                (Some(seconds), replica.hold(Duration::from_secs(seconds), self.shared.now()))
            }
            StatedHold::Unreadable => (None, None),
        };
        let result = if until.is_some() { "applied" } else { "refused" };
        self.shared.metrics.holds.with_label_values(&[result]).inc();
        let Some(until) = until else {
            warn!("event=hold-refused id={id} instance={instance} seconds={seconds:?}");
            return;
        };
        let left_ms = until.saturating_sub(self.shared.now());
        let until_unix_ms = unix_ms() + left_ms;
        info!(
            "event=server-held id={id} instance={instance} seconds={seconds:?} left_ms={left_ms} until_unix_ms={until_unix_ms}"
        );
    }

    /// Charges a request to the rate limit that its server has named, if it has.
    ///
    /// # Errors
    /// Returns the time after which the server takes another request; until then it is not offered.
    pub async fn admit_to_server(&self, id: &str, replica: &Replica) -> Result<(), Duration> {
        let limit = replica.limit();
        let Some(per_second) = limit.per_second else { return Ok(()) };
        let (run, now) = (replica.run_hash(), self.shared.now());
        let (decided, by) = match self.charge_send_at_relay(replica, run, per_second, now).await {
            Some(decided) => {
                self.isolated_sends.lock().record_answer(&replica.zone);
                (decided, "relay")
            }
            None => {
                let daemons = self.shared.daemon_count();
                let limit = (run, per_second);
                (self.isolated_sends.lock().charge(&replica.zone, limit, daemons, now), "own-share")
            }
        };
        let result = if decided.is_ok() { "granted" } else { "refused" };
        self.shared.metrics.send_grants.with_label_values(&[by, result]).inc();
        if is_sampled(id) {
            let (instance, age) = (&replica.id, self.shared.agreed_ms().saturating_sub(limit.named_ms));
            info!("event=send-{result} id={id} instance={instance} limit={per_second} limit_age_ms={age} by={by}");
        }
        if let Err(wait) = decided {
            replica.block_until(now + u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).min(MAX_BLOCK_MS));
        }
        decided
    }

    /// Charges a request at the relay that decides on the replica's limit; `None` if none decides in time.
    async fn charge_send_at_relay(
        &self,
        replica: &Replica,
        run: u64,
        per_second: f64,
        now: u64,
    ) -> Option<Result<(), Duration>> {
        let exchange = self.shared.exchange.get()?;
        match exchange.send_relay(&self.shared.settings.zone, &replica.zone, run, now).ok()? {
            (None, _) => exchange.charge_send_as_relay(run, per_second),
            (Some(address), is_near) => {
                let limit = if is_near { NEAR_RELAY_TIMEOUT } else { FAR_RELAY_TIMEOUT };
                exchange.ask_send(self, address, limit, (run, per_second)).await
            }
        }
    }

    /// Counts a request of an account that started running.
    pub fn count_started(&self, account: &Account) {
        let window = self.shared.agreed_ms() / self.shared.settings.usage_window.as_millis().max(1) as u64;
        self.usage.lock().count_request(window, &account.name);
    }

    /// Charges a request to its account's quota, if the account has one.
    ///
    /// # Errors
    /// Returns a refusal when the quota is used up.
    pub async fn admit(
        self: &Arc<Self>,
        account: &Arc<Account>,
        metadata: &RequestMetadata,
    ) -> Result<Option<QuotaCharge>, Refusal> {
        let Some(quota) = &account.quota else { return Ok(None) };
        let units = match quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens(default) => {
                metadata.tokens.map_or(default as f64, |(input, output)| f64::from(input) + f64::from(output))
            }
        };
        let (daemons, now) = (self.shared.daemon_count(), self.shared.now());
        let verdict = {
            let mut balances = self.quota_balances.lock();
            let verdict = balances.charge(&account.name, quota, units, daemons, now);
            if balances.is_report_due(&account.name, quota, daemons) {
                self.shared.report_due.notify_one();
            }
            verdict
        };
        let charge = || QuotaCharge::new(self.quota_balances.clone(), account.name.clone(), units);
        let basis = match verdict {
            Verdict::Admitted => return Ok(Some(charge())),
            Verdict::AskRelay(left, age) => format!("about {left:.0} of {:.0} were left {age} ms ago", quota.burst),
            Verdict::NoRelay => "no relay of the availability zone is heard".to_owned(),
        };
        let ask = {
            let (gateway, account) = (self.clone(), account.clone());
            async move { gateway.charge_at_relay(&account, units, now).await }
        };
        let balances = self.quota_balances.clone();
        let decided = match QuotaCharge::grant_by(balances, account.name.clone(), units, ask).await {
            Some(decided) => decided,
            None => {
                let last_level = self.quota_balances.lock().last_level(&account.name);
                let charged = self.isolated_quotas.lock().charge(&account.name, quota, units, daemons, last_level, now);
                if charged.is_ok() {
                    self.quota_balances.lock().record(&account.name, units);
                }
                charged.map(|()| charge())
            }
        };
        decided.map(Some).map_err(|wait| {
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
