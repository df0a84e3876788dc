//! How long the requests of each route take at their servers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use super::run_counts::RunCounts;

/// Time after which the runs of a period no longer count, once the next one has passed too.
const PERIOD: Duration = Duration::from_secs(15);
/// Time that is kept in reserve beyond the longest run at the least in a short stop, as a share of it.
const SHORT_RESERVE: f64 = 0.25;
/// Limit of a stop below which there is no room for silent servers, as nothing would be begun in most of it.
const SHORT_STOP: Duration = Duration::from_secs(6);
/// Time that is kept in reserve beyond the only run that is known, as a share of it. It falls with the square root of the
/// number of runs.
const RESERVE_OF_ONE: f64 = 2.0;
/// Number of runs of all daemons from which on the time of nearly all is known.
const ENOUGH_RUNS: u64 = 100;
/// Share of the runs of all daemons that may take longer than [`RunTimes::longest`].
const LONGER_SHARE: f64 = 0.01;
/// Share of the runs that may be longer and meet a silent server besides.
const SILENT_LONGER_SHARE: f64 = 0.1;
/// Time for which a sound server may fall silent while it runs a request.
const SOUND_SILENCE: Duration = Duration::from_secs(2);
/// Share of the runs that end within [`RunTimes::usual`].
const USUAL_SHARE: f64 = 0.9;
/// Longest run that is told apart from longer ones, in ms.
const MAX_RUN_MS: u64 = 3_600_000;

/// Times of recent runs by route and size.
#[derive(Default)]
pub(crate) struct RunTimes {
    by_kind: Mutex<BTreeMap<RunKind, RecentRuns>>,
    /// Runs of all daemons, and when they were learned.
    fleet: Mutex<BTreeMap<RunKind, (RunCounts, Instant)>>,
    has_short_stop: bool,
}

/// Runs that take about as long as each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunKind {
    pub route: Arc<str>,
    /// Number of binary digits of the output tokens that were asked for; 0 if the answer is no stream of tokens.
    pub size: u32,
}

impl RunKind {
    /// Runs that may write up to `tokens` output tokens; without a limit if it is `None`.
    pub fn new(route: Arc<str>, tokens: Option<u32>) -> Self {
        Self { route, size: u32::BITS - tokens.map_or(0, u32::leading_zeros) }
    }
}

/// Whose runs are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Knowledge {
    /// Those of this daemon.
    Own,
    /// Those of all daemons.
    Fleet,
}

impl Knowledge {
    pub fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Fleet => "fleet",
        }
    }
}

/// Runs of the current period and of the one before, in ms.
struct RecentRuns {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// The same, as they are told to other daemons.
    current_counts: RunCounts,
    previous_counts: RunCounts,
    since: Instant,
    /// Whether other daemons are told of them.
    is_shared: bool,
}

impl RunTimes {
    /// Times that are known to a daemon whose stops have this limit.
    pub fn new(stop_limit: Option<Duration>) -> Self {
        Self { has_short_stop: stop_limit.is_some_and(|limit| limit < SHORT_STOP), ..Self::default() }
    }

    /// Records a run that has ended.
    pub fn record(&self, kind: &RunKind, took: Duration, now: Instant) {
        let mut by_kind = self.by_kind.lock();
        if !by_kind.contains_key(kind) {
            // Routes that have left the configuration are forgotten when one is added.
            by_kind.retain(|_, runs| now.saturating_duration_since(runs.since) < 2 * PERIOD);
        }
        let runs = by_kind.entry(kind.clone()).or_insert_with(|| RecentRuns::new(now));
        runs.advance(now);
        runs.current_counts.record(took.max(Duration::from_millis(1)), 1);
        runs.current.saturating_record(u64::try_from(took.as_millis()).unwrap_or(MAX_RUN_MS).max(1));
    }

    /// Tells the other daemons of the runs of a kind.
    pub fn share(&self, kind: &RunKind) {
        if let Some(runs) = self.by_kind.lock().get_mut(kind) {
            runs.is_shared = true;
        }
    }

    /// Runs of this daemon, for the others.
    pub fn own(&self, now: Instant) -> BTreeMap<RunKind, RunCounts> {
        let mut by_kind = self.by_kind.lock();
        let rows = by_kind.iter_mut().filter(|(_, runs)| runs.is_shared).map(|(kind, runs)| {
            runs.advance(now);
            (kind.clone(), runs.counts())
        });
        rows.filter(|(_, counts)| counts.total() > 0).collect()
    }

