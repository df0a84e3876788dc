//! Sums of what daemons report: those of the own availability zone one by one, other zones as one sum each.
//!
//! Reports carry totals since the sender's start, so that lost, late and repeated messages do no harm.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{
    changed_rows::RowValue,
    heard_relay::{HeardRelay, Hearing},
    timing::{report_timeout_ms, silence_ms},
};
use crate::{
    pb,
    process::{loads::PeerLoad, run_counts::RunCounts, run_times::RunKind},
};

/// Time for which a daemon that went silent without leaving still counts as part of the site: it may be serving
/// callers on the other side of a partition.
const SILENT_RETENTION_MS: u64 = 30_000;
/// Time after which run times that are not sent again no longer count.
const RUNS_TIMEOUT_MS: u64 = 15_000;

/// Loads by the hash of the replica.
pub(crate) type Loads = BTreeMap<u64, PeerLoad>;
/// Work sent to pools in ms, by pool.
pub(crate) type Works = BTreeMap<Arc<str>, f64>;
/// Recent runs by kind.
pub(crate) type Runs = BTreeMap<RunKind, RunCounts>;

impl RowValue for PeerLoad {
    /// Changes relative to the load, so that those of servers with few short requests count as much as those of servers
    /// with long prompts.
    fn distance(&self, known: &Self) -> f64 {
        /// Prefill time below which changes matter little.
        const SHORT_PREFILL_MS: f64 = 20.0;
        /// Prefill time that is too short to be worth a message.
        const IGNORED_PREFILL_MS: f64 = 1.0;

        let running =
            f64::from(self.running.abs_diff(known.running)) / f64::from(self.running.max(known.running).max(1));
        let prefill = (self.prefill_ms - known.prefill_ms).abs();
        if prefill < IGNORED_PREFILL_MS && self.prefill_ms > 0.0 {
            return running;
        }
        running + prefill / (self.prefill_ms.max(known.prefill_ms) + SHORT_PREFILL_MS)
    }
}

#[derive(Debug, Default)]
struct Reported {
    life: u64,
    reported_at: u64,
    /// Time from one report to the next, if that is long.
    period_ms: u64,
    /// Loads and when they were last reported; one whose end was told in a lost message expires.
    loads: BTreeMap<u64, (PeerLoad, u64)>,
    works: Works,
    /// Run times and when they were last reported.
    runs: BTreeMap<RunKind, (RunCounts, u64)>,
    holds_duties: bool,
}

impl Reported {
    fn is_fresh(&self, now: u64) -> bool {
        now.saturating_sub(self.reported_at) < report_timeout_ms(self.period_ms)
    }

    fn is_heard(&self, now: u64) -> bool {
        now.saturating_sub(self.reported_at) < silence_ms(self.period_ms)
    }

    fn apply(&mut self, loads: Loads, works: Works, now: u64) {
        self.reported_at = now;
        self.loads.extend(loads.into_iter().map(|(replica, load)| (replica, (load, now))));
        let timeout = report_timeout_ms(self.period_ms);
        self.loads.retain(|_, (load, at)| {
            let is_fresh = now.saturating_sub(*at) < timeout;
            is_fresh && (load.running > 0 || load.prefill_ms > 0.0)
        });
        self.works.extend(works);
    }

    fn apply_runs(&mut self, runs: Runs, now: u64) {
        self.runs.extend(runs.into_iter().map(|(kind, counts)| (kind, (counts, now))));
        self.runs.retain(|_, (counts, at)| counts.total() > 0 && now.saturating_sub(*at) < RUNS_TIMEOUT_MS);
    }
}

/// Who sent the sum of an availability zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SumHead<'a> {
    pub relay: &'a str,
    /// Start time of the relay in ms.
    pub life: u64,
    /// Daemons whose reports are included.
    pub daemons: u32,
    /// Time from one sum to the next, in ms.
    pub period_ms: u64,
}

impl<'a> SumHead<'a> {
    /// Takes the head of a message of the daemon `relay`.
    pub fn from(sum: &pb::ZoneSum, relay: &'a str) -> Self {
        Self { relay, life: sum.life, daemons: sum.daemons, period_ms: sum.period_ms.into() }
    }
}

