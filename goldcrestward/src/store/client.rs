//! Client of the key-value service.
//!
//! Every call of a daemon goes through one [`Kv`], which counts it by purpose, sets a time limit,
//! and pauses calls after repeated failures.

use std::{future::Future, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use log::{info, warn};
use prometheus::{IntCounter, IntCounterVec};
use tokio::{sync::watch, time::timeout};

use super::{
    breaker::CircuitBreaker,
    error::{BudgetSnafu, Cause, Result, UnansweredSnafu},
    history::History,
    listing::Listing,
    port::{Changes, Lease, Row, StorePort, Txn, TxnOutcome, WatchPort},
    revision::Revision,
};

const SERVICE: &str = "key-value service";
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest pause after repeated failures.
const MAX_PAUSE_MS: u64 = 1_000;
/// The same for readings of the site's state and configuration, whose time is limited, and which pause by themselves.
const MAX_STATE_PAUSE_MS: u64 = 250;

/// What a call is for, as counted in the metrics and passed to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Reading and accepting configuration.
    Config,
    /// The list of daemons to join.
    Seeds,
    /// The ledger of requests that must not run twice.
    Ledger,
    /// Rollouts of new versions.
    Rollout,
    /// The state of the site: configuration, backend servers and orders.
    Site,
    /// The lease on the duties that one daemon performs for the site.
    Duty,
    /// Verdicts on prompt parts that crash replicas.
    Verdicts,
}

impl Purpose {
    /// Name in metric labels and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Seeds => "seeds",
            Self::Ledger => "ledger",
            Self::Rollout => "rollout",
            Self::Site => "site",
            Self::Duty => "duty",
            Self::Verdicts => "verdicts",
        }
    }
}

/// Client of the key-value service; clones share the circuit breakers.
#[derive(Clone)]
pub(crate) struct Kv {
    port: Arc<dyn StorePort>,
    calls: IntCounterVec,
    restores: IntCounter,
    breaker: Arc<CircuitBreaker>,
    state_breaker: Arc<CircuitBreaker>,
    history: Arc<watch::Sender<History>>,
}

impl Kv {
    /// Creates a client over `port`; `calls` counts by kind, purpose and result, `restores` counts noticed restores.
    pub fn new(port: Arc<dyn StorePort>, calls: IntCounterVec, restores: IntCounter) -> Self {
        let [breaker, state_breaker] =
            [MAX_PAUSE_MS, MAX_STATE_PAUSE_MS].map(|max_pause_ms| Arc::new(CircuitBreaker::new(max_pause_ms)));
        Self {
            port,
            calls,
            restores,
            breaker,
            state_breaker,
            history: Arc::new(watch::Sender::new(History::unknown())),
        }
    }

    /// The history of the service that is in force, as far as this daemon knows.
    pub fn history(&self) -> History {
        *self.history.borrow()
    }

    /// Waits until the history is not the one with this number.
    pub async fn history_ended(&self, number: u64) {
        let mut history = self.history.subscribe();
        // The sender lives as long as this client.
        history.wait_for(|history| history.number.is_some_and(|known| known != number)).await.ok();
    }

    /// Learns of a history that another daemon knows.
    pub fn learn_history(&self, number: u64) {
        self.port.learn_history(number);
        self.follow_history("peer");
    }

