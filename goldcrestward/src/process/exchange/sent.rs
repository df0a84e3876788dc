//! What other daemons have been sent, and the messages that carry what they lack.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use super::{
    changed_rows::{ChangedRows, RowValue},
    fleet_table::{Loads, Runs},
    rows::{MAX_COUNTS, MAX_LOADS, MAX_QUOTAS, MAX_RUNS, MAX_WORKS, load_rows, quota_rows, run_rows, work_row},
};
use crate::{
    config::Quota,
    pb,
    process::{
        duty::SETTLE_DIVISOR,
        gateway::Gateway,
        loads::PeerLoad,
        quota::{QuotaLevel, QuotaTotal},
        run_times::RunKind,
        usage::windows_in,
    },
    util::unix_ms,
};

/// Fraction of a quota's burst by which a level must differ from what a daemon expects to be sent.
const LEVEL_TOLERANCE: f64 = 0.03;
/// Shortest time from one message with run times to the next.
const RUNS_INTERVAL_MS: u64 = 700;

impl RowValue for f64 {
    fn distance(&self, known: &Self) -> f64 {
        (self - known).abs()
    }
}

impl RowValue for u64 {
    fn distance(&self, known: &Self) -> f64 {
        self.abs_diff(*known) as f64
    }
}

/// A level that a daemon has been sent, as it extrapolates it.
#[derive(Clone, Debug)]
pub(super) struct SentLevel {
    pub level: QuotaLevel,
    pub sent_at: u64,
}

/// Totals of usage by account.
pub(super) type Totals = BTreeMap<Arc<str>, QuotaTotal>;

/// What one recipient of messages has been sent.
#[derive(Debug, Default)]
pub(super) struct Sent {
    pub loads: ChangedRows<u64, PeerLoad>,
    pub quotas: ChangedRows<Arc<str>, QuotaTotal>,
    pub works: ChangedRows<(Arc<str>, Arc<str>), f64>,
    pub windows: ChangedRows<(u64, Arc<str>), u64>,
    pub levels: HashMap<Arc<str>, SentLevel>,
    /// The kind of run times that was sent last, and when.
    run_sent: Option<(RunKind, u64)>,
}

impl Sent {
    /// Sends everything again, as one of the recipients is new.
    pub fn restart(&mut self) {
        self.loads.restart();
        self.quotas.restart();
        self.works.restart();
        self.windows.restart();
        self.levels.clear();
        self.run_sent = None;
    }

    /// At most `limit` rows of run times if they are due. All rows are sent in turn, as nearly all of them change all the time.
    pub fn run_rows(&mut self, runs: &Runs, limit: usize, now: u64) -> Vec<pb::RunCounts> {
        let start = match &self.run_sent {
            Some((_, at)) if now.saturating_sub(*at) < RUNS_INTERVAL_MS => return Vec::new(),
            Some((last, _)) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let in_turn = runs.range((start, Bound::Unbounded)).chain(runs).take(limit.min(runs.len()));
        let rows: Vec<_> = in_turn.map(|(kind, counts)| (kind.clone(), counts.clone())).collect();
        if let Some((last, _)) = rows.last() {
            self.run_sent = Some((last.clone(), now));
        }
        run_rows(rows)
    }
}

pub(super) fn is_level_due(sent: Option<&SentLevel>, level: &QuotaLevel, quota: &Quota, now: u64) -> bool {
    /// Interval at which an unchanged level is sent again.
    const REFRESH_MS: u64 = 700;

    let Some(sent) = sent else { return true };
    let age = now.saturating_sub(sent.sent_at);
    let expected = sent.level.estimate(quota, level.counted, age);
    age >= REFRESH_MS || (expected - level.level).abs() > LEVEL_TOLERANCE * quota.burst
}

/// Builds a report of the rows that `sent` lacks, of as many as fit into a datagram unless it must be whole.
pub(super) fn report(gateway: &Gateway, sent: &mut Sent, usage: &Totals, is_whole: bool, now: u64) -> pb::Report {
    let limit = |rows| if is_whole { usize::MAX } else { rows };
    let shared = &gateway.shared;
    let settings = &shared.settings;
    let loads: Loads = shared
        .replicas
        .all()
        .into_iter()
        .map(|replica| (replica.hash(), replica.own_load()))
        .filter(|(_, load)| load.running > 0)
        .collect();
    let works: BTreeMap<_, _> =
        gateway.work.lock().iter().map(|(pool, sent)| ((Arc::from(""), pool.clone()), sent.ms)).collect();
    // The current window, and those that the duty holder normally has not reported yet.
    let recent = windows_in(settings.usage_window, settings.usage_delay / SETTLE_DIVISOR) + 2;
    let counts = gateway.usage.lock();
    let windows: BTreeMap<(u64, Arc<str>), u64> = counts
        .own()
        .iter()
        .rev()
        .take(recent)
        .flat_map(|(window, accounts)| accounts.iter().map(|(name, count)| ((*window, name.clone()), *count)))
        .collect();
    drop(counts);
    let mut by_window: BTreeMap<u64, Vec<pb::AccountCount>> = BTreeMap::new();
    for ((window, account), count) in sent.windows.take(&windows, limit(MAX_COUNTS), now) {
        if !windows.contains_key(&(window, account.clone())) {
            continue;
        }
        by_window.entry(window).or_default().push(pb::AccountCount { account: account.to_string(), count });
    }
    pb::Report {
        life: shared.epoch,
        unix_ms: unix_ms(),
        loads: load_rows(sent.loads.take(&loads, limit(MAX_LOADS), now)),
        quotas: quota_rows(sent.quotas.take(usage, limit(MAX_QUOTAS), now)),
        windows: by_window.into_iter().map(|(window, counts)| pb::WindowCounts { window, counts }).collect(),
        works: sent.works.take(&works, limit(MAX_WORKS), now).into_iter().map(work_row).collect(),
        runs: sent.run_rows(&shared.run_times.own(Instant::now()), limit(MAX_RUNS), now),
        holds_duties: shared.holds_duties.load(Ordering::Relaxed),
    }
}

#[cfg(test)]
#[path = "sent_test.rs"]
mod sent_test;