#[derive(Debug, Default)]
struct Zone {
    relay: HeardRelay,
    daemons: u32,
    sum: Reported,
}

/// Daemons that an exchange of reports covers, for dividing what belongs to the whole site.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Reach {
    /// Daemons of the own availability zone that report here, this one included.
    pub own: u32,
    /// Daemons of the site, including those that went silent a short time ago.
    pub total: u32,
    /// The other availability zones, with their daemons and whether their relay is heard.
    pub zones: Vec<(Arc<str>, u32, bool)>,
}

impl Reach {
    /// Share of the site's daemons that are heard, directly or through the relay of their zone.
    pub fn heard_share(&self) -> f64 {
        let heard = self.zones.iter().filter(|(_, _, is_heard)| *is_heard).map(|(_, daemons, _)| f64::from(*daemons));
        ((f64::from(self.own) + heard.sum::<f64>()) / f64::from(self.total.max(1))).min(1.0)
    }
}

/// What the daemons of the site report, as one daemon knows it.
#[derive(Debug, Default)]
pub(crate) struct FleetTable {
    members: HashMap<Arc<str>, Reported>,
    zones: BTreeMap<Arc<str>, Zone>,
    /// Work of daemons that have stopped, so that sums only grow.
    retired: Works,
}

impl FleetTable {
    /// Applies a report of a daemon of the own availability zone. Returns whether its totals continue from those known.
    pub fn apply_report(
        &mut self,
        from: &Arc<str>,
        life: u64,
        loads: Loads,
        works: Works,
        holds_duties: bool,
        now: u64,
    ) -> bool {
        let known = self.members.contains_key(from);
        let member = self.members.entry(from.clone()).or_default();
        let continues = known && member.life == life;
        if !continues {
            retire(&mut self.retired, std::mem::take(&mut member.works));
            *member = Reported { life, ..Reported::default() };
        }
        member.holds_duties = holds_duties;
        member.apply(loads, works, now);
        continues
    }

    /// Applies the sum of another availability zone, from its relay. `None` if another relay speaks for the zone,
    /// else whether the sum continues from the one known.
    pub fn apply_zone_sum(
        &mut self,
        zone: &Arc<str>,
        head: SumHead<'_>,
        (loads, works): (Loads, Works),
        now: u64,
    ) -> Option<bool> {
        let SumHead { relay, life, daemons, period_ms } = head;
        let entry = self.zones.entry(zone.clone()).or_default();
        let hearing = entry.relay.hear(relay, life, period_ms, now);
        if hearing == Hearing::Ignore {
            return None;
        }
        if hearing == Hearing::Changed {
            entry.sum = Reported::default();
        }
        entry.daemons = daemons;
        entry.sum.period_ms = period_ms;
        entry.sum.apply(loads, works, now);
        Some(hearing == Hearing::Same)
    }

    /// Applies the run times that came with a report of a daemon of the own availability zone.
    pub fn apply_member_runs(&mut self, from: &str, runs: Runs, now: u64) {
        if let Some(member) = self.members.get_mut(from) {
            member.apply_runs(runs, now);
        }
    }

