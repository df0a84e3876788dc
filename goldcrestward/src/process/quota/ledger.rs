//! Usage of the accounts' quotas as the relay of an availability zone knows it.
//!
//! Each relay keeps its own copy of an account's token bucket. What its zone uses counts when a daemon asks or reports;
//! what other zones use counts when their relays report it, and is estimated between reports. While little is left,
//! a zone takes no more than its share by demand, which limits what zones use without knowing of each other.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::balance::QuotaLevel;
use crate::{
    config::Quota,
    process::exchange::{Reach, RowValue, SILENCE_MS},
    util::derive_value_traits,
};

/// Demand, as a multiple of the quota's rate, above which zones could use much of it before they know of each other.
const CONTENDED_FACTOR: f64 = 1.2;
/// Fraction of the burst below which a zone takes no more than its share of a contended quota.
const SCARCE_FRACTION: f64 = 0.3;
/// Time for which a zone can accumulate its share.
const SHARE_BURST_SECONDS: f64 = 0.25;
/// Fraction of a quota that is split by the number of daemons and not by demand.
const EQUAL_FRACTION: f64 = 0.25;
/// Time over which usage and demand are averaged.
const AVERAGE_MS: f64 = 1_000.0;
/// Time over which demand is averaged for the share that is reserved for a partitioned zone.
const LONG_AVERAGE_MS: f64 = 10_000.0;
/// Time without a report, as a multiple of the zone's interval, after which its use is estimated by that of the own zone.
const OVERDUE_INTERVALS: u64 = 5;
/// Largest factor by which a daemon of an overdue zone is taken to use more than one of the own zone.
const MAX_OVERDUE_SKEW: f64 = 1.5;
/// The time above is counted in halves of an interval.
const OVERDUE_DIVISOR: u64 = 2;
/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Fraction of the burst that is available when a daemon starts, as others may just have used the rest.
const INITIAL_FRACTION: f64 = 0.3;

derive_value_traits! {
    /// Usage of an account's quota since its reporter's start, in the quota's units.
    #[derive(Default)]
    pub(crate) struct QuotaUsage {
        /// Units admitted.
        pub used: f64,
        /// Units requested, whether admitted or not.
        pub asked: f64,
    }
}

derive_value_traits! {
    /// A reporter's total usage, with its total at the report before. A relay that does not know the reporter yet
    /// counts what came since then, as the relay before it has counted the rest.
    #[derive(Default)]
    pub(crate) struct QuotaTotal {
        pub used: f64,
        pub asked: f64,
        pub used_before: f64,
    }
}

impl QuotaTotal {
    /// Usage since the total that is known.
    fn since(&self, known: Option<&QuotaUsage>) -> QuotaUsage {
        match known {
            Some(known) => QuotaUsage { used: self.used - known.used, asked: self.asked - known.asked },
            None => {
                let used = self.used - self.used_before;
                QuotaUsage { used, asked: used }
            }
        }
    }

    fn usage(&self) -> QuotaUsage {
        QuotaUsage { used: self.used, asked: self.asked }
    }
}

impl RowValue for QuotaTotal {
    fn distance(&self, known: &Self) -> f64 {
        (self.used - known.used).abs() + (self.asked - known.asked).abs()
    }
}

#[derive(Debug, Default)]
struct ZoneUsage {
    /// Total of the relay that is heard, once it has reported.
    total: Option<QuotaUsage>,
    reported_at: u64,
    used_rate: f64,
    asked_rate: f64,
    long_asked_rate: f64,
    /// Its share of the demand when it last reported. Both sides of a partition go by the demand of that time.
    demand: f64,
    /// When its relay was last heard, and the time since it was heard before. Usage that has not changed is not reported.
    heard_at: u64,
    interval: u64,
    /// Units that the own zone had used when its relay was last heard.
    own_used: f64,
    /// Units that were taken off for it when it fell silent.
    assumed: f64,
}

impl ZoneUsage {
    fn apply_report(&mut self, total: &QuotaTotal, now: u64) -> f64 {
        let QuotaUsage { used, asked } = total.since(self.total.as_ref());
        let elapsed = now.saturating_sub(self.reported_at).max(1) as f64;
        let weight = (elapsed / AVERAGE_MS).min(1.0);
        self.used_rate += weight * (used / elapsed - self.used_rate);
        self.asked_rate += weight * (asked / elapsed - self.asked_rate);
        self.long_asked_rate += (elapsed / LONG_AVERAGE_MS).min(1.0) * (asked / elapsed - self.long_asked_rate);
        self.total = Some(total.usage());
        self.reported_at = now;
        used
    }

