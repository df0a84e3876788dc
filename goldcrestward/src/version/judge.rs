//! Sequential judgement of a new version against the old one in the same period.
//!
//! Tests begin anew at intervals, so that a version that turns bad later is not hidden by
//! its good past; the errors allowed to all tests of a move add up to at most [`ALARM`].

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::PI,
    sync::Arc,
};

use super::{
    bound::{lower, upper},
    tally::Tally,
};
use crate::util::value;

/// Probability that a good version is condemned at any time of its move, at most.
pub(crate) const ALARM: f64 = 0.01;
/// Error allowed when a version is found harmless.
const ACCEPT_ERROR: f64 = 0.05;
/// Requests of the new version after which a new test begins.
const WINDOW: u64 = 150;
/// Tests kept beside the first.
const WINDOWS: usize = 12;
/// Share of the allowed harm by which the new version must be worse to be condemned.
const MARGIN: f64 = 0.2;

/// Tallies of the old and the new version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Pair {
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
}

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
    start: BTreeMap<Arc<str>, Pair>,
}

/// The tests of one move.
#[derive(Clone, Debug)]
pub(crate) struct Judge {
    harm: f64,
    windows: VecDeque<Window>,
    begun: u32,
    last_count: u64,
    reason: Option<String>,
}

impl Judge {
    /// A judge that allows the added share `harm` of failed or late requests.
    pub fn new(harm: f64) -> Self {
        Self { harm, windows: VecDeque::new(), begun: 0, last_count: 0, reason: None }
    }

    /// Why the version was condemned.
    pub fn reason(&self) -> Option<&str> {
        self.reason.as_deref()
    }

    /// Judges by the tallies so far, by route.
    pub fn judge(&mut self, routes: &BTreeMap<Arc<str>, Pair>) -> Verdict {
        if self.reason.is_some() {
            return Verdict::Harmful;
        }
        let total = sum(routes.values());
        if self.windows.is_empty() || total.new.count >= self.last_count + WINDOW {
            self.begin(routes, total.new.count);
        }
        for window in &self.windows {
            if let Some(reason) = self.harmful(window, routes) {
                self.reason = Some(reason);
                return Verdict::Harmful;
            }
        }
        if self.harmless(total) { Verdict::Harmless } else { Verdict::Open }
    }

    fn begin(&mut self, routes: &BTreeMap<Arc<str>, Pair>, count: u64) {
        self.last_count = count;
        self.begun += 1;
        // The first test stays, as it has the most to go by.
        if self.windows.len() > WINDOWS {
            self.windows.remove(1);
        }
        let start = if self.begun == 1 { BTreeMap::new() } else { routes.clone() };
        self.windows.push_back(Window { number: self.begun, start });
    }

    fn harmful(&self, window: &Window, routes: &BTreeMap<Arc<str>, Pair>) -> Option<String> {
        let share = 6.0 / (PI * PI * f64::from(window.number).powi(2));
        let tests = 2 * (routes.len() + 1);
        let alpha = ALARM * share / tests as f64;
        let since = |route: &Arc<str>, pair: &Pair| {
            let start = window.start.get(route).copied().unwrap_or_default();
            Pair { old: pair.old - start.old, new: pair.new - start.new }
        };
        let grown: BTreeMap<_, _> = routes.iter().map(|(route, pair)| (route, since(route, pair))).collect();
        let total = sum(grown.values());
        let all: Arc<str> = Arc::from("all routes");
        grown.into_iter().chain([(&all, total)]).find_map(|(route, pair)| self.worse(route, &pair, alpha))
    }

    fn worse(&self, route: &str, pair: &Pair, alpha: f64) -> Option<String> {
        let kinds = [("failed", pair.new.failed, pair.old.failed), ("late", pair.new.slow, pair.old.slow)];
        kinds.into_iter().find_map(|(kind, new, old)| {
            let new = new.min(pair.new.count);
            let old = old.min(pair.old.count);
            let low = lower(new, pair.new.count, alpha / 2.0);
            let high = upper(old, pair.old.count, alpha / 2.0);
            (low > high + MARGIN * self.harm).then(|| {
                format!(
                    "{kind} on {route}: {new} of {} with the new version, {old} of {} with the old",
                    pair.new.count, pair.old.count
                )
            })
        })
    }

    fn harmless(&self, total: Pair) -> bool {
        let within = |new: u64, old: u64| {
            let high = upper(new.min(total.new.count), total.new.count, ACCEPT_ERROR);
            let low = lower(old.min(total.old.count), total.old.count, ACCEPT_ERROR);
            total.new.count > 0 && high - low < self.harm
        };
        within(total.new.failed, total.old.failed) && within(total.new.slow, total.old.slow)
    }
}

fn sum<'a>(pairs: impl Iterator<Item = &'a Pair>) -> Pair {
    pairs.fold(Pair::default(), |mut sum, pair| {
        sum.old.add(pair.old);
        sum.new.add(pair.new);
        sum
    })
}
