//! Shares an account's limits out to daemons by their demand.

use std::{collections::HashMap, sync::Arc};

use crate::{config::Limits, pb};

use super::MEMORY_MS;

/// Part of a limit that is shared equally, so that new demand finds something.
const EQUAL_PART: f64 = 0.1;

#[derive(Debug)]
struct Report {
    at: u64,
    usage: pb::Usage,
}

/// The demand that daemons have reported, by account.
#[derive(Debug, Default)]
pub(crate) struct Sharer {
    reports: HashMap<Arc<str>, HashMap<String, Report>>,
}

impl Sharer {
    /// The share of `from`, which reports its demand.
    pub fn share(&mut self, account: &Arc<str>, limits: &Limits, from: &str, usage: &pb::Usage, now: u64) -> pb::Usage {
        let rows = self.reports.entry(account.clone()).or_default();
        rows.insert(from.to_owned(), Report { at: now, usage: usage.clone() });
        rows.retain(|_, report| now.saturating_sub(report.at) < MEMORY_MS);
        let count = rows.len() as f64;
        let part = |pick: fn(&pb::Usage) -> f64| {
            let total: f64 = rows.values().map(|r| pick(&r.usage).max(0.0)).sum();
            let own = if total > 0.0 { pick(usage).max(0.0) / total } else { 1.0 / count };
            EQUAL_PART / count + (1.0 - EQUAL_PART) * own
        };
        pb::Usage {
            account: account.to_string(),
            requests: limits.requests * part(|u| u.requests),
            tokens: limits.tokens * part(|u| u.tokens),
            concurrency: limits.concurrency * part(|u| u.concurrency),
        }
    }
}