    /// Records that its relay is heard, while the own zone has used `own` units.
    fn hear(&mut self, own: f64, now: u64) {
        if now > self.heard_at {
            self.interval = now - self.heard_at;
            self.heard_at = now;
        }
        self.own_used = own;
    }

    fn is_silent(&self, now: u64) -> bool {
        now.saturating_sub(self.heard_at) >= SILENCE_MS
    }

    /// Units that it is expected to have used since it last reported, while the own zone has used `own` units. Once it is
    /// overdue, it may have been cut off in a burst: then it is taken to use `ratio` times as much as the own zone.
    fn unreported(&self, own: f64, ratio: f64, now: u64) -> f64 {
        let elapsed = now.saturating_sub(self.reported_at);
        let usual = if elapsed < SILENCE_MS { self.used_rate * elapsed as f64 } else { 0.0 };
        if now.saturating_sub(self.heard_at) * OVERDUE_DIVISOR <= self.interval * OVERDUE_INTERVALS {
            return usual;
        }
        usual.max((own - self.own_used).max(0.0) * ratio)
    }
}

#[derive(Debug)]
struct AccountQuota {
    level: f64,
    share_level: f64,
    updated_at: u64,
    /// Usage of the own availability zone.
    own: QuotaUsage,
    /// Usage of the own zone as the other zones know it.
    reported: ZoneUsage,
    asked_rate: f64,
    /// Fraction of the quota that belongs to daemons within reach.
    reachable: f64,
    /// Totals that the daemons of the zone have reported.
    members: HashMap<Arc<str>, QuotaUsage>,
    zones: HashMap<Arc<str>, ZoneUsage>,
}

impl AccountQuota {
    /// Creates the bucket as it was when the daemon started; nobody has reported usage since.
    fn new(quota: &Quota) -> Self {
        let level = quota.burst * INITIAL_FRACTION;
        Self {
            level,
            share_level: level,
            updated_at: 0,
            own: QuotaUsage::default(),
            reported: ZoneUsage::default(),
            asked_rate: 0.0,
            reachable: 1.0,
            members: HashMap::new(),
            zones: HashMap::new(),
        }
    }

    fn refill(&mut self, quota: &Quota, reach: &Reach, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        self.zones.retain(|name, _| reach.zones.iter().any(|(zone, ..)| zone == name));
        self.assume_use_of_silent(reach, now);
        self.reachable = 1.0 - self.unreachable_fraction(reach);
        let rate = quota.rate * self.reachable / 1000.0;
        self.level = (self.level + rate * elapsed).min(quota.burst * self.reachable);
        self.asked_rate *= (1.0 - elapsed / AVERAGE_MS).max(0.0);
        let share_rate = quota.rate / 1000.0 * self.share_fraction(reach);
        self.share_level = (self.share_level + share_rate * elapsed).min(share_rate * SHARE_BURST_SECONDS * 1000.0);
    }

    /// The own zone's share of the quota, as a fraction.
    fn share_fraction(&self, reach: &Reach) -> f64 {
        let equal = f64::from(reach.own) / f64::from(reach.total.max(1));
        let total = self.total_demand();
        let demand = if total > 0.0 { self.asked_rate / total } else { equal };
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * demand
    }

    /// Demand of all zones, in units per ms.
    fn total_demand(&self) -> f64 {
        self.asked_rate + self.zones.values().map(|zone| zone.asked_rate).sum::<f64>()
    }

    /// Fraction of the quota that belongs to daemons out of reach: those of zones that are not heard, by their demand
    /// until then, and those that nobody has reported for.
    fn unreachable_fraction(&self, reach: &Reach) -> f64 {
        let known = reach.zones.iter().fold(reach.own, |sum, (_, daemons, _)| sum.saturating_add(*daemons));
        let silent = reach.zones.iter().filter(|(_, _, is_heard)| !is_heard);
        // The share of silent zones is counted below, so the unknown daemons are some of the others.
        let silent_daemons = silent.clone().map(|(_, daemons, _)| *daemons).sum();
        let others = f64::from(reach.total.saturating_sub(silent_daemons).max(1));
        let unknown = (f64::from(reach.total.saturating_sub(known)) / others).min(1.0);
        let timed_out: f64 = silent.map(|(name, daemons, _)| self.zone_share(name, *daemons, reach)).sum();
        unknown + (1.0 - unknown) * timed_out.min(1.0)
    }

