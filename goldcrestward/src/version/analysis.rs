//! Sequential tests of a new version against the old one over the same periods and zones.
//!
//! Further tests start at intervals, so that earlier good results do not mask a version that
//! turns bad later. The error probabilities of all tests of a rollout add up to at most
//! [`FALSE_ALARM_RATE`].

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::PI,
    sync::Arc,
};

use super::{
    bound::{lower_bound, upper_bound, wilson_interval},
    evidence::{AddedHarm, Evidence},
    excess::Excess,
    standardized::{StandardizedTally, TallyPair},
    tally::Tally,
    worst_window::WorstWindow,
};
use crate::{config::RolloutMode, util::derive_value_traits};

/// Upper limit of the probability that a good version is ever found harmful during its rollout.
pub(crate) const FALSE_ALARM_RATE: f64 = 0.01;
/// Normal quantile of the error allowed at each evaluation of an ordered rollout, 1 in 2,000: rolling back a good
/// version costs less than keeping a bad one.
const ORDERED_ALARM_Z: f64 = 3.3;
/// Normal quantile of the error allowed each time that an ordered rollout is tested for harmlessness: 2%.
const ORDERED_ACCEPT_Z: f64 = 2.0;
/// Error allowed when the version of a planned rollout is found harmless.
const ACCEPT_ERROR: f64 = 0.05;
/// Requests of the new version after which a further test starts.
const TEST_INTERVAL: u64 = 150;
/// The same for an ordered rollout.
const ORDERED_TEST_INTERVAL: u64 = 30;
/// Tests kept in addition to the first.
const MAX_LATER_TESTS: usize = 12;
/// Error allowed when a version is found worse, so that it does not go on while it is.
const WORSE_ERROR: f64 = 0.002;
/// Fraction of the allowed harm by which it must be worse for that.
const WORSE_MARGIN: f64 = 0.1;
/// Fraction of the allowed harm by which the new version must be worse to be found harmful.
const MARGIN: f64 = 0.2;
/// Error of the bounds by which the concurrent counts of both versions contradict the old version's overall record.
const CONTRADICTION_ERROR: f64 = 0.05;
/// Least number of concurrent requests of the old version that can contradict its overall record in an ordered rollout.
const ORDERED_MIN_CONTRADICTING: u64 = 20;
/// Requests of the old version at which a period ends.
const PERIOD_OLD_REQUESTS: u64 = 30;
/// Requests of both versions at which a period ends.
const PERIOD_REQUESTS: u64 = 300;
/// The same for an ordered rollout.
const ORDERED_PERIOD_REQUESTS: u64 = 40;

/// Cumulative tallies by route and zone.
pub(crate) type Strata = BTreeMap<(Arc<str>, Arc<str>), TallyPair>;

type RouteTallies = BTreeMap<Arc<str>, StandardizedTally>;

derive_value_traits! {
    /// Result of an evaluation of the evidence.
    pub(crate) enum Verdict {
        /// The evidence supports neither of the other verdicts.
        Inconclusive,
        /// The added harm is below the allowed share.
        Harmless,
        /// The new version is worse than the old one.
        Harmful,
    }
}

#[derive(Clone, Debug)]
struct SequentialTest {
    number: u32,
    routes: RouteTallies,
}

/// The tests of one rollout.
#[derive(Clone, Debug)]
pub(crate) struct Analysis {
    harm_threshold: f64,
    mode: RolloutMode,
    tests: VecDeque<SequentialTest>,
    tests_started: u32,
    last_test_count: u64,
    period_start: Strata,
    /// The counts of the first test at the latest evaluation, with the period that has not ended.
    latest: StandardizedTally,
    worst_window: WorstWindow,
    harm: Option<Harm>,
}

/// Why a version was found harmful.
#[derive(Clone, Debug)]
struct Harm {
    /// Whether its answers are late, and it does not fail more often.
    is_late: bool,
    reason: String,
}

impl Analysis {
    /// Creates an analysis that allows an added share `harm_threshold` of failed or late requests.
    pub fn new(harm_threshold: f64, mode: RolloutMode) -> Self {
        let period_start = Strata::new();
        Self {
            harm_threshold,
            mode,
            tests: VecDeque::new(),
            tests_started: 0,
            last_test_count: 0,
            period_start,
            latest: StandardizedTally::default(),
            worst_window: WorstWindow::default(),
            harm: None,
        }
    }

    /// Why the version was found harmful; once set, the verdict stays.
    pub fn reason(&self) -> Option<&str> {
        self.harm.as_ref().map(|harm| &*harm.reason)
    }

    /// Whether the version was found harmful for late answers alone.
    pub fn is_late(&self) -> bool {
        self.harm.as_ref().is_some_and(|harm| harm.is_late)
    }

    /// Whether plainly more requests of the new version than of the old one have failed or been late. That does not condemn
    /// it yet.
    pub fn is_worse(&self) -> bool {
        let late = self.without_burst();
        self.is_more(&self.latest, &self.latest.failed_excess) || self.is_more(&late, &late.slow_excess)
    }

