//! Which version serves a request: the same choice on all daemons, sticky for a conversation.

use std::sync::Arc;

use super::rollout::Rollout;
use crate::{
    config::{Site, VersionPlan},
    process::membership::{FactKind, Facts},
    util::stable_hash,
};

/// Which versions may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// Any.
    Any,
    /// This one.
    Only(Arc<str>),
    /// Any but these.
    Except(Vec<Arc<str>>),
}

impl VersionRule {
    /// Whether a version may serve.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(excluded) => excluded.iter().all(|name| **name != *version),
        }
    }
}

/// The version in use and the one that traffic moves to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VersionChoice {
    /// The version in use; `None` if it has no plan, so that all versions that are not barred are in use.
    pub base: Option<Arc<str>>,
    /// The version that traffic moves to, with its share.
    pub next: Option<(Arc<str>, f64)>,
    /// Versions to which the move has not begun, as far as is known. A daemon that has just started knows little.
    pub not_started: Vec<Arc<str>>,
    /// Versions that have been taken back.
    pub rolled_back: Vec<Arc<str>>,
}

impl VersionChoice {
    /// The version to which a conversation has moved; `None` for the version in use.
    pub fn next_for(&self, conversation: u64) -> Option<&Arc<str>> {
        let (next, share) = self.next.as_ref()?;
        let place = stable_hash(&[next.as_bytes(), &conversation.to_le_bytes()]) as f64 / u64::MAX as f64;
        (place < *share).then_some(next)
    }

    /// Whether traffic moves, or is about to.
    pub fn has_rollout(&self) -> bool {
        self.next.is_some() || self.base.is_some()
    }

    /// The versions in use, without the one that traffic moves to.
    pub fn in_use(&self) -> VersionRule {
        if let Some(base) = &self.base {
            return VersionRule::Only(base.clone());
        }
        let next = self.next.iter().map(|(next, _)| next.clone());
        VersionRule::Except(self.rolled_back.iter().chain(&self.not_started).cloned().chain(next).collect())
    }

    /// The versions that may serve where none in use does: all that were not taken back.
    pub fn fallback(&self) -> VersionRule {
        VersionRule::Except(self.rolled_back.clone())
    }
}

/// The choice for a pool by the steps and take-backs that the site knows; `None` without versions.
pub(crate) fn version_choice(site: &Site, facts: &Facts, pool: &str) -> Option<VersionChoice> {
    let mut plans: Vec<&VersionPlan> = site.versions.values().filter(|v| *v.pool == *pool).collect();
    plans.sort_by(|a, b| (a.start_ms, &a.name).cmp(&(b.start_ms, &b.name)));
    if plans.is_empty() {
        return None;
    }
    let in_use = |base| VersionChoice { base, next: None, not_started: Vec::new(), rolled_back: Vec::new() };
    let mut choice = in_use(None);
    for plan in plans {
        let name = plan.name.clone();
        if plan.start_ms.is_none() {
            choice = in_use(Some(name));
            continue;
        }
        let step = facts.get(FactKind::Step, &plan.rollout_key).map_or(0, |f| f.value as usize);
        let share = Rollout::share(plan, step);
        if facts.get(FactKind::TakenBack, &plan.rollout_key).is_some() {
            choice.rolled_back.push(name);
        } else if share <= 0.0 {
            choice.not_started.push(name);
        } else if share < 1.0 {
            choice.next = Some((name, share));
        } else if Rollout::has_old_version_stopped(plan, step) {
            choice.next = None;
        } else {
            choice = in_use(Some(name));
        }
    }
    Some(choice)
}

#[cfg(test)]
#[path = "choice_test.rs"]
mod choice_test;
