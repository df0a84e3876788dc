//! Quotas that hold over all daemons together.
//!
//! Each daemon keeps its own copy of an account's bucket: its own use counts at once, that of others as
//! they tell of it, and in between at the rate at which they last used it. While little is left, a daemon
//! takes no more than its part by demand, so that what daemons have not yet told each other stays small.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::digest_timing::peer_timeout_ms;
use crate::{config::Quota, util::value};

/// Part of the rate and burst that is given out; the rest covers what is told late.
const GIVEN: f64 = 1.0;
/// Part of the burst below which a daemon takes no more than its part.
const SCARCE: f64 = 0.6;
/// Time for which a daemon may save its part up, in seconds.
const SAVED_SECONDS: f64 = 0.25;
/// Part of a limit that is given out by the number of daemons and not by demand.
const EQUAL: f64 = 0.25;
/// Time for which the part of a parted daemon is left to it, in ms. It may be serving others where it cannot be heard.
const RESERVED_MS: u64 = 30_000;
/// Time over which demand is averaged, in ms.
const AVERAGE_MS: f64 = 1_000.0;
/// Time over which demand is averaged for the part that is left to a parted daemon, in ms.
const LONG_AVERAGE_MS: f64 = 10_000.0;
/// Least time after which a refused caller shall come back.
const LEAST_WAIT: Duration = Duration::from_millis(20);
/// Part of the burst that is there when a daemon starts, since others may just have used the rest.
const FIRST: f64 = 0.3;

value! {
    /// What a daemon has used and asked for of an account's quota since its start, in the quota's units.
    pub(crate) struct QuotaUsage {
        /// Units admitted.
        pub used: f64,
        /// Units asked for.
        pub asked: f64,
    }
}

#[derive(Debug)]
struct PeerUse {
    life: u64,
    total: QuotaUsage,
    at: u64,
    used_rate: f64,
    asked_rate: f64,
    long_rate: f64,
    /// The part that is left to it while it cannot be heard.
    reserved: Option<f64>,
}

impl PeerUse {
    fn hear(&mut self, total: &QuotaUsage, now: u64) -> f64 {
        let (used, asked) = (total.used - self.total.used, total.asked - self.total.asked);
        let elapsed = now.saturating_sub(self.at).max(1) as f64;
        let weight = (elapsed / AVERAGE_MS).min(1.0);
        self.used_rate += weight * (used / elapsed - self.used_rate);
        self.asked_rate += weight * (asked / elapsed - self.asked_rate);
        self.long_rate += (elapsed / LONG_AVERAGE_MS).min(1.0) * (asked / elapsed - self.long_rate);
        self.reserved = None;
        self.total = total.clone();
        self.at = now;
        used
    }
}

#[derive(Debug)]
struct Account {
    level: f64,
    part: f64,
    at: u64,
    own: QuotaUsage,
    asked_rate: f64,
    long_rate: f64,
    /// The part of the quota that is given out where this daemon can hear.
    here: f64,
    told: f64,
    peers: HashMap<Arc<str>, PeerUse>,
}

impl Account {
    fn new(quota: &Quota, now: u64) -> Self {
        let own = QuotaUsage { used: 0.0, asked: 0.0 };
        let level = quota.burst * GIVEN * FIRST;
        let part = quota.burst * GIVEN * FIRST;
        Self { level, part, at: now, own, asked_rate: 0.0, long_rate: 0.0, here: 1.0, told: 0.0, peers: HashMap::new() }
    }

    fn refill(&mut self, quota: &Quota, daemons: usize, now: u64) {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.peers.retain(|_, peer| now.saturating_sub(peer.at) < RESERVED_MS);
        self.here = 1.0 - self.parted(daemons, now);
        let here = GIVEN * self.here;
        let rate = quota.rate * here / 1000.0;
        self.level = (self.level + rate * elapsed).min(quota.burst * here);
        self.asked_rate *= (1.0 - elapsed / AVERAGE_MS).max(0.0);
        self.long_rate *= (1.0 - elapsed / LONG_AVERAGE_MS).max(0.0);
        let part_rate = quota.rate * GIVEN / 1000.0 * self.weight(daemons);
        self.part = (self.part + part_rate * elapsed).min(part_rate * SAVED_SECONDS * 1000.0);
    }

    /// This daemon's part of the quota.
    fn weight(&self, daemons: usize) -> f64 {
        let count = daemons.max(self.peers.len() + 1) as f64;
        let total = self.asked_rate + self.peers.values().map(|p| p.asked_rate).sum::<f64>();
        let demand = if total > 0.0 { self.asked_rate / total } else { 1.0 / count };
        EQUAL / count + (1.0 - EQUAL) * demand
    }

