//! Sequential judgement of a new version against the old one in the same periods and zones.
//!
//! Tests begin anew at intervals, so that a version that turns bad later is not hidden by
//! its good past; the errors allowed to all tests of a move add up to at most [`ALARM`].

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::PI,
    sync::Arc,
};

use super::{
    bound::{lower, upper, wilson},
    standardized::{Pair, StandardizedTally},
    tally::Tally,
};
use crate::{config::RolloutMode, util::value};

/// Probability that a good version is condemned at any time of its move, at most.
pub(crate) const ALARM: f64 = 0.01;
/// Normal quantile of the error allowed each time that an ordered move is judged, one in two thousand: a good version
/// that is taken back costs less than a bad one that is not.
const ALARM_Z: f64 = 3.3;
/// Normal quantile of the error allowed at each of an ordered move's looks: 2%.
const LOOK_Z: f64 = 2.0;
/// Error allowed when a version is found harmless.
const ACCEPT_ERROR: f64 = 0.05;
/// Requests of the new version after which a new test begins.
const WINDOW: u64 = 150;
/// The same for an ordered move.
const ORDERED_WINDOW: u64 = 30;
/// Tests kept beside the first.
const WINDOWS: usize = 12;
/// Share of the allowed harm by which the new version must be worse to be condemned.
const MARGIN: f64 = 0.2;
/// Error at which the old version beside the new one contradicts its past.
const CONTRADICTION: f64 = 0.05;
/// Requests of the old version, in an ordered move, that can contradict its past.
const CONTRADICTING: u64 = 20;
/// Requests of the old version that end a period.
const PERIOD_OLD: u64 = 30;
/// Requests of both versions that end a period.
const PERIOD_BOTH: u64 = 300;
/// The same in an ordered move.
const ORDERED_PERIOD: u64 = 40;

/// Tallies so far, by route and zone.
pub(crate) type Strata = BTreeMap<(Arc<str>, Arc<str>), Pair>;

type Standards = BTreeMap<Arc<str>, StandardizedTally>;

value! {
    /// What the evidence says.
    pub(crate) enum Verdict {
        /// Too little is known.
        Open,
        /// The harm is below what is allowed.
        Harmless,
        /// The new version is worse.
        Harmful,
    }
}

#[derive(Clone, Debug)]
struct Window {
    number: u32,
    routes: Standards,
}

/// The tests of one move.
#[derive(Clone, Debug)]
pub(crate) struct Analysis {
    harm: f64,
    pace: RolloutMode,
    windows: VecDeque<Window>,
    begun: u32,
    last_count: u64,
    closed: Strata,
    reason: Option<String>,
}

impl Analysis {
    /// A analysis that allows the added share `harm` of failed or late requests.
    pub fn new(harm: f64, pace: RolloutMode) -> Self {
        let closed = Strata::new();
        Self { harm, pace, windows: VecDeque::new(), begun: 0, last_count: 0, closed, reason: None }
    }

    /// Why the version was condemned.
    pub fn reason(&self) -> Option<&str> {
        self.reason.as_deref()
    }

    /// The evidence in numbers, for operators.
    pub fn evidence(&self) -> StandardizedTally {
        self.windows.front().map(|window| total(&window.routes)).unwrap_or_default()
    }

    /// Judges by the tallies so far.
    pub fn analysis(&mut self, strata: &Strata) -> Verdict {
        if self.reason.is_some() {
            return Verdict::Harmful;
        }
        if self.windows.is_empty() {
            self.begin();
        }
        let period = self.period(strata);
        let count = |pick: fn(&Pair) -> u64| period.values().map(pick).sum::<u64>();
        let (new, old) = (count(|p| p.new.count), count(|p| p.old.count));
        let both = if self.pace.is_ordered() { ORDERED_PERIOD } else { PERIOD_BOTH };
        let ended = (new > 0 && old >= PERIOD_OLD) || new + old >= both;
        let now: Vec<Window> = self.windows.iter().map(|window| window.with(&period)).collect();
        let past = past(strata);
        self.reason = now.iter().find_map(|window| self.harmful(window, &past));
        if self.reason.is_some() {
            return Verdict::Harmful;
        }
        let so_far = now.first().map(|window| total(&window.routes)).unwrap_or_default();
        if ended {
            self.closed.clone_from(strata);
            self.windows = now.into();
            let window = if self.pace.is_ordered() { ORDERED_WINDOW } else { WINDOW };
            if so_far.new.count >= self.last_count + window {
                self.last_count = so_far.new.count;
                self.begin();
            }
        }
        if self.is_harmless(&so_far) { Verdict::Harmless } else { Verdict::Open }
    }

    /// What has come since the last period ended.
    fn period(&self, strata: &Strata) -> Strata {
        let since = |key: &(Arc<str>, Arc<str>), pair: &Pair| {
            let before = self.closed.get(key).copied().unwrap_or_default();
            Pair { old: pair.old - before.old, new: pair.new - before.new }
        };
        strata.iter().map(|(key, pair)| (key.clone(), since(key, pair))).collect()
    }