    /// The latest counts without answers that were late together, as in a silence of servers: they say little of the others.
    fn without_burst(&self) -> StandardizedTally {
        self.worst_window.rest(&self.latest).unwrap_or(self.latest)
    }

    fn is_more(&self, tally: &StandardizedTally, excess: &Excess) -> bool {
        tally.added_share(excess) > WORSE_MARGIN * self.harm_threshold && excess.probability() < WORSE_ERROR
    }

    /// What the latest evaluation was made on.
    pub fn latest(&self) -> Evidence {
        Evidence { tally: self.latest, harm: self.added_harm() }
    }

    /// The counts of the first test over all ended periods and routes, for operators.
    pub fn evidence(&self) -> StandardizedTally {
        self.tests.front().map(|test| total(&test.routes)).unwrap_or_default()
    }

    /// Evaluates the cumulative tallies.
    pub fn evaluate(&mut self, strata: &Strata, now_ms: u64) -> Verdict {
        if self.harm.is_some() {
            return Verdict::Harmful;
        }
        if self.tests.is_empty() {
            self.start_test();
        }
        let period = without(strata, &self.period_start);
        let count = |pick: fn(&TallyPair) -> u64| period.values().map(pick).sum::<u64>();
        let (new, old) = (count(|p| p.new.count), count(|p| p.old.count));
        let period_requests = if self.mode.is_ordered() { ORDERED_PERIOD_REQUESTS } else { PERIOD_REQUESTS };
        let ended = (new > 0 && old >= PERIOD_OLD_REQUESTS) || new + old >= period_requests;
        let tests: Vec<SequentialTest> = self.tests.iter().map(|test| test.with_period(&period)).collect();
        let old_tallies = old_tallies(strata);
        let so_far = tests.first().map(|test| total(&test.routes)).unwrap_or_default();
        self.latest = so_far;
        self.worst_window.add(so_far, now_ms);
        self.harm = self.find_harm(&tests, &old_tallies);
        if self.harm.is_some() {
            return Verdict::Harmful;
        }
        if ended {
            self.period_start.clone_from(strata);
            self.tests = tests.into();
            let interval = if self.mode.is_ordered() { ORDERED_TEST_INTERVAL } else { TEST_INTERVAL };
            if so_far.new.count >= self.last_test_count + interval {
                self.last_test_count = so_far.new.count;
                self.start_test();
            }
        }
        if self.is_harmless() { Verdict::Harmless } else { Verdict::Inconclusive }
    }

    fn start_test(&mut self) {
        self.tests_started += 1;
        // The first test is kept, as it covers the most requests.
        if self.tests.len() > MAX_LATER_TESTS {
            self.tests.remove(1);
        }
        self.tests.push_back(SequentialTest { number: self.tests_started, routes: RouteTallies::new() });
    }

    /// The harm that a test finds; failures go before lateness.
    fn find_harm(&self, tests: &[SequentialTest], old_tallies: &OldTallies) -> Option<Harm> {
        [false, true].into_iter().find_map(|is_late| {
            let reason = tests.iter().find_map(|test| self.harm_reason(test, old_tallies, is_late))?;
            Some(Harm { is_late, reason })
        })
    }

    fn harm_reason(&self, test: &SequentialTest, old_tallies: &OldTallies, is_late: bool) -> Option<String> {
        let share = 6.0 / (PI * PI * f64::from(test.number).powi(2));
        let comparisons = 4 * (test.routes.len() + 1);
        let alpha = FALSE_ALARM_RATE * share / comparisons as f64;
        let all: Arc<str> = Arc::from("all routes");
        let total = total(&test.routes);
        test.routes.iter().chain([(&all, &total)]).find_map(|(route, tally)| {
            let old = match old_tallies.get(route) {
                Some(tally) => *tally,
                None => old_tallies.values().fold(Tally::default(), |mut sum, tally| {
                    sum.add(*tally);
                    sum
                }),
            };
            let counts = if is_late {
                HarmCounts {
                    name: "late",
                    new: tally.new.slow,
                    matched: tally.matched.slow,
                    concurrent: tally.old_slow(),
                    past: old.slow,
                }
            } else {
                HarmCounts {
                    name: "failed",
                    new: tally.new.failed,
                    matched: tally.matched.failed,
                    concurrent: tally.old_failed(),
                    past: old.failed,
                }
            };
            self.counts_harm_reason(route, tally, old.count, &counts, alpha)
        })
    }

    /// Lower confidence bound by the method for the rollout's mode.
    fn lower(&self, hits: u64, count: u64, alpha: f64) -> f64 {
        if self.mode.is_ordered() {
            wilson_interval(hits, count, ORDERED_ALARM_Z).0
        } else {
            lower_bound(hits, count, alpha)
        }
    }

