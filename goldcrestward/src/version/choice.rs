//! Choice of the version that serves a request: the same on all daemons, and sticky for a conversation.

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
    Any,
    Only(Arc<str>),
    /// Any version that is not listed.
    Except(Vec<Arc<str>>),
}

impl VersionRule {
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(excluded) => excluded.iter().all(|name| **name != *version),
        }
    }
}

/// The versions of a pool by their state: in use, under rollout, not started, rolled back.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VersionChoice {
    /// The version in use. `None` if it has no plan: then all versions not listed in another field are in use.
    pub base: Option<Arc<str>>,
    /// The version under rollout, with its share of traffic.
    pub next: Option<(Arc<str>, f64)>,
    /// Versions whose rollout has not started, as far as this daemon knows. After a restart it may not know yet.
    pub not_started: Vec<Arc<str>>,
    pub rolled_back: Vec<Arc<str>>,
}

impl VersionChoice {
    /// The version under rollout if it serves the conversation; `None` for the version in use.
    pub fn next_for(&self, conversation: u64) -> Option<&Arc<str>> {
        let (next, share) = self.next.as_ref()?;
        let position = stable_hash(&[next.as_bytes(), &conversation.to_le_bytes()]) as f64 / u64::MAX as f64;
        (position < *share).then_some(next)
    }

    /// Whether a rollout is under way, or the version in use has a plan.
    pub fn has_rollout(&self) -> bool {
        self.next.is_some() || self.base.is_some()
    }

    /// The versions in use, without the one under rollout.
    pub fn in_use(&self) -> VersionRule {
        if let Some(base) = &self.base {
            return VersionRule::Only(base.clone());
        }
        let next = self.next.iter().map(|(next, _)| next.clone());
        VersionRule::Except(self.rolled_back.iter().chain(&self.not_started).cloned().chain(next).collect())
    }

    /// The versions that may serve where none in use does: all that were not rolled back.
    pub fn fallback(&self) -> VersionRule {
        VersionRule::Except(self.rolled_back.clone())
    }
}

/// Computes the choice for a pool from the steps and rollbacks in `facts`; `None` if the pool has no version plans.
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
