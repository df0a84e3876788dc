//! Limits of accounts, which hold for the site and not for each daemon.
//!
//! One daemon, found by hashing, shares an account's limits out by demand. A daemon
//! enforces its share with token buckets. Without word from the sharing daemon it keeps its
//! share for a while and then falls back to an equal part.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;

use super::shared::Shared;
use crate::{
    config::{Account, Limits},
    pb,
    request::{Reason, Refusal},
};

/// Time for which a reported demand or a share counts, in ms.
const MEMORY_MS: u64 = 4_000;
/// Part of a limit that is shared equally, so that new demand finds something.
const EQUAL_PART: f64 = 0.1;
/// Seconds' worth of a share that a bucket saves up.
const BURST_SECONDS: f64 = 1.0;
/// Weight of the last second in the demand reported.
const SMOOTHING: f64 = 0.5;

#[derive(Debug, Default)]
struct Local {
    saved: f64,
    refilled: u64,
    asked: f64,
    demand: f64,
    share: f64,
    shared_at: Option<u64>,
}

#[derive(Debug)]
struct Report {
    at: u64,
    demand: f64,
}

/// The limits at one daemon: its own use, and the shares that it gives to others.
#[derive(Default)]
pub(crate) struct AccountLimits {
    local: Mutex<HashMap<Arc<str>, Local>>,
    reports: Mutex<HashMap<Arc<str>, HashMap<String, Report>>>,
}

impl AccountLimits {
    /// Admits a request of an account.
    ///
    /// # Errors
    /// Gives the refusal, which says when to come back.
    pub fn admit(&self, account: &Account, shared: &Shared) -> Result<(), Refusal> {
        let limit = account.limits.requests;
        if limit.is_infinite() {
            return Ok(());
        }
        let (now, daemons) = (shared.now(), shared.present());
        if self.take(&account.name, limit, now, daemons) {
            return Ok(());
        }
        let message = format!("the account's limit of {limit} requests a second is used up");
        Err(Refusal::not_run(Reason::RequestLimit, message).after(Duration::from_secs(1)))
    }

    /// Takes one request from the account's bucket at this daemon.
    pub fn take(&self, account: &Arc<str>, limit: f64, now: u64, daemons: usize) -> bool {
        let mut local = self.local.lock();
        let equal = limit / daemons.max(1) as f64;
        let fresh = || Local { refilled: now, saved: equal * BURST_SECONDS, ..Local::default() };
        let row = local.entry(account.clone()).or_insert_with(fresh);
        row.asked += 1.0;
        let known = row.shared_at.is_some_and(|at| now.saturating_sub(at) < MEMORY_MS);
        let rate = if known { row.share } else { equal };
        let passed = now.saturating_sub(row.refilled) as f64 / 1000.0;
        row.refilled = now;
        row.saved = (row.saved + rate * passed).min((rate * BURST_SECONDS).max(1.0));
        if row.saved < 1.0 {
            return false;
        }
        row.saved -= 1.0;
        true
    }

    /// The demand of the last second, by account. Accounts without demand are forgotten.
    pub fn demands(&self) -> Vec<pb::Usage> {
        let mut local = self.local.lock();
        let rows = local.iter_mut().map(|(account, row)| {
            row.demand = SMOOTHING * row.asked + (1.0 - SMOOTHING) * row.demand;
            row.asked = 0.0;
            pb::Usage { account: account.to_string(), requests: row.demand, ..pb::Usage::default() }
        });
        let rows: Vec<_> = rows.collect();
        local.retain(|_, row| row.demand > 0.01);
        rows
    }

    /// Takes in shares given by the sharing daemon.
    pub fn receive(&self, shares: Vec<pb::Usage>, now: u64) {
        let mut local = self.local.lock();
        for share in shares {
            if let Some(row) = local.get_mut(share.account.as_str()) {
                row.share = share.requests;
                row.shared_at = Some(now);
            }
        }
    }

    /// Shares an account's limit out to `from`, which reports its demand.
    pub fn share(&self, account: &Arc<str>, limits: &Limits, from: &str, usage: &pb::Usage, now: u64) -> pb::Usage {
        let mut reports = self.reports.lock();
        let rows = reports.entry(account.clone()).or_default();
        rows.insert(from.to_owned(), Report { at: now, demand: usage.requests.max(0.0) });
        rows.retain(|_, report| now.saturating_sub(report.at) < MEMORY_MS);
        let total: f64 = rows.values().map(|r| r.demand).sum();
        let count = rows.len() as f64;
        let part = if total > 0.0 { usage.requests / total } else { 1.0 / count };
        let requests = limits.requests * (EQUAL_PART / count + (1.0 - EQUAL_PART) * part);
        pb::Usage { account: account.to_string(), requests, ..pb::Usage::default() }
    }
}
