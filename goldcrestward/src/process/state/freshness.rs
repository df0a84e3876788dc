//! How old this daemon's knowledge of the store is, and when it has to read the store itself.
//!
//! A copy is current as of a time if it holds all that the store had acknowledged by then. A reading of the store shows that,
//! and so does a peer that states how old its own knowledge is, once this copy holds what the peer's does. Hearing a peer
//! shows nothing by itself.

use std::collections::VecDeque;

use crate::store::Revision;

/// Time that a datagram may take, in ms. Without it, knowledge would get younger on each way from one daemon to another.
const TRANSIT_MS: u64 = 40;
/// Time for the store's answer and for applying a change at a site, in ms.
const ANSWER_MS: u64 = 500;
/// Smallest age of its knowledge at which a daemon reads the store, in ms.
const MIN_AGE_MS: u64 = 300;
/// Most claims of peers that are kept until this copy holds what they are about.
const MAX_CLAIMS: usize = 64;

/// The parts of the time in which a change must be in force on a daemon that reaches the store, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Budget {
    /// The whole time; what the other parts leave is for the answer of the store and for applying the change.
    pub total: u64,
    /// Age of a daemon's knowledge from which on it reads the store.
    pub max_age: u64,
    /// Time for a revision that a peer has announced to arrive, after which it is read in the store.
    pub max_missing: u64,
    /// Daemons whose knowledge is of the same age begin to read within this time, so that some learn it from the others.
    pub spread: u64,
    /// Longest time until a daemon notices that it is to read.
    pub check: u64,
    /// Time after which a second reading begins beside one that has not been answered.
    pub hedge: u64,
    /// Time from one reading of the store by any daemon to the next, while nothing changes.
    pub slot: u64,
}

impl Budget {
    /// For the state of a site on a platform.
    pub const SITE: Self =
        Self { total: 2_500, max_age: 1_300, max_missing: 700, spread: 200, check: 100, hedge: 400, slot: 650 };
    /// For the state of a site whose platform wants changes in force within `total` ms. A longer time than that of
    /// [`Budget::SITE`] is not made use of; in one too short for all parts, the store is read all the time.
    pub fn for_site(total: u64) -> Self {
        let site = Self::SITE;
        if total >= site.total {
            return site;
        }
        let max_age = site.max_age.saturating_sub(site.total - total).max(MIN_AGE_MS);
        let max_missing = site.max_missing * max_age / site.max_age;
        Self { total, max_age, max_missing, slot: max_age / 2, ..site }
    }

    /// Whether the parts fit into the whole time.
    pub fn is_kept(&self) -> bool {
        self.max_age + self.spread + self.check + self.hedge + ANSWER_MS <= self.total
    }

    /// For the configuration of the product's own interface.
    pub const CONFIG: Self =
        Self { total: 6_000, max_age: 3_500, max_missing: 1_500, spread: 400, check: 200, hedge: 600, slot: 1_500 };
}

/// Why a daemon reads the store although others do that for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// Its knowledge is too old.
    Age,
    /// It lacks a revision that a peer has announced.
    Missing(Revision),
}

impl Overdue {
    /// Value in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Age => "age",
            Self::Missing(_) => "missing",
        }
    }
}

/// How old this daemon's knowledge of the store is; times are in ms since its start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// The copy is current as of this time; `None` before it has been shown once.
    current_at: Option<u64>,
    /// The value of `current_at` before it rose last. What this copy has learned since was written later.
    current_before: Option<u64>,
    /// What peers have stated: a copy that holds this revision is current as of this time. Both rise.
    claims: VecDeque<(Revision, u64)>,
    /// A revision that a peer has announced and that this copy lacks, and since when.
    missing: Option<(Revision, u64)>,
    /// The time as of which the copy was current when that was last announced.
    announced: Option<u64>,
}

impl Freshness {
    /// Records that the store had nothing newer than this copy at `at`.
    pub fn record_reading(&mut self, at: u64) {
        self.raise(at);
    }

    /// Records what a peer says: the revision of its copy, and the age of its knowledge in ms unless it is unknown.
    pub fn record_peer(&mut self, revision: Revision, age: Option<u64>, own: Revision, now: u64) {
        if revision > own && self.missing.is_none_or(|(wanted, _)| own >= wanted) {
            self.missing = Some((revision, now));
        }
        if let Some(at) = age.and_then(|age| now.checked_sub(age + TRANSIT_MS)) {
            self.claim(revision, at);
        }
        self.settle(own);
    }

    /// Whether this daemon's knowledge is so much younger than when it was last announced that it is announced again.
    pub fn take_news(&mut self, budget: &Budget, own: Revision) -> bool {
        self.settle(own);
        let is_news =
            self.current_at.is_some_and(|at| self.announced.is_none_or(|announced| at >= announced + budget.slot / 2));
        if is_news {
            self.announced = self.current_at;
        }
        is_news
    }

    /// Age of this daemon's knowledge; `None` if it has none.
    pub fn age(&mut self, own: Revision, now: u64) -> Option<u64> {
        self.settle(own);
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// Longest time for which what this copy has learned last may have stood in the store; `None` if that is unknown.
    pub fn age_of_news(&self, now: u64) -> Option<u64> {
        self.current_before.map(|at| now.saturating_sub(at))
    }

    /// Whether this daemon has to read the store, if it begins `delay` ms later than others.
    pub fn overdue(&mut self, budget: &Budget, own: Revision, delay: u64, now: u64) -> Option<Overdue> {
        self.settle(own);
        if let Some((wanted, since)) = self.missing
            && now.saturating_sub(since) >= budget.max_missing
        {
            return Some(Overdue::Missing(wanted));
        }
        let is_old = self.current_at.is_none_or(|at| now.saturating_sub(at) >= budget.max_age + delay);
        is_old.then_some(Overdue::Age)
    }

    /// Keeps a claim unless another one says more.
    fn claim(&mut self, revision: Revision, at: u64) {
        if self.claims.iter().any(|(of, known)| *of <= revision && *known >= at) {
            return;
        }
        self.claims.retain(|(of, known)| *of < revision || *known > at);
        let index = self.claims.partition_point(|(of, _)| *of < revision);
        self.claims.insert(index, (revision, at));
        if self.claims.len() > MAX_CLAIMS {
            // This copy reaches the lowest revision first, and the last claim is the latest.
            self.claims.remove(MAX_CLAIMS / 2);
        }
    }

    fn raise(&mut self, at: u64) {
        if self.current_at < Some(at) {
            self.current_before = self.current_at.replace(at);
        }
    }

    /// Takes what is known now that the copy has reached `own`.
    fn settle(&mut self, own: Revision) {
        let mut latest = None;
        while let Some((_, at)) = self.claims.front().copied().filter(|(revision, _)| *revision <= own) {
            latest = latest.max(Some(at));
            self.claims.pop_front();
        }
        if let Some(at) = latest {
            self.raise(at);
        }
        self.missing.take_if(|(wanted, _)| *wanted <= own);
    }
}

#[cfg(test)]
#[path = "freshness_simulation_test.rs"]
mod freshness_simulation_test;
#[cfg(test)]
#[path = "freshness_test.rs"]
mod freshness_test;
