//! How long the requests of each route take at their servers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use parking_lot::Mutex;

/// Time after which the runs of a period no longer count, once the next one has passed too.
const PERIOD: Duration = Duration::from_secs(15);
/// Time that is kept in reserve beyond the longest run, as a share of it. The fewer runs are known, the more it is.
const RESERVE: f64 = 0.25;
/// Share of the runs that end within [`RunTimes::usual`].
const USUAL_SHARE: f64 = 0.9;
/// Longest run that is told apart from longer ones, in ms.
const MAX_RUN_MS: u64 = 3_600_000;

/// Times of recent runs by route and size.
#[derive(Default)]
pub(crate) struct RunTimes {
    by_kind: Mutex<BTreeMap<RunKind, RecentRuns>>,
}

/// Runs that take about as long as each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunKind {
    route: Arc<str>,
    /// Number of binary digits of the output tokens that were asked for; 0 if the answer is no stream of tokens.
    size: u32,
}

impl RunKind {
    /// Runs that may write up to `tokens` output tokens; without a limit if it is `None`.
    pub fn new(route: Arc<str>, tokens: Option<u32>) -> Self {
        Self { route, size: u32::BITS - tokens.map_or(0, u32::leading_zeros) }
    }
}

/// Runs of the current period and of the one before, in ms.
struct RecentRuns {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    since: Instant,
}

impl RunTimes {
    /// Records a run that has ended.
    pub fn record(&self, kind: &RunKind, took: Duration, now: Instant) {
        let mut by_kind = self.by_kind.lock();
        if !by_kind.contains_key(kind) {
            // Routes that have left the configuration are forgotten when one is added.
            by_kind.retain(|_, runs| now.saturating_duration_since(runs.since) < 2 * PERIOD);
        }
        let runs = by_kind.entry(kind.clone()).or_insert_with(|| RecentRuns::new(now));
        runs.advance(now);
        runs.current.saturating_record(u64::try_from(took.as_millis()).unwrap_or(MAX_RUN_MS).max(1));
    }

    /// Time within which practically every run ends; `None` if none is known.
    pub fn longest(&self, kind: &RunKind, now: Instant) -> Option<Duration> {
        self.read(kind, now, |runs| {
            let reserve = RESERVE.max(1.0 / runs.count() as f64);
            runs.read(Histogram::max).mul_f64(1.0 + reserve)
        })
    }

    /// Time within which most runs end; `None` if none is known.
    pub fn usual(&self, kind: &RunKind, now: Instant) -> Option<Duration> {
        self.read(kind, now, |runs| runs.read(|histogram| histogram.value_at_quantile(USUAL_SHARE)))
    }

    /// Number of recent runs from which the times of a kind are known.
    pub fn count(&self, kind: &RunKind, now: Instant) -> u64 {
        self.read(kind, now, RecentRuns::count).unwrap_or(0)
    }

    /// Reads the times of the next larger kind if there are none of this one.
    fn read<T>(&self, kind: &RunKind, now: Instant, read: impl Fn(&RecentRuns) -> T) -> Option<T> {
        let mut by_kind = self.by_kind.lock();
        let larger = by_kind.range_mut(kind..).take_while(|(known, _)| known.route == kind.route);
        let mut known = larger.filter_map(|(_, runs)| {
            runs.advance(now);
            (runs.count() > 0).then_some(runs)
        });
        known.next().map(|runs| read(runs))
    }
}

impl RecentRuns {
    fn new(now: Instant) -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_RUN_MS, 2).expect("the bounds are valid");
        Self { current: empty(), previous: empty(), since: now }
    }

    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
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
        } else {
            self.previous.reset();
        }
        self.current.reset();
        self.since = now;
    }
}

#[cfg(test)]
#[path = "run_times_test.rs"]
mod run_times_test;
