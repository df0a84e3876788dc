//! Quotas of accounts, which apply to all daemons together.
//!
//! Each daemon keeps its own copy of an account's token bucket. Its own usage counts at once. That of other
//! daemons counts when they report it; between reports it is estimated from the rate that they last reported.
//! While little is left, a daemon takes no more than its share by demand, which limits the usage that daemons
//! have not yet reported to each other.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::digest_timing::peer_timeout_ms;
use crate::{config::Quota, util::derive_value_traits};

/// Fraction of the rate and burst that is given out; the rest covers usage that is reported late.
const USABLE_FRACTION: f64 = 1.0;
/// Fraction of the burst below which a daemon takes no more than its share.
const SCARCE_FRACTION: f64 = 0.6;
/// Time for which a daemon can accumulate its share.
const SHARE_BURST_SECONDS: f64 = 0.25;
/// Fraction of a quota that is split equally over the daemons and not by demand.
const EQUAL_FRACTION: f64 = 0.25;
/// Time for which the share of a partitioned daemon stays reserved: it may be serving callers on its side.
const RESERVATION_MS: u64 = 30_000;
/// Time over which usage and demand are averaged.
const AVERAGE_MS: f64 = 1_000.0;
/// Time over which demand is averaged for the share that is reserved for a partitioned daemon.
const LONG_AVERAGE_MS: f64 = 10_000.0;
/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Fraction of the burst that is available when a daemon starts, as others may just have used the rest.
const INITIAL_FRACTION: f64 = 0.3;

derive_value_traits! {
    /// Usage of an account's quota by one daemon since its start, in the quota's units.
    pub(crate) struct QuotaUsage {
        /// Units admitted.
        pub used: f64,
        /// Units requested, whether admitted or not.
        pub asked: f64,
    }
}

#[derive(Debug)]
struct PeerUsage {
    epoch: u64,
    total: QuotaUsage,
    reported_at: u64,
    used_rate: f64,
    asked_rate: f64,
    long_asked_rate: f64,
    /// Fraction of the quota that stays reserved for it after it has timed out.
    reserved: Option<f64>,
}

impl PeerUsage {
    fn apply_report(&mut self, total: &QuotaUsage, now: u64) -> f64 {
        let (used, asked) = (total.used - self.total.used, total.asked - self.total.asked);
        let elapsed = now.saturating_sub(self.reported_at).max(1) as f64;
        let weight = (elapsed / AVERAGE_MS).min(1.0);
        self.used_rate += weight * (used / elapsed - self.used_rate);
        self.asked_rate += weight * (asked / elapsed - self.asked_rate);
        self.long_asked_rate += (elapsed / LONG_AVERAGE_MS).min(1.0) * (asked / elapsed - self.long_asked_rate);
        self.reserved = None;
        self.total = total.clone();
        self.reported_at = now;
        used
    }
}

#[derive(Debug)]
struct AccountQuota {
    level: f64,
    share_level: f64,
    updated_at: u64,
    own: QuotaUsage,
    asked_rate: f64,
    long_asked_rate: f64,
    /// Fraction of the quota that belongs to daemons that this one can reach.
    reachable: f64,
    reported_used: f64,
    peers: HashMap<Arc<str>, PeerUsage>,
}

impl AccountQuota {
    fn new(quota: &Quota, now: u64) -> Self {
        let own = QuotaUsage { used: 0.0, asked: 0.0 };
        let level = quota.burst * USABLE_FRACTION * INITIAL_FRACTION;
        let share_level = quota.burst * USABLE_FRACTION * INITIAL_FRACTION;
        Self {
            level,
            share_level,
            updated_at: now,
            own,
            asked_rate: 0.0,
            long_asked_rate: 0.0,
            reachable: 1.0,
            reported_used: 0.0,
            peers: HashMap::new(),
        }
    }

    fn refill(&mut self, quota: &Quota, daemons: usize, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        self.peers.retain(|_, peer| now.saturating_sub(peer.reported_at) < RESERVATION_MS);
        self.reachable = 1.0 - self.unreachable_fraction(daemons, now);
        let usable = USABLE_FRACTION * self.reachable;
        let rate = quota.rate * usable / 1000.0;
        self.level = (self.level + rate * elapsed).min(quota.burst * usable);
        self.asked_rate *= (1.0 - elapsed / AVERAGE_MS).max(0.0);
        self.long_asked_rate *= (1.0 - elapsed / LONG_AVERAGE_MS).max(0.0);
        let share_rate = quota.rate * USABLE_FRACTION / 1000.0 * self.share_fraction(daemons);
        self.share_level = (self.share_level + share_rate * elapsed).min(share_rate * SHARE_BURST_SECONDS * 1000.0);
    }

    /// This daemon's share of the quota, as a fraction.
    fn share_fraction(&self, daemons: usize) -> f64 {
        let count = daemons.max(self.peers.len() + 1) as f64;
        let total = self.asked_rate + self.peers.values().map(|p| p.asked_rate).sum::<f64>();
        let demand = if total > 0.0 { self.asked_rate / total } else { 1.0 / count };
        EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * demand
    }

