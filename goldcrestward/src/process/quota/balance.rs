//! What a daemon knows of the accounts' quotas, and what it has admitted by itself.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::ledger::{QuotaTotal, QuotaUsage};
use crate::{config::Quota, util::derive_value_traits};

/// Fraction of the burst above which a daemon admits without asking the relay.
const PLENTY_FRACTION: f64 = 0.5;
/// Time for which a level that the relay has sent is valid.
const LEVEL_TTL_MS: u64 = 1_500;
/// Time for which a level is taken to refill. Beyond it, what others use meanwhile is unknown.
const REFILL_MS: u64 = 250;
/// Fraction of the burst that the daemons of a site may admit by themselves before they report it at once.
const URGENT_FRACTION: f64 = 0.2;

derive_value_traits! {
    /// What the relay says of an account's quota.
    #[derive(Default)]
    pub(crate) struct QuotaLevel {
        /// Units left.
        pub level: f64,
        /// Units admitted by this daemon that `level` takes into account.
        pub counted: f64,
        /// Fraction of the quota that daemons within reach may use.
        pub reachable: f64,
    }
}

/// How a request is to be charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// Plenty is left: it has been charged here.
    Admitted,
    /// The relay decides; the estimate of what is left, and its age in ms.
    AskRelay(f64, u64),
    /// No relay has been heard for a while: the daemon decides by its own part of the quota.
    NoRelay,
}

#[derive(Debug, Default)]
struct Balance {
    own: QuotaUsage,
    reported_used: f64,
    known: Option<(QuotaLevel, u64)>,
}

impl QuotaLevel {
    /// Units left after `age` ms, as a daemon expects that has admitted `used` units since its start.
    pub fn estimate(&self, quota: &Quota, used: f64, age: u64) -> f64 {
        let refilled = self.level + quota.rate * self.reachable * age.min(REFILL_MS) as f64 / 1000.0;
        refilled.min(quota.burst * self.reachable) - (used - self.counted)
    }
}

impl Balance {
    fn estimate(&self, quota: &Quota, now: u64) -> Option<(f64, u64)> {
        let (known, at) = self.known.as_ref()?;
        let age = now.saturating_sub(*at);
        (age < LEVEL_TTL_MS).then(|| (known.estimate(quota, self.own.used, age), age))
    }
}

/// The balances of all accounts at one daemon.
#[derive(Debug, Default)]
pub(crate) struct QuotaBalances {
    accounts: HashMap<Arc<str>, Balance>,
}

impl QuotaBalances {
    /// Decides how to charge a request, and charges it if plenty is left and this daemon, one of `daemons`, has not used its
    /// part of that since the relay last counted: if it is cut off, its reports are lost and the others use the rest.
    pub fn charge(&mut self, name: &Arc<str>, quota: &Quota, units: f64, daemons: usize, now: u64) -> Verdict {
        let account = self.accounts.entry(name.clone()).or_default();
        let Some((left, age)) = account.estimate(quota, now) else { return Verdict::NoRelay };
        let (reachable, counted) =
            account.known.as_ref().map_or((0.0, 0.0), |(known, _)| (known.reachable, known.counted));
        let plenty = quota.burst * reachable * PLENTY_FRACTION;
        let unconfirmed = account.own.used - counted;
        let exceeds_part = unconfirmed > 0.0 && unconfirmed + units > plenty / daemons.max(1) as f64;
        if left - units < plenty || exceeds_part {
            return Verdict::AskRelay(left, age);
        }
        account.own.used += units;
        account.own.asked += units;
        Verdict::Admitted
    }

    /// Records a request that was admitted without the relay.
    pub fn record(&mut self, name: &Arc<str>, units: f64) {
        let account = self.accounts.entry(name.clone()).or_default();
        account.own.used += units;
        account.own.asked += units;
    }

    /// Returns the units of a request that has not run.
    pub fn refund(&mut self, name: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.own.used -= units;
        }
    }

    /// Applies what the relay says of an account.
    pub fn apply_level(&mut self, name: &Arc<str>, level: QuotaLevel, now: u64) {
        self.accounts.entry(name.clone()).or_default().known = Some((level, now));
    }

    /// What was left of an account's quota when the relay last told it, less what this daemon has admitted since.
    pub fn last_level(&self, name: &str) -> Option<f64> {
        let account = self.accounts.get(name)?;
        account.known.as_ref().map(|(known, _)| known.level - (account.own.used - known.counted))
    }

    /// The accounts' estimated levels that the relay has told lately.
    pub fn levels<'a>(&self, quota_of: impl Fn(&str) -> Option<&'a Quota>, now: u64) -> Vec<(Arc<str>, f64)> {
        let level =
            |(name, account): (&Arc<str>, &Balance)| Some((name.clone(), account.estimate(quota_of(name)?, now)?.0));
        self.accounts.iter().filter_map(level).collect()
    }

    /// Totals of what this daemon has admitted by itself, for its report to the relays.
    pub fn usage_report(&mut self) -> BTreeMap<Arc<str>, QuotaTotal> {
        let report = |(name, account): (&Arc<str>, &mut Balance)| {
            let used_before = std::mem::replace(&mut account.reported_used, account.own.used);
            let QuotaUsage { used, asked } = account.own.clone();
            (name.clone(), QuotaTotal { used, asked, used_before })
        };
        self.accounts.iter_mut().map(report).collect()
    }

    /// Whether so much has been admitted since the last report that the relay should get one at once.
    pub fn is_report_due(&self, name: &str, quota: &Quota, daemons: usize) -> bool {
        let threshold = quota.burst * URGENT_FRACTION / daemons.max(1) as f64;
        self.accounts.get(name).is_some_and(|account| account.own.used - account.reported_used > threshold)
    }
}
