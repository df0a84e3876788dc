//! Allocates shares of an account's limits to daemons by their demand.

use std::{collections::HashMap, sync::Arc};

use crate::{config::Limits, pb};

use super::SHARE_TTL_MS;

/// Fraction of a limit that is split equally, so that a daemon with new demand has a share at once.
const EQUAL_FRACTION: f64 = 0.1;

#[derive(Debug)]
struct Report {
    received_at: u64,
    usage: pb::Usage,
}

/// Demand that daemons have reported, by account and daemon.
#[derive(Debug, Default)]
pub(crate) struct ShareAllocator {
    reports: HashMap<Arc<str>, HashMap<String, Report>>,
}

impl ShareAllocator {
    /// Returns the share of the daemon `from`, which reports its demand in `usage`.
    pub fn allocate(
        &mut self,
        account: &Arc<str>,
        limits: &Limits,
        from: &str,
        usage: &pb::Usage,
        now: u64,
    ) -> pb::Usage {
        let reports = self.reports.entry(account.clone()).or_default();
        reports.insert(from.to_owned(), Report { received_at: now, usage: usage.clone() });
        reports.retain(|_, report| now.saturating_sub(report.received_at) < SHARE_TTL_MS);
        let count = reports.len() as f64;
        let fraction = |select: fn(&pb::Usage) -> f64| {
            let total: f64 = reports.values().map(|report| select(&report.usage).max(0.0)).sum();
            let demand = if total > 0.0 { select(usage).max(0.0) / total } else { 1.0 / count };
            EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * demand
        };
        pb::Usage {
            account: account.to_string(),
            requests: limits.requests * fraction(|u| u.requests),
            tokens: limits.tokens * fraction(|u| u.tokens),
            concurrency: limits.concurrency * fraction(|u| u.concurrency),
        }
    }
}
