//! The part of the accounts' quotas that a daemon uses while it hears no relay.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::ledger::QuotaLedger;
use crate::{config::Quota, process::exchange::Reach};

/// Time without a request after which the daemon's part starts again from what was last known of the site.
const RESTART_MS: u64 = 2_000;

/// Quotas of a daemon that decides alone: one part of as many as there are daemons.
#[derive(Debug, Default)]
pub(crate) struct IsolatedQuotas {
    ledger: QuotaLedger,
    charged_at: HashMap<Arc<str>, u64>,
}

impl IsolatedQuotas {
    /// Charges `units` to this daemon's part. `last_level` is what was left for the site when the relay was last heard.
    ///
    /// # Errors
    /// Returns the time after which to retry when the part is used up.
    pub fn charge(
        &mut self,
        name: &Arc<str>,
        quota: &Quota,
        units: f64,
        daemons: usize,
        last_level: Option<f64>,
        now: u64,
    ) -> Result<(), Duration> {
        let reach = Reach { own: 1, total: daemons.max(1) as u32, zones: Vec::new() };
        let last = self.charged_at.insert(name.clone(), now);
        let restarts = last.is_none_or(|last| now.saturating_sub(last) > RESTART_MS);
        if let (true, Some(level)) = (restarts, last_level) {
            self.ledger.adopt_level(name, quota, level / f64::from(reach.total), &reach, now);
        }
        self.ledger.charge(name, quota, units, &reach, now)
    }
}