    /// The part of daemons that cannot be heard now, by what they asked for until then.
    fn parted(&mut self, daemons: usize, now: u64) -> f64 {
        let known = self.peers.len() + 1;
        let count = daemons.max(known) as f64;
        let unheard = daemons.saturating_sub(known) as f64 / count;
        let total = self.long_rate + self.peers.values().map(|p| p.long_rate).sum::<f64>();
        let mut parted = 0.0;
        let silence = peer_timeout_ms(daemons);
        for peer in self.peers.values_mut().filter(|p| now.saturating_sub(p.at) >= silence) {
            let demand = if total > 0.0 { peer.long_rate / total } else { 1.0 / count };
            parted += *peer.reserved.get_or_insert(EQUAL / count + (1.0 - EQUAL) * demand);
        }
        unheard + (1.0 - unheard) * parted.min(1.0)
    }

    /// What other daemons have probably used since they last told.
    fn untold(&self, daemons: usize, now: u64) -> f64 {
        let silences = self.peers.values().map(|p| (p.used_rate, now.saturating_sub(p.at)));
        silences
            .filter(|(_, silence)| *silence < peer_timeout_ms(daemons))
            .map(|(rate, silence)| rate * silence as f64)
            .sum()
    }
}

/// The quotas of all accounts, as one daemon sees them.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: HashMap<Arc<str>, Account>,
}

impl Quotas {
    /// Takes `units` of an account's quota, at one of `daemons`.
    ///
    /// # Errors
    /// Gives the time after which there will be as much.
    pub fn take(
        &mut self,
        name: &Arc<str>,
        quota: &Quota,
        units: f64,
        daemons: usize,
        now: u64,
    ) -> Result<(), Duration> {
        let account = self.accounts.entry(name.clone()).or_insert_with(|| Account::new(quota, now));
        account.refill(quota, daemons, now);
        account.own.asked += units;
        account.asked_rate += units / AVERAGE_MS;
        account.long_rate += units / LONG_AVERAGE_MS;
        let left = account.level - account.untold(daemons, now);
        let scarce = left < quota.burst * SCARCE * account.here;
        let lacking = if left <= 0.0 { -left + units } else { 0.0 };
        let beyond = scarce && daemons > 1 && account.part <= 0.0;
        if lacking > 0.0 || beyond {
            // By then the site has as much again, at whichever daemon the caller comes back.
            let seconds = lacking.max(units) / quota.rate;
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX).max(LEAST_WAIT));
        }
        account.level -= units;
        account.part -= units;
        account.own.used += units;
        Ok(())
    }

    /// Gives back what a request took that has not run.
    pub fn refund(&mut self, name: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.level += units;
            account.part += units;
            account.own.used -= units;
        }
    }

    /// Leaves nothing to a daemon that has said that it leaves.
    pub fn remove_peer(&mut self, daemon: &str) {
        self.accounts.values_mut().for_each(|account| {
            account.peers.remove(daemon);
        });
    }

    /// What this daemon has used of each quota, to tell the others.
    pub fn usage_report(&mut self) -> Vec<(Arc<str>, QuotaUsage)> {
        let tell = |(name, account): (&Arc<str>, &mut Account)| {
            account.told = account.own.used;
            (name.clone(), account.own.clone())
        };
        self.accounts.iter_mut().map(tell).collect()
    }

    /// Whether much has been used since this daemon last told the others.
    pub fn is_report_due(&self, name: &str, quota: &Quota, daemons: usize) -> bool {
        let part = quota.burst * SCARCE / 2.0 / daemons.max(1) as f64;
        self.accounts.get(name).is_some_and(|account| account.own.used - account.told > part)
    }

    /// Takes in what the daemon `from` has used in its life that began at `life`.
    pub fn apply_peer_report(
        &mut self,
        from: &Arc<str>,
        life: u64,
        name: &Arc<str>,
        total: &QuotaUsage,
        quota: &Quota,
        now: u64,
    ) {
        let account = self.accounts.entry(name.clone()).or_insert_with(|| Account::new(quota, now));
        let fresh = || PeerUse {
            life,
            total: total.clone(),
            at: now,
            used_rate: 0.0,
            asked_rate: 0.0,
            long_rate: 0.0,
            reserved: None,
        };
        let peer = account.peers.entry(from.clone()).or_insert_with(fresh);
        if peer.life != life {
            *peer = fresh();
            account.level -= total.used;
            return;
        }
        account.level -= peer.hear(total, now);
    }
}

#[cfg(test)]
#[path = "quota_test.rs"]
mod quota_test;