    fn has_demand(&self) -> bool {
        self.reported.long_asked_rate > 0.0 || self.zones.values().any(|zone| zone.demand > 0.0)
    }

    /// A zone's share of the quota, as a fraction, by its demand when it last reported.
    fn zone_share(&self, name: &str, daemons: u32, reach: &Reach) -> f64 {
        let equal = f64::from(daemons) / f64::from(reach.total.max(1));
        let known = self.zones.get(name).map_or(0.0, |zone| zone.demand);
        let demand = if self.has_demand() { known } else { equal };
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * demand
    }

    /// Units that each zone that is heard is expected to have used since its last report.
    fn unreported(&self, reach: &Reach, now: u64) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let shares = reach.zones.iter().map(|(name, daemons, _)| self.zone_share(name, *daemons, reach));
        let own_equal = f64::from(reach.own.max(1)) / f64::from(reach.total.max(1));
        let own = (1.0 - shares.sum::<f64>()).max(EQUAL_FRACTION * own_equal);
        reach.zones.iter().filter_map(move |(name, daemons, _)| {
            let (name, zone) = self.zones.get_key_value(name)?;
            let by_daemons = f64::from(*daemons) / f64::from(reach.own.max(1));
            let ratio = (self.zone_share(name, *daemons, reach) / own).min(MAX_OVERDUE_SKEW * by_daemons);
            Some((name, zone.unreported(self.own.used, ratio, now)))
        })
    }

    /// Takes off what zones that have just fallen silent are expected to have used.
    fn assume_use_of_silent(&mut self, reach: &Reach, now: u64) {
        if !self.zones.values().any(|zone| zone.assumed == 0.0 && zone.is_silent(now)) {
            return;
        }
        let assumed: Vec<_> = self.unreported(reach, now).map(|(name, units)| (name.clone(), units)).collect();
        for (name, units) in assumed {
            let zone = self.zones.get_mut(&name).filter(|zone| zone.assumed == 0.0 && zone.is_silent(now));
            if let Some(zone) = zone {
                zone.assumed = units;
                self.level -= units;
            }
        }
    }

    /// Updates a zone's share of the demand, when it has reported.
    fn update_demand(&mut self, zone: &str) {
        let rates = self.zones.values().chain([&self.reported]).map(|zone| zone.long_asked_rate);
        let total = rates.sum::<f64>();
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.demand = if total > 0.0 { zone.long_asked_rate / total } else { 0.0 };
        }
    }

    /// Units left, less what other zones are expected to have used since their last reports.
    fn left(&self, reach: &Reach, now: u64) -> f64 {
        let heard =
            self.unreported(reach, now).filter(|(name, _)| self.zones.get(*name).is_some_and(|z| !z.is_silent(now)));
        self.level - heard.map(|(_, units)| units).sum::<f64>()
    }

    fn record_asked(&mut self, units: f64) {
        self.own.asked += units;
        self.asked_rate += units / AVERAGE_MS;
    }

    fn record_used(&mut self, units: f64) {
        self.level -= units;
        self.share_level -= units;
        self.own.used += units;
    }
}

/// The quotas of all accounts, as the relay of an availability zone knows them.
#[derive(Debug, Default)]
pub(crate) struct QuotaLedger {
    accounts: HashMap<Arc<str>, AccountQuota>,
}

impl QuotaLedger {
    fn account(&mut self, name: &Arc<str>, quota: &Quota, reach: &Reach, now: u64) -> &mut AccountQuota {
        let account = self.accounts.entry(name.clone()).or_insert_with(|| AccountQuota::new(quota));
        account.refill(quota, reach, now);
        account
    }

