//! Rate and concurrency limits of accounts, which apply to the site as a whole.
//!
//! For each account one daemon, found by hashing, allocates shares of the limits to all daemons
//! by their demand. Each daemon enforces its share. When it gets no new share in time, it falls
//! back to an equal share.

mod allocator;
mod bucket;

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;

use allocator::ShareAllocator;
use bucket::Bucket;

use crate::{
    config::{Account, Limits},
    pb,
    request::{Reason, Refusal},
};

/// Time for which a reported demand or an allocated share is valid.
const SHARE_TTL_MS: u64 = 4_000;
/// Accounts with less demand than this, in requests per second and in flight, are removed.
const IDLE_DEMAND: f64 = 0.01;
/// Time after which a refused caller should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct AccountState {
    requests: Bucket,
    tokens: Bucket,
    in_flight: f64,
    peak_concurrency: f64,
    share: Option<(Limits, u64)>,
}

impl AccountState {
    fn new(equal_share: &Limits, now: u64) -> Self {
        let (requests, tokens) = (Bucket::new(equal_share.requests, now), Bucket::new(equal_share.tokens, now));
        Self { requests, tokens, in_flight: 0.0, peak_concurrency: 0.0, share: None }
    }

    fn share(&self, equal_share: &Limits, now: u64) -> Limits {
        match &self.share {
            Some((share, at)) if now.saturating_sub(*at) < SHARE_TTL_MS => share.clone(),
            _ => equal_share.clone(),
        }
    }
}

/// Account limits at one daemon: its own use, and the shares that it allocates to all daemons.
#[derive(Debug, Default)]
pub(crate) struct AccountLimits {
    accounts: Mutex<HashMap<Arc<str>, AccountState>>,
    allocator: Mutex<ShareAllocator>,
}

/// Permit of an admitted request; dropping it releases its place in the account's concurrency.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    limits: Arc<AccountLimits>,
    account: Arc<str>,
}

impl AdmissionPermit {
    /// Whether it was given for this account.
    pub fn is_of(&self, account: &Account) -> bool {
        self.account == account.name
    }

    /// Charges the account for tokens that the request has used.
    pub fn charge(&self, tokens: u64) {
        if let Some(state) = self.limits.accounts.lock().get_mut(&self.account) {
            state.tokens.spend(tokens as f64);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(state) = self.limits.accounts.lock().get_mut(&self.account) {
            state.in_flight -= 1.0;
        }
    }
}

impl AccountLimits {
    /// Admits a request of an account; `daemons` is the number of daemons in the site.
    ///
    /// # Errors
    /// Returns a refusal that says which limit is used up and when to retry.
    pub fn admit(self: &Arc<Self>, account: &Account, daemons: usize, now: u64) -> Result<AdmissionPermit, Refusal> {
        let equal_share = account.limits.divided(daemons.max(1) as f64);
        let mut accounts = self.accounts.lock();
        let state = accounts.entry(account.name.clone()).or_insert_with(|| AccountState::new(&equal_share, now));
        let share = state.share(&equal_share, now);
        state.requests.refill(share.requests, now);
        state.tokens.refill(share.tokens, now);
        state.peak_concurrency = state.peak_concurrency.max(state.in_flight + 1.0);
        let limits = &account.limits;
        let refuse = |reason, limit: f64, what: &str| {
            let message = format!("the account's limit of {limit} {what} is used up");
            Err(Refusal::not_run(reason, message).with_retry_after(RETRY_AFTER))
        };
        if !state.requests.has_at_least(1.0) {
            state.requests.record_refusal(1.0);
            return refuse(Reason::RequestLimit, limits.requests, "requests a second");
        }
        if !state.tokens.has_at_least(0.0) {
            state.requests.record_refusal(1.0);
            return refuse(Reason::TokenLimit, limits.tokens, "tokens a second");
        }
        if state.in_flight >= share.concurrency.max(1.0) {
            state.requests.record_refusal(1.0);
            return refuse(Reason::ConcurrencyLimit, limits.concurrency, "requests in flight");
        }
        state.requests.spend(1.0);
        state.in_flight += 1.0;
        Ok(AdmissionPermit { limits: self.clone(), account: account.name.clone() })
    }

    /// Returns the demand of each account and removes idle accounts; must be called once a second.
    pub fn collect_demand(&self) -> Vec<pb::Usage> {
        let mut accounts = self.accounts.lock();
        let rows = accounts.iter_mut().map(|(account, state)| {
            let usage = pb::Usage {
                account: account.to_string(),
                requests: state.requests.update_demand(),
                tokens: state.tokens.update_demand(),
                concurrency: state.peak_concurrency,
            };
            state.peak_concurrency = state.in_flight;
            usage
        });
        let rows: Vec<_> = rows.collect();
        let idle = |usage: &pb::Usage| usage.requests < IDLE_DEMAND && usage.concurrency < IDLE_DEMAND;
        rows.iter().filter(|usage| idle(usage)).for_each(|usage| {
            accounts.remove(usage.account.as_str());
        });
        rows
    }

    /// Applies shares that an allocating daemon has sent.
    pub fn apply_shares(&self, shares: Vec<pb::Usage>, now: u64) {
        let mut accounts = self.accounts.lock();
        for share in shares {
            if let Some(state) = accounts.get_mut(share.account.as_str()) {
                let pb::Usage { requests, tokens, concurrency, .. } = share;
                state.share = Some((Limits { requests, tokens, concurrency }, now));
            }
        }
    }

    /// Allocates a share of an account's limits to the daemon `from`, which reports its demand in `usage`.
    pub fn allocate_share(
        &self,
        account: &Arc<str>,
        limits: &Limits,
        from: &str,
        usage: &pb::Usage,
        now: u64,
    ) -> pb::Usage {
        self.allocator.lock().allocate(account, limits, from, usage, now)
    }
}

#[cfg(test)]
mod limits_test;