    fn begin(&mut self) {
        self.begun += 1;
        // The first test stays, as it has the most to go by.
        if self.windows.len() > WINDOWS {
            self.windows.remove(1);
        }
        self.windows.push_back(Window { number: self.begun, routes: Standards::new() });
    }

    fn harmful(&self, window: &Window, past: &Past) -> Option<String> {
        let share = 6.0 / (PI * PI * f64::from(window.number).powi(2));
        let tests = 4 * (window.routes.len() + 1);
        let alpha = ALARM * share / tests as f64;
        let all: Arc<str> = Arc::from("all routes");
        let total = total(&window.routes);
        window.routes.iter().chain([(&all, &total)]).find_map(|(route, standard)| {
            let old = match past.get(route) {
                Some(tally) => *tally,
                None => past.values().fold(Tally::default(), |mut sum, tally| {
                    sum.add(*tally);
                    sum
                }),
            };
            let kinds = [
                Kind {
                    name: "failed",
                    new: standard.new.failed,
                    matched: standard.matched.failed,
                    beside: standard.old_failed(),
                    past: old.failed,
                },
                Kind {
                    name: "late",
                    new: standard.new.slow,
                    matched: standard.matched.slow,
                    beside: standard.old_slow(),
                    past: old.slow,
                },
            ];
            kinds.into_iter().find_map(|kind| self.worse(route, standard, old.count, &kind, alpha))
        })
    }

    /// Lowest probability that the evidence does not exclude, by the bounds of the move's pace.
    fn lower(&self, hits: u64, count: u64, alpha: f64) -> f64 {
        if self.pace.is_ordered() { wilson(hits, count, ALARM_Z).0 } else { lower(hits, count, alpha) }
    }

    /// Highest such probability.
    fn upper(&self, hits: u64, count: u64, alpha: f64) -> f64 {
        if self.pace.is_ordered() { wilson(hits, count, ALARM_Z).1 } else { upper(hits, count, alpha) }
    }

    fn worse(&self, route: &str, standard: &StandardizedTally, past: u64, kind: &Kind, alpha: f64) -> Option<String> {
        let worth = standard.effective_count();
        let (matched, all) = (standard.matched.count, standard.new.count);
        let low = self.lower(kind.matched.min(matched), matched, alpha / 2.0);
        let margin = MARGIN * self.harm;
        if worth > 0 && low > margin && low > self.upper(kind.beside, worth, alpha / 2.0) + margin {
            return Some(format!(
                "{} on {route}: {} of {matched} with the new version, {} of {worth} with the old beside it",
                kind.name, kind.matched, kind.beside
            ));
        }
        // When little is left with the old version, its past is stronger evidence; what it does
        // beside the new one must then at least not contradict it.
        let low = self.lower(kind.new.min(all), all, alpha / 2.0);
        let enough = if self.pace.is_ordered() { worth >= CONTRADICTING } else { worth > 0 };
        let contradicted = enough
            && self.lower(kind.matched.min(matched), matched, CONTRADICTION)
                <= self.upper(kind.beside, worth, CONTRADICTION);
        let more = if self.pace.is_ordered() { margin } else { self.harm };
        if past == 0 || low <= more || contradicted {
            return None;
        }
        (low > self.upper(kind.past.min(past), past, alpha / 2.0) + more).then(|| {
            format!(
                "{} on {route}: {} of {all} with the new version, {} of {past} with the old before",
                kind.name, kind.new, kind.past
            )
        })
    }

    fn is_harmless(&self, so_far: &StandardizedTally) -> bool {
        let worth = so_far.effective_count();
        let within = |new: u64, old: u64| {
            let (new, count) = (new.min(so_far.matched.count), so_far.matched.count);
            if self.pace.is_ordered() {
                return wilson(new, count, LOOK_Z).1 - wilson(old, worth, LOOK_Z).0 < self.harm;
            }
            upper(new, count, ACCEPT_ERROR) - lower(old, worth, ACCEPT_ERROR) < self.harm
        };
        worth > 0
            && within(so_far.matched.failed, so_far.old_failed())
            && within(so_far.matched.slow, so_far.old_slow())
    }
}

/// One kind of harm: counts for the new version, and for the old one beside it and over all its past.
struct Kind {
    name: &'static str,
    new: u64,
    matched: u64,
    beside: u64,
    past: u64,
}

/// The old version's whole record by route.
type Past = BTreeMap<Arc<str>, Tally>;

fn past(strata: &Strata) -> Past {
    let mut past = Past::new();
    for ((route, _), pair) in strata {
        past.entry(route.clone()).or_default().add(pair.old);
    }
    past
}

impl Window {
    /// The window with one more period.
    fn with(&self, period: &Strata) -> Self {
        let mut window = self.clone();
        for ((route, _), pair) in period {
            window.routes.entry(route.clone()).or_default().add(pair);
        }
        window
    }
}

fn total(routes: &Standards) -> StandardizedTally {
    routes.values().fold(StandardizedTally::default(), |mut total, standard| {
        total.merge(standard);
        total
    })
}