    /// Fraction of the quota that belongs to daemons that have timed out, by their demand until then, or that have
    /// never reported.
    fn unreachable_fraction(&mut self, daemons: usize, now: u64) -> f64 {
        let known = self.peers.len() + 1;
        let count = daemons.max(known) as f64;
        let unknown = daemons.saturating_sub(known) as f64 / count;
        let total = self.long_asked_rate + self.peers.values().map(|p| p.long_asked_rate).sum::<f64>();
        let mut timed_out = 0.0;
        let timeout_ms = peer_timeout_ms(daemons);
        for peer in self.peers.values_mut().filter(|p| now.saturating_sub(p.reported_at) >= timeout_ms) {
            let demand = if total > 0.0 { peer.long_asked_rate / total } else { 1.0 / count };
            timed_out += *peer.reserved.get_or_insert(EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * demand);
        }
        unknown + (1.0 - unknown) * timed_out.min(1.0)
    }

    /// Estimate of the units that other daemons have used since their last reports.
    fn estimate_unreported(&self, daemons: usize, now: u64) -> f64 {
        let peers = self.peers.values().map(|p| (p.used_rate, now.saturating_sub(p.reported_at)));
        peers
            .filter(|(_, elapsed)| *elapsed < peer_timeout_ms(daemons))
            .map(|(rate, elapsed)| rate * elapsed as f64)
            .sum()
    }
}

/// The quotas of all accounts, as one daemon knows them.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: HashMap<Arc<str>, AccountQuota>,
}

impl Quotas {
    /// Charges `units` to an account's quota; `daemons` is the number of daemons in the site.
    ///
    /// # Errors
    /// Returns the time after which to retry when the quota, or this daemon's share of it, is used up.
    pub fn charge(
        &mut self,
        name: &Arc<str>,
        quota: &Quota,
        units: f64,
        daemons: usize,
        now: u64,
    ) -> Result<(), Duration> {
        let account = self.accounts.entry(name.clone()).or_insert_with(|| AccountQuota::new(quota, now));
        account.refill(quota, daemons, now);
        account.own.asked += units;
        account.asked_rate += units / AVERAGE_MS;
        account.long_asked_rate += units / LONG_AVERAGE_MS;
        let left = account.level - account.estimate_unreported(daemons, now);
        let scarce = left < quota.burst * SCARCE_FRACTION * account.reachable;
        let missing = if left <= 0.0 { -left + units } else { 0.0 };
        let exceeds_share = scarce && daemons > 1 && account.share_level <= 0.0;
        if missing > 0.0 || exceeds_share {
            // By then the site as a whole has as many units again, whichever daemon gets the retry.
            let seconds = missing.max(units) / quota.rate;
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX).max(MIN_RETRY_AFTER));
        }
        account.level -= units;
        account.share_level -= units;
        account.own.used += units;
        Ok(())
    }

    /// Returns the units of a request that has not run.
    pub fn refund(&mut self, name: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.level += units;
            account.share_level += units;
            account.own.used -= units;
        }
    }

    /// Forgets a daemon that has announced that it is leaving, so that no share stays reserved for it.
    pub fn remove_peer(&mut self, daemon: &str) {
        self.accounts.values_mut().for_each(|account| {
            account.peers.remove(daemon);
        });
    }

    /// Returns this daemon's usage of each quota, for a report to the others, and marks it as reported.
    pub fn usage_report(&mut self) -> Vec<(Arc<str>, QuotaUsage)> {
        let report = |(name, account): (&Arc<str>, &mut AccountQuota)| {
            account.reported_used = account.own.used;
            (name.clone(), account.own.clone())
        };
        self.accounts.iter_mut().map(report).collect()
    }

    /// Whether so much has been used since the last report that the others should get one at once.
    pub fn is_report_due(&self, name: &str, quota: &Quota, daemons: usize) -> bool {
        let threshold = quota.burst * SCARCE_FRACTION / 2.0 / daemons.max(1) as f64;
        self.accounts.get(name).is_some_and(|account| account.own.used - account.reported_used > threshold)
    }

    /// Applies a report of the daemon `from`, which started at `epoch`, of its total usage since then.
    pub fn apply_peer_report(
        &mut self,
        from: &Arc<str>,
        epoch: u64,
        name: &Arc<str>,
        total: &QuotaUsage,
        quota: &Quota,
        now: u64,
    ) {
        let account = self.accounts.entry(name.clone()).or_insert_with(|| AccountQuota::new(quota, now));
        let fresh = || PeerUsage {
            epoch,
            total: total.clone(),
            reported_at: now,
            used_rate: 0.0,
            asked_rate: 0.0,
            long_asked_rate: 0.0,
            reserved: None,
        };
        let peer = account.peers.entry(from.clone()).or_insert_with(fresh);
        if peer.epoch != epoch {
            *peer = fresh();
            account.level -= total.used;
            return;
        }
        account.level -= peer.apply_report(total, now);
    }
}

#[cfg(test)]
#[path = "quota_test.rs"]
mod quota_test;
