//! Limits of accounts, which hold for the site and not for each daemon.
//!
//! One daemon, found by hashing, shares an account's limits out by demand. Each daemon
//! enforces its share. Without word from the sharing daemon it keeps its share for a while
//! and then falls back to an equal part.

mod allocator;
mod bucket;

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;

use allocator::Sharer;
use bucket::Bucket;

use crate::{
    config::{Account, Limits},
    pb,
    request::{Reason, Refusal},
};

/// Time for which a reported demand or a share counts, in ms.
const MEMORY_MS: u64 = 4_000;
/// Demand below which an account is forgotten.
const FORGOTTEN: f64 = 0.01;
/// When a refused caller shall come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Local {
    requests: Bucket,
    tokens: Bucket,
    in_flight: f64,
    wanted: f64,
    share: Option<(Limits, u64)>,
}

impl Local {
    fn new(equal: &Limits, now: u64) -> Self {
        let (requests, tokens) = (Bucket::new(equal.requests, now), Bucket::new(equal.tokens, now));
        Self { requests, tokens, in_flight: 0.0, wanted: 0.0, share: None }
    }

    fn share(&self, equal: &Limits, now: u64) -> Limits {
        match &self.share {
            Some((share, at)) if now.saturating_sub(*at) < MEMORY_MS => share.clone(),
            _ => equal.clone(),
        }
    }
}

/// The limits at one daemon: its own use, and the shares that it gives to others.
#[derive(Debug, Default)]
pub(crate) struct AccountLimits {
    local: Mutex<HashMap<Arc<str>, Local>>,
    sharer: Mutex<Sharer>,
}

/// A request that has been admitted; dropping it ends its part in the account's concurrency.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    limits: Arc<AccountLimits>,
    account: Arc<str>,
}

impl AdmissionPermit {
    /// Charges the account for tokens.
    pub fn charge(&self, tokens: u64) {
        if let Some(row) = self.limits.local.lock().get_mut(&self.account) {
            row.tokens.spend(tokens as f64);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(row) = self.limits.local.lock().get_mut(&self.account) {
            row.in_flight -= 1.0;
        }
    }
}

impl AccountLimits {
    /// Admits a request of an account at one of `daemons`.
    ///
    /// # Errors
    /// Gives the refusal, which says which limit is used up and when to come back.
    pub fn admit(self: &Arc<Self>, account: &Account, daemons: usize, now: u64) -> Result<AdmissionPermit, Refusal> {
        let equal = account.limits.divided(daemons.max(1) as f64);
        let mut local = self.local.lock();
        let row = local.entry(account.name.clone()).or_insert_with(|| Local::new(&equal, now));
        let share = row.share(&equal, now);
        row.requests.refill(share.requests, now);
        row.tokens.refill(share.tokens, now);
        row.wanted = row.wanted.max(row.in_flight + 1.0);
        let limits = &account.limits;
        let refuse = |reason, limit: f64, what: &str| {
            let message = format!("the account's limit of {limit} {what} is used up");
            Err(Refusal::not_run(reason, message).with_retry_after(RETRY_AFTER))
        };
        if !row.requests.has(1.0) {
            row.requests.refuse(1.0);
            return refuse(Reason::RequestLimit, limits.requests, "requests a second");
        }
        if !row.tokens.has(0.0) {
            row.requests.refuse(1.0);
            return refuse(Reason::TokenLimit, limits.tokens, "tokens a second");
        }
        if row.in_flight >= share.concurrency.max(1.0) {
            row.requests.refuse(1.0);
            return refuse(Reason::ConcurrencyLimit, limits.concurrency, "requests in flight");
        }
        row.requests.spend(1.0);
        row.in_flight += 1.0;
        Ok(AdmissionPermit { limits: self.clone(), account: account.name.clone() })
    }

    /// The demand of the last second, by account. Accounts without demand are forgotten.
    pub fn collect_demand(&self) -> Vec<pb::Usage> {
        let mut local = self.local.lock();
        let rows = local.iter_mut().map(|(account, row)| {
            let usage = pb::Usage {
                account: account.to_string(),
                requests: row.requests.demand(),
                tokens: row.tokens.demand(),
                concurrency: row.wanted,
            };
            row.wanted = row.in_flight;
            usage
        });
        let rows: Vec<_> = rows.collect();
        let idle = |usage: &pb::Usage| usage.requests < FORGOTTEN && usage.concurrency < FORGOTTEN;
        rows.iter().filter(|usage| idle(usage)).for_each(|usage| {
            local.remove(usage.account.as_str());
        });
        rows
    }

    /// Takes in shares given by the sharing daemon.
    pub fn apply_shares(&self, shares: Vec<pb::Usage>, now: u64) {
        let mut local = self.local.lock();
        for share in shares {
            if let Some(row) = local.get_mut(share.account.as_str()) {
                let pb::Usage { requests, tokens, concurrency, .. } = share;
                row.share = Some((Limits { requests, tokens, concurrency }, now));
            }
        }
    }

    /// Shares an account's limits out to `from`, which reports its demand.
    pub fn allocate_share(
        &self,
        account: &Arc<str>,
        limits: &Limits,
        from: &str,
        usage: &pb::Usage,
        now: u64,
    ) -> pb::Usage {
        self.sharer.lock().share(account, limits, from, usage, now)
    }
}

#[cfg(test)]
mod limits_test;