    /// Applies the run times that came with the sum of another availability zone.
    pub fn apply_zone_runs(&mut self, zone: &str, runs: Runs, now: u64) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.sum.apply_runs(runs, now);
        }
    }

    /// Recent runs of the own availability zone.
    pub fn zone_runs(&self, now: u64) -> Runs {
        sum_runs(self.members.values(), now)
    }

    /// Recent runs of all daemons.
    pub fn all_runs(&self, now: u64) -> Runs {
        sum_runs(self.members.values().chain(self.zones.values().map(|zone| &zone.sum)), now)
    }

    /// Removes a daemon that has announced that it is leaving.
    pub fn remove_member(&mut self, daemon: &str) {
        if let Some(member) = self.members.remove(daemon) {
            retire(&mut self.retired, member.works);
        }
    }

    /// Removes what has been silent for long.
    pub fn expire(&mut self, now: u64) {
        let is_old = |reported_at: u64| now.saturating_sub(reported_at) >= SILENT_RETENTION_MS;
        let retired = &mut self.retired;
        self.members.retain(|_, member| {
            let old = is_old(member.reported_at);
            if old {
                retire(retired, std::mem::take(&mut member.works));
            }
            !old
        });
        self.zones.retain(|_, zone| !is_old(zone.sum.reported_at));
    }

    /// Number of daemons of the own zone that are heard, this one included once it has reported to itself.
    pub fn heard_members(&self, now: u64) -> u32 {
        self.members.values().filter(|member| member.is_heard(now)).count() as u32
    }

    /// Whether a daemon of the own availability zone reports here.
    pub fn is_member(&self, daemon: &str) -> bool {
        self.members.contains_key(daemon)
    }

    /// Whether a daemon of the own availability zone has reported that it holds the duties.
    pub fn holds_duties(&self, daemon: &str) -> bool {
        self.members.get(daemon).is_some_and(|member| member.holds_duties)
    }

    /// The exchange's reach at a site with `daemons` daemons.
    pub fn reach(&self, daemons: usize, now: u64) -> Reach {
        let own = self.heard_members(now).max(1);
        let zones: Vec<_> =
            self.zones.iter().map(|(name, zone)| (name.clone(), zone.daemons, zone.sum.is_heard(now))).collect();
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1);
        let known = zones.iter().fold(members, |sum, (_, daemons, _)| sum.saturating_add(*daemons));
        Reach { own, total: known.max(u32::try_from(daemons).unwrap_or(u32::MAX)), zones }
    }

    /// Sum of the loads of the own availability zone.
    pub fn zone_loads(&self, now: u64) -> Loads {
        sum_loads(self.members.values().filter(|member| member.is_fresh(now)))
    }

    /// Sum of the loads of all daemons.
    pub fn all_loads(&self, now: u64) -> Loads {
        let zones = self.zones.values().map(|zone| &zone.sum);
        sum_loads(self.members.values().chain(zones).filter(|reported| reported.is_fresh(now)))
    }

    /// Takes one daemon's own loads out of a sum of the loads of all.
    pub fn without_member(&self, all: &Loads, daemon: &str, now: u64) -> Loads {
        let mut others = all.clone();
        if let Some(member) = self.members.get(daemon).filter(|member| member.is_fresh(now)) {
            for (replica, (load, _)) in &member.loads {
                let Some(rest) = others.get_mut(replica) else { continue };
                rest.running = rest.running.saturating_sub(load.running);
                rest.prefill_ms = (rest.prefill_ms - load.prefill_ms).max(0.0);
            }
        }
        others.retain(|_, load| load.running > 0 || load.prefill_ms > 0.0);
        others
    }

    /// Total work of the own availability zone, including that of daemons that have stopped.
    pub fn zone_works(&self) -> Works {
        let mut sum = self.retired.clone();
        self.members.values().for_each(|member| retire(&mut sum, member.works.clone()));
        sum
    }

    /// Total work of each other availability zone whose relay is heard.
    pub fn other_works(&self, now: u64) -> impl Iterator<Item = (&Arc<str>, &Works)> {
        self.zones.iter().filter(move |(_, zone)| zone.sum.is_fresh(now)).map(|(name, zone)| (name, &zone.sum.works))
    }
}

fn retire(sum: &mut Works, works: Works) {
    for (pool, ms) in works {
        *sum.entry(pool).or_default() += ms;
    }
}

fn sum_loads<'a>(reports: impl Iterator<Item = &'a Reported>) -> Loads {
    let mut sum = Loads::new();
    for (replica, (load, _)) in reports.flat_map(|report| &report.loads) {
        let entry = sum.entry(*replica).or_default();
        entry.running = entry.running.saturating_add(load.running);
        entry.prefill_ms += load.prefill_ms;
    }
    sum
}

fn sum_runs<'a>(reports: impl Iterator<Item = &'a Reported>, now: u64) -> Runs {
    let mut sum = Runs::new();
    let rows = reports.flat_map(|report| &report.runs);
    for (kind, (counts, _)) in rows.filter(|(_, (_, at))| now.saturating_sub(*at) < RUNS_TIMEOUT_MS) {
        sum.entry(kind.clone()).or_default().add(counts);
    }
    sum
}

#[cfg(test)]
#[path = "fleet_table_test.rs"]
mod fleet_table_test;
