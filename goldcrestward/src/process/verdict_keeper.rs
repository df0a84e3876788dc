//! Keeps verdicts on prompt parts in the platform's store, so that they outlive a loss of all daemons.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    crash_watch::learn_part_fact,
    duty::OWN_PREFIX,
    membership::{Fact, FactKind},
    shared::Shared,
};
use crate::{
    store::{Compare, Purpose, Put, Revision, Txn},
    util::unix_ms,
};

/// Interval between comparisons of the verdicts with those in the store.
const INTERVAL: Duration = Duration::from_secs(1);
/// Verdicts that are kept.
const MAX_VERDICTS: usize = 64;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredCrash {
    run: u64,
    instance: Arc<str>,
    crashed_ms: u64,
    until_ms: u64,
}

/// Writes verdicts to the store, on one daemon of the site, and removes those that no longer hold.
pub(crate) struct VerdictKeeper {
    shared: Arc<Shared>,
}

impl VerdictKeeper {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        loop {
            sleep(INTERVAL).await;
            if self.shared.in_force.load().revision.is_none() || self.shared.view.lock().rank("verdicts") > 0 {
                continue;
            }
            let Some((part, txn)) = self.next_change() else { continue };
            let stored = !txn.puts.is_empty();
            match self.shared.kv.txn(Purpose::Verdicts, txn).await {
                Ok(outcome) => {
                    info!("event=verdict-kept part={part:x} stored={stored} applied={}", outcome.succeeded);
                }
                Err(error) => warn!("event=verdict-not-kept part={part:x} error={error:?}"),
            }
        }
    }

    /// The first difference between the verdicts in force and those in the store, with the transaction that removes it.
    fn next_change(&self) -> Option<(u64, Txn)> {
        let prefix = prefix(&self.shared.settings.site);
        let kept = self.shared.config.lock().with_prefix(&prefix);
        let condemned: Vec<u64> = {
            let evidence = self.shared.crash_evidence.lock();
            evidence.condemned().iter().flat_map(|condemned| condemned.parts.clone()).collect()
        };
        let key = |part: u64| format!("{prefix}{part:016x}");
        if kept.len() < MAX_VERDICTS
            && let Some(part) =
                condemned.iter().copied().find(|part| kept.iter().all(|(name, ..)| **name != key(*part)))
        {
            let value = serde_json::to_vec(&self.crashes(part)).unwrap_or_default();
            let compares = vec![Compare { key: key(part), revision: Revision::NONE }];
            return Some((
                part,
                Txn { compares, puts: vec![Put { key: key(part), value, lease: 0 }], removes: Vec::new() },
            ));
        }
        let (name, _, revision) = kept.into_iter().find(|(name, text, _)| !self.holds(&prefix, name, text))?;
        let part = part_of(&prefix, &name).unwrap_or_default();
        let compares = vec![Compare { key: name.to_string(), revision }];
        Some((part, Txn { compares, puts: Vec::new(), removes: vec![name.to_string()] }))
    }

    fn crashes(&self, part: u64) -> Vec<StoredCrash> {
        let accusations = self.shared.crash_evidence.lock().accusations(part);
        let view = self.shared.view.lock();
        let stored = accusations.into_iter().map(|(run, crashed_ms, until_ms)| {
            let fact = view.facts().get(FactKind::PartCrash, &fact_key(part, run));
            let instance = fact.map_or_else(|| Arc::from(""), |fact| fact.note.clone());
            StoredCrash { run, instance, crashed_ms, until_ms }
        });
        stored.collect()
    }

    /// Whether some accusation of a kept verdict still holds.
    fn holds(&self, prefix: &str, name: &str, text: &str) -> bool {
        let Some(part) = part_of(prefix, name) else { return false };
        let crashes: Vec<StoredCrash> = serde_json::from_str(text).unwrap_or_default();
        let evidence = self.shared.crash_evidence.lock();
        crashes.iter().any(|crash| crash.until_ms > unix_ms() && !evidence.is_cleared(part, crash.crashed_ms))
    }
}

/// Applies a verdict from the store; does nothing if the key names something else.
pub(crate) fn apply_verdict(shared: &Shared, name: &str, text: &str) {
    let prefix = prefix(&shared.settings.site);
    let Some(part) = part_of(&prefix, name) else { return };
    let crashes: Vec<StoredCrash> = match serde_json::from_str(text) {
        Ok(crashes) => crashes,
        Err(error) => return warn!("event=entry-refused key={name:?} error={:?}", error.to_string()),
    };
    for StoredCrash { run, instance, crashed_ms, until_ms } in crashes {
        let key = fact_key(part, run).into();
        let fact = Fact { kind: FactKind::PartCrash, key, value: crashed_ms, until_ms, note: instance };
        let is_new = shared.view.lock().add_fact(fact.clone(), shared.now(), unix_ms());
        if is_new {
            learn_part_fact(shared, &fact);
        }
    }
}

/// Key of the fact that accuses a part of the crash of a replica's run.
pub(super) fn fact_key(part: u64, run: u64) -> String {
    format!("{part:016x}/{run:016x}")
}

fn prefix(site: &str) -> String {
    format!("{OWN_PREFIX}{site}/crash-verdicts/")
}

fn part_of(prefix: &str, name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}
