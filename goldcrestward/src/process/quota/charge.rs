//! Units that a request has been charged.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;

use super::balance::QuotaBalances;

/// Units that a request has been charged of its account's quota. They are returned when it is dropped, unless the request
/// may have run.
pub(crate) struct QuotaCharge {
    balances: Arc<Mutex<QuotaBalances>>,
    account: Arc<str>,
    units: f64,
    is_used: bool,
}

impl QuotaCharge {
    /// Takes over units that have been charged.
    pub fn new(balances: Arc<Mutex<QuotaBalances>>, account: Arc<str>, units: f64) -> Self {
        Self { balances, account, units, is_used: false }
    }

    /// Asks a relay to charge the units; `None` if none decides. The grant is awaited, and then returned, also if the
    /// request is given up meanwhile.
    pub async fn grant_by(
        balances: Arc<Mutex<QuotaBalances>>,
        account: Arc<str>,
        units: f64,
        ask: impl Future<Output = Option<Result<(), Duration>>> + Send + 'static,
    ) -> Option<Result<Self, Duration>> {
        let asking = tokio::spawn(async move {
            let decided = ask.await?;
            Some(decided.map(|()| Self::new(balances, account, units)))
        });
        asking.await.ok().flatten()
    }

    /// Sets whether the request may have run.
    pub fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_used {
            self.balances.lock().refund(&self.account, self.units);
        }
    }
}

#[cfg(test)]
#[path = "charge_test.rs"]
mod charge_test;
