//! Which version serves a request: the same choice on all daemons, sticky for a conversation.

use std::sync::Arc;

use super::rollout::Rollout;
use crate::{
    config::{Site, VersionPlan},
    process::membership::{FactKind, Facts},
    util::stable_hash,
};

/// The version in use and the one that traffic moves to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    /// The version in use.
    pub base: Arc<str>,
    /// The version that traffic moves to, with its share.
    pub next: Option<(Arc<str>, f64)>,
}

impl Choice {
    /// The version for a conversation.
    pub fn pick(&self, conversation: u64) -> &Arc<str> {
        let Some((next, share)) = &self.next else { return &self.base };
        let place = stable_hash(&[next.as_bytes(), &conversation.to_le_bytes()]) as f64 / u64::MAX as f64;
        if place < *share { next } else { &self.base }
    }
}

/// The choice for a pool by the steps and take-backs that the site knows; `None` without versions.
pub(crate) fn choose(site: &Site, facts: &Facts, pool: &str) -> Option<Choice> {
    let mut plans: Vec<&VersionPlan> = site.versions.values().filter(|v| *v.pool == *pool).collect();
    plans.sort_by(|a, b| (a.start_ms, &a.name).cmp(&(b.start_ms, &b.name)));
    let mut choice: Option<Choice> = None;
    for plan in plans {
        let name = plan.name.clone();
        if plan.start_ms.is_none() {
            choice = Some(Choice { base: name, next: None });
            continue;
        }
        if facts.get(FactKind::TakenBack, &name).is_some() {
            continue;
        }
        let step = facts.get(FactKind::Step, &name).map_or(0, |f| f.value as usize);
        let share = Rollout::share(plan, step);
        match &mut choice {
            _ if share <= 0.0 => {}
            Some(choice) if share < 1.0 => choice.next = Some((name, share)),
            _ => choice = Some(Choice { base: name, next: None }),
        }
    }
    choice
}