    /// Charges `units` to an account's quota.
    ///
    /// # Errors
    /// Returns the time after which to retry when the quota, or this zone's share of it, is used up.
    pub fn charge(
        &mut self,
        name: &Arc<str>,
        quota: &Quota,
        units: f64,
        reach: &Reach,
        now: u64,
    ) -> Result<(), Duration> {
        let account = self.account(name, quota, reach, now);
        account.record_asked(units);
        let left = account.left(reach, now);
        let contended = account.total_demand() * 1000.0 > quota.rate * CONTENDED_FACTOR;
        let scarce = contended && left < quota.burst * SCARCE_FRACTION * account.reachable;
        let missing = if left <= 0.0 { -left + units } else { 0.0 };
        let exceeds_share = scarce && !reach.zones.is_empty() && account.share_level <= 0.0;
        if missing > 0.0 || exceeds_share {
            // By then the site as a whole has as many units again, whichever daemon gets the retry.
            let seconds = missing.max(units) / quota.rate;
            return Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX).max(MIN_RETRY_AFTER));
        }
        account.record_used(units);
        Ok(())
    }

    /// Applies the total that a daemon of the own zone has admitted by itself.
    pub fn apply_member_report(
        &mut self,
        from: &Arc<str>,
        (name, quota): (&Arc<str>, &Quota),
        total: &QuotaTotal,
        reach: &Reach,
        now: u64,
    ) {
        let account = self.account(name, quota, reach, now);
        let known = account.members.insert(from.clone(), total.usage());
        let new = total.since(known.as_ref());
        account.record_asked(new.asked);
        account.record_used(new.used);
    }

    /// Records that the relay of another availability zone is heard, which reports only what has changed.
    pub fn hear_zone(&mut self, zone: &str, now: u64) {
        for account in self.accounts.values_mut() {
            let own_used = account.own.used;
            if let Some(usage) = account.zones.get_mut(zone) {
                usage.hear(own_used, now);
            }
        }
    }

    /// Applies the total that another availability zone has used.
    pub fn apply_zone_report(
        &mut self,
        zone: &Arc<str>,
        (name, quota): (&Arc<str>, &Quota),
        total: &QuotaTotal,
        reach: &Reach,
        now: u64,
    ) {
        let account = self.account(name, quota, reach, now);
        let own_used = account.own.used;
        let usage = account.zones.entry(zone.clone()).or_default();
        usage.hear(own_used, now);
        let used = usage.apply_report(total, now);
        account.level -= used - std::mem::take(&mut usage.assumed);
        account.update_demand(zone);
    }

    /// Forgets the totals of a zone for which another relay speaks now.
    pub fn restart_zone(&mut self, zone: &str) {
        let zones = self.accounts.values_mut().filter_map(|account| account.zones.get_mut(zone));
        zones.for_each(|known| known.total = None);
    }

    /// Forgets a daemon that has left or restarted.
    pub fn remove_member(&mut self, daemon: &str) {
        self.accounts.values_mut().for_each(|account| {
            account.members.remove(daemon);
        });
    }

    /// Continues from the level that the previous relay of the zone has told.
    pub fn adopt_level(&mut self, name: &Arc<str>, quota: &Quota, level: f64, reach: &Reach, now: u64) {
        self.account(name, quota, reach, now).level = level;
    }

    /// What is left of each used account's quota that `quota_of` still knows; `counted` is left at 0.
    pub fn levels<'a>(
        &mut self,
        quota_of: impl Fn(&str) -> Option<&'a Quota>,
        reach: &Reach,
        now: u64,
    ) -> BTreeMap<Arc<str>, QuotaLevel> {
        let levels = self.accounts.iter_mut().filter_map(|(name, account)| {
            account.refill(quota_of(name)?, reach, now);
            let level = QuotaLevel { level: account.left(reach, now), counted: 0.0, reachable: account.reachable };
            Some((name.clone(), level))
        });
        levels.collect()
    }

    /// Total of a daemon of the zone that an account's level takes into account.
    pub fn counted(&self, name: &str, daemon: &str) -> f64 {
        self.accounts.get(name).and_then(|account| account.members.get(daemon)).map_or(0.0, |total| total.used)
    }

    /// Prepares for reports to other zones: what was used while another relay spoke for the zone has been reported by it.
    pub fn begin_reports(&mut self, now: u64) {
        self.zone_report(now);
    }

    /// Totals of the own zone, for the relays of the others.
    pub fn zone_report(&mut self, now: u64) -> BTreeMap<Arc<str>, QuotaTotal> {
        let total = |(name, account): (&Arc<str>, &mut AccountQuota)| {
            let used_before = account.reported.total.as_ref().map_or(0.0, |total| total.used);
            let QuotaUsage { used, asked } = account.own.clone();
            let total = QuotaTotal { used, asked, used_before };
            account.reported.apply_report(&total, now);
            (name.clone(), total)
        };
        self.accounts.iter_mut().map(total).collect()
    }
}

#[cfg(test)]
#[path = "ledger_test.rs"]
mod ledger_test;