    /// Enters the history that the service's answers tell of.
    fn follow_history(&self, source: &str) {
        let number = self.port.history();
        let before = self.history.borrow().number;
        let is_later = self.history.send_if_modified(|history| history.enter(number));
        if let Some(before) = before.filter(|_| is_later) {
            self.restores.inc();
            warn!("event=store-restored history={number} before={before} source={source}");
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.breaker.is_failing() || self.state_breaker.is_failing()
    }

    /// The breaker of calls for this purpose: failures of other calls must not delay readings of the state.
    fn breaker(&self, purpose: Purpose) -> &CircuitBreaker {
        if matches!(purpose, Purpose::Site | Purpose::Config) { &self.state_breaker } else { &self.breaker }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn get(&self, purpose: Purpose, key: &str) -> Result<Option<Row>> {
        self.call("get", purpose, self.port.get(purpose.label(), key)).await
    }

    /// Lists the rows with `prefix` that changed at revision `since` or later, and the revision of the service at the
    /// first page, so that a watch from there sees all changes made while the later pages were read. The time limit of a
    /// call holds for each page.
    ///
    /// # Errors
    /// Fails when the service does not answer, or is restored from a copy between two pages.
    pub async fn list(&self, purpose: Purpose, prefix: &str, since: Revision) -> Result<(Vec<Row>, Revision)> {
        let (mut rows, mut listing) = (Vec::new(), Listing::default());
        while !listing.is_complete() {
            rows.extend(self.list_next(purpose, prefix, since, &mut listing).await?);
            if listing.is_stuck() {
                return UnansweredSnafu { service: SERVICE, cause: Cause::PageStuck }.fail();
            }
        }
        Ok((rows, listing.revision()))
    }

    /// Reads the next page of a listing, and returns the rows with `prefix` that changed at revision `since` or later.
    /// The listing may be stuck then.
    ///
    /// # Errors
    /// Fails when the service does not answer, or is restored from a copy between two pages.
    pub async fn list_next(
        &self,
        purpose: Purpose,
        prefix: &str,
        since: Revision,
        listing: &mut Listing,
    ) -> Result<Vec<Row>> {
        let page = self.port.list_page(purpose.label(), prefix, since, listing.after());
        let page = self.call("range", purpose, page).await?;
        listing.enter(page, SERVICE)
    }

    /// Reads the changes of keys with `prefix` after revision `after`, without waiting for one.
    ///
    /// # Errors
    /// Fails when the service does not answer, and with [`Error::Compacted`] if the keys must be listed instead.
    pub async fn changes(&self, purpose: Purpose, prefix: &str, after: Revision) -> Result<Changes> {
        self.call("changes", purpose, self.port.changes(purpose.label(), prefix, after)).await
    }

    /// Executes a transaction.
    ///
    /// # Errors
    /// After [`Error::Unanswered`] the transaction may have taken effect; read back to find out.
    pub async fn txn(&self, purpose: Purpose, txn: Txn) -> Result<TxnOutcome> {
        self.call("txn", purpose, self.port.txn(purpose.label(), &txn)).await
    }

    /// Opens a watch on the keys with `prefix` for changes after revision `after`.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn watch(&self, purpose: Purpose, prefix: &str, after: Revision) -> Result<Box<dyn WatchPort>> {
        self.call("watch", purpose, self.port.watch(purpose.label(), prefix, after)).await
    }

    /// Requests a lease.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease> {
        self.call("grant", purpose, self.port.grant(purpose.label(), ttl)).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// Fails with [`Error::LeaseEnded`] when the lease has expired or was revoked.
    pub async fn renew(&self, purpose: Purpose, lease: u64) -> Result<()> {
        self.call("renew", purpose, self.port.renew(purpose.label(), lease)).await
    }

    /// Revokes a lease, which removes the keys attached to it.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn revoke(&self, purpose: Purpose, lease: u64) -> Result<()> {
        self.call("revoke", purpose, self.port.revoke(purpose.label(), lease)).await
    }

    async fn call<T>(&self, kind: &str, purpose: Purpose, call: BoxFuture<'_, Result<T>>) -> Result<T> {
        if self.breaker(purpose).is_open() {
            self.calls.with_label_values(&[kind, purpose.label(), "paused"]).inc();
            return BudgetSnafu { purpose: purpose.label() }.fail();
        }
        let result = with_timeout(call).await;
        self.follow_history(purpose.label());
        let failed = matches!(&result, Err(error) if error.is_outage());
        let label = if failed { "failed" } else { "answered" };
        self.calls.with_label_values(&[kind, purpose.label(), label]).inc();
        match (self.breaker(purpose).record(!failed), failed) {
            (true, true) => warn!("event=store-lost kind={kind} purpose={}", purpose.label()),
            (true, false) => info!("event=store-back kind={kind} purpose={}", purpose.label()),
            _ => {}
        }
        result
    }
}

async fn with_timeout<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    let timed_out = UnansweredSnafu { service: SERVICE, cause: Cause::TimedOut };
    timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| timed_out.fail())
}

#[cfg(test)]
#[path = "client_test.rs"]
mod client_test;