    /// Upper confidence bound by the method for the rollout's mode.
    fn upper(&self, hits: u64, count: u64, alpha: f64) -> f64 {
        if self.mode.is_ordered() {
            wilson_interval(hits, count, ORDERED_ALARM_Z).1
        } else {
            upper_bound(hits, count, alpha)
        }
    }

    fn counts_harm_reason(
        &self,
        route: &str,
        tally: &StandardizedTally,
        past_count: u64,
        counts: &HarmCounts,
        alpha: f64,
    ) -> Option<String> {
        let old_count = tally.effective_count();
        let (matched, all) = (tally.matched.count, tally.new.count);
        let low = self.lower(counts.matched.min(matched), matched, alpha / 2.0);
        let margin = MARGIN * self.harm_threshold;
        if old_count > 0 && low > margin && low > self.upper(counts.concurrent, old_count, alpha / 2.0) + margin {
            return Some(format!(
                "{} on {route}: {} of {matched} with the new version, {} of {old_count} with the old beside it",
                counts.name, counts.matched, counts.concurrent
            ));
        }
        // When the old version has little traffic left, its overall record is stronger evidence. Its concurrent
        // counts must then not contradict that record.
        let low = self.lower(counts.new.min(all), all, alpha / 2.0);
        let comparable = if self.mode.is_ordered() { old_count >= ORDERED_MIN_CONTRADICTING } else { old_count > 0 };
        let contradicted = comparable
            && self.lower(counts.matched.min(matched), matched, CONTRADICTION_ERROR)
                <= self.upper(counts.concurrent, old_count, CONTRADICTION_ERROR);
        let min_excess = if self.mode.is_ordered() { margin } else { self.harm_threshold };
        if past_count == 0 || low <= min_excess || contradicted {
            return None;
        }
        (low > self.upper(counts.past.min(past_count), past_count, alpha / 2.0) + min_excess).then(|| {
            format!(
                "{} on {route}: {} of {all} with the new version, {} of {past_count} with the old before",
                counts.name, counts.new, counts.past
            )
        })
    }

    fn is_harmless(&self) -> bool {
        let comparable = self.latest.effective_count() > 0 && self.without_burst().effective_count() > 0;
        comparable && self.added_harm().upper < self.harm_threshold
    }

    fn added_harm(&self) -> AddedHarm {
        let added = |new: u64, old: u64, tally: &StandardizedTally| {
            let (count, old_count) = (tally.matched.count, tally.effective_count());
            let new = new.min(count);
            let upper = if self.mode.is_ordered() {
                wilson_interval(new, count, ORDERED_ACCEPT_Z).1 - wilson_interval(old, old_count, ORDERED_ACCEPT_Z).0
            } else {
                upper_bound(new, count, ACCEPT_ERROR) - lower_bound(old, old_count, ACCEPT_ERROR)
            };
            AddedHarm { estimate: share(new, count) - share(old, old_count), upper }
        };
        let (all, rest) = (&self.latest, self.without_burst());
        let failed = added(all.matched.failed, all.old_failed(), all);
        let late = added(rest.matched.slow, rest.old_slow(), &rest);
        AddedHarm { estimate: failed.estimate.max(late.estimate), upper: failed.upper.max(late.upper) }
    }
}

/// Requests with one kind of harm: of the new version (`new`, and `matched` in the periods of both versions) and of
/// the old version (`concurrent` in the same periods, `past` overall).
struct HarmCounts {
    name: &'static str,
    new: u64,
    matched: u64,
    concurrent: u64,
    past: u64,
}

/// Cumulative tallies of the old version by route.
type OldTallies = BTreeMap<Arc<str>, Tally>;

/// The tallies less a part of them, such as those up to an earlier time.
pub(super) fn without(strata: &Strata, part: &Strata) -> Strata {
    let difference = |key: &(Arc<str>, Arc<str>), pair: &TallyPair| {
        let part = part.get(key).copied().unwrap_or_default();
        TallyPair { old: pair.old - part.old, new: pair.new - part.new }
    };
    strata.iter().map(|(key, pair)| (key.clone(), difference(key, pair))).collect()
}

fn old_tallies(strata: &Strata) -> OldTallies {
    let mut tallies = OldTallies::new();
    for ((route, _), pair) in strata {
        tallies.entry(route.clone()).or_default().add(pair.old);
    }
    tallies
}

impl SequentialTest {
    /// Returns the test with the counts of one more period added.
    fn with_period(&self, period: &Strata) -> Self {
        let mut test = self.clone();
        for ((route, _), pair) in period {
            test.routes.entry(route.clone()).or_default().add(pair);
        }
        test
    }
}

fn share(hits: u64, count: u64) -> f64 {
    hits as f64 / count.max(1) as f64
}

fn total(routes: &RouteTallies) -> StandardizedTally {
    routes.values().fold(StandardizedTally::default(), |mut total, tally| {
        total.merge(tally);
        total
    })
}