    /// Takes over what is known of the runs of all daemons, this one included.
    pub fn learn(&self, rows: impl IntoIterator<Item = (RunKind, RunCounts)>, now: Instant) {
        let mut fleet = self.fleet.lock();
        fleet.extend(rows.into_iter().map(|(kind, counts)| (kind, (counts, now))));
        fleet.retain(|_, (counts, at)| counts.total() > 0 && now.saturating_duration_since(*at) < PERIOD);
    }

    /// Time within which practically every run ends, also if its server falls silent once; `None` if none is known.
    pub fn longest(&self, kind: &RunKind, now: Instant) -> Option<Duration> {
        let (counts, _) = self.known(kind, now)?;
        let total = counts.total();
        if self.has_short_stop {
            let reserve = SHORT_RESERVE.max(1.0 / total as f64);
            return Some(counts.longest().mul_f64(1.0 + reserve));
        }
        let longest = if total >= ENOUGH_RUNS {
            counts.time_of_all_but(LONGER_SHARE)
        } else {
            counts.longest().mul_f64(1.0 + RESERVE_OF_ONE / (total as f64).sqrt())
        };
        Some(longest.max(counts.time_of_all_but(SILENT_LONGER_SHARE) + SOUND_SILENCE))
    }

    /// Number of recent runs on which [`RunTimes::longest`] rests, and whose they are.
    pub fn longest_basis(&self, kind: &RunKind, now: Instant) -> (u64, Knowledge) {
        self.known(kind, now).map_or((0, Knowledge::Own), |(counts, knowledge)| (counts.total(), knowledge))
    }

    /// Runs of this daemon or of all, whichever are more; of the next larger kind if there are none of this one.
    fn known(&self, kind: &RunKind, now: Instant) -> Option<(RunCounts, Knowledge)> {
        let own = self.read(kind, now, |found, runs| (found.clone(), (runs.counts(), Knowledge::Own)));
        let fleet = self.fleet.lock();
        let larger = fleet.range(kind..).take_while(|(known, _)| known.route == kind.route);
        let mut known = larger.filter(|(_, (_, at))| now.saturating_duration_since(*at) < PERIOD);
        let fleet = known.next().map(|(found, (counts, _))| (found.clone(), (counts.clone(), Knowledge::Fleet)));
        match (own, fleet) {
            (Some((own_kind, own)), Some((fleet_kind, fleet))) => {
                let is_own = own_kind < fleet_kind || own_kind == fleet_kind && own.0.total() > fleet.0.total();
                Some(if is_own { own } else { fleet })
            }
            (own, fleet) => own.or(fleet).map(|(_, known)| known),
        }
    }

    /// Time within which most runs end; `None` if none is known.
    pub fn usual(&self, kind: &RunKind, now: Instant) -> Option<Duration> {
        self.read(kind, now, |_, runs| runs.read(|histogram| histogram.value_at_quantile(USUAL_SHARE)))
    }

    /// Number of recent runs from which the times of a kind are known.
    pub fn count(&self, kind: &RunKind, now: Instant) -> u64 {
        self.read(kind, now, |_, runs| runs.count()).unwrap_or(0)
    }

    /// Reads the times of the next larger kind if there are none of this one.
    fn read<T>(&self, kind: &RunKind, now: Instant, read: impl Fn(&RunKind, &RecentRuns) -> T) -> Option<T> {
        let mut by_kind = self.by_kind.lock();
        let larger = by_kind.range_mut(kind..).take_while(|(known, _)| known.route == kind.route);
        let mut known = larger.filter_map(|(found, runs)| {
            runs.advance(now);
            (runs.count() > 0).then_some((found, runs))
        });
        known.next().map(|(found, runs)| read(found, runs))
    }
}

impl RecentRuns {
    fn new(now: Instant) -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_RUN_MS, 2).expect("the bounds are valid");
        let (current_counts, previous_counts) = Default::default();
        Self { current: empty(), previous: empty(), current_counts, previous_counts, since: now, is_shared: false }
    }

    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn counts(&self) -> RunCounts {
        let mut counts = self.current_counts.clone();
        counts.add(&self.previous_counts);
        counts
    }

    /// The longer of the times that `read` finds for the two periods, in ms.
    fn read(&self, read: impl Fn(&Histogram<u32>) -> u64) -> Duration {
        Duration::from_millis(read(&self.current).max(read(&self.previous)))
    }

    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < PERIOD {
            return;
        }
        if age < 2 * PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.previous_counts = std::mem::take(&mut self.current_counts);
        } else {
            self.previous.reset();
            self.previous_counts = RunCounts::default();
        }
        self.current.reset();
        self.current_counts = RunCounts::default();
        self.since = now;
    }
}

#[cfg(test)]
#[path = "run_times_test.rs"]
mod run_times_test;
