//! Random histories of a store and of replicas that list it page by page, watch it and pull from each other.
//!
//! Guards against outdated values: a replica at a revision holds no value that the store no longer held there,
//! and its revision never decreases.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::ConfigReplica;
use crate::pb::{ConfigDelta, ConfigFile};

const HISTORIES: u64 = 20_000;
const STEPS: usize = 60;
const KEYS: [&str; 3] = ["a", "b", "c"];
const REPLICAS: usize = 3;

#[derive(Default)]
struct Store {
    revision: u64,
    changes: Vec<ConfigFile>,
    /// Revision up to which the history is compacted.
    compacted: u64,
}

impl Store {
    fn change(&mut self, key: &str, text: Option<String>) {
        self.revision += 1;
        self.changes.push(ConfigFile { name: key.to_owned(), revision: self.revision, text });
    }

    /// Last change of each key up to a revision.
    fn at(&self, revision: u64) -> BTreeMap<&str, &ConfigFile> {
        self.changes.iter().filter(|file| file.revision <= revision).map(|file| (file.name.as_str(), file)).collect()
    }

    fn since(&self, revision: u64) -> Vec<ConfigFile> {
        self.changes.iter().filter(|file| file.revision > revision).cloned().collect()
    }
}

/// A listing in progress.
struct Listing {
    revision: u64,
    files: Vec<ConfigFile>,
    next: usize,
}

struct Daemon {
    replica: ConfigReplica,
    listing: Option<Listing>,
    /// Revision up to which the open watch has delivered changes; `None` without a watch.
    watched: Option<u64>,
    /// Deltas from peers that have not arrived yet.
    pending_pulls: Vec<ConfigDelta>,
    /// Revision at the last check.
    last_revision: u64,
}

impl Daemon {
    fn new() -> Self {
        let replica = ConfigReplica::default();
        Self { replica, listing: None, watched: None, pending_pulls: Vec::new(), last_revision: 0 }
    }

    fn read_store(&mut self, store: &Store, random: &mut SmallRng) {
        if let Some(after) = self.watched {
            if after < store.compacted {
                self.watched = None;
            } else if store.revision > after {
                let until = random.random_range(after + 1..=store.revision);
                let files = store.since(after).into_iter().filter(|file| file.revision <= until).collect();
                self.replica.merge(ConfigDelta { revision: until, files, whole: false });
                self.watched = Some(until);
            }
            return;
        }
        let listing = self.listing.get_or_insert_with(|| Listing { revision: store.revision, files: vec![], next: 0 });
        // A page holds one key as it is now, which may differ from its state when the listing began.
        if let Some(key) = KEYS.get(listing.next) {
            let file = store.at(store.revision).get(key).copied().filter(|file| file.text.is_some());
            listing.files.extend(file.cloned());
            listing.next += 1;
            return;
        }
        let Some(Listing { revision, files, .. }) = self.listing.take() else { return };
        self.replica.replace(ConfigDelta { revision, files, whole: true });
        self.watched = Some(revision);
    }

    fn check(&mut self, store: &Store, history: u64) {
        let revision = self.replica.revision();
        assert!(revision >= self.last_revision, "history {history}: revision went back to {revision}");
        self.last_revision = revision;
        for (key, file) in store.at(revision) {
            let text = self.replica.text(key).map(ToString::to_string);
            let later = store.since(revision).into_iter().filter(|later| later.name == key).map(|later| later.text);
            let known = [file.text.clone()].into_iter().chain(later).any(|known| known == text);
            assert!(known, "history {history}: at {revision} {key} is {text:?}, set to {:?}", file.text);
        }
    }
}

#[test]
fn replicas_never_hold_outdated_values() {
    for history in 0..HISTORIES {
        let mut random = SmallRng::seed_from_u64(history);
        let mut store = Store::default();
        let mut daemons: Vec<Daemon> = (0..REPLICAS).map(|_| Daemon::new()).collect();
        for step in 0..STEPS {
            let (one, other) = (random.random_range(0..REPLICAS), random.random_range(0..REPLICAS));
            match random.random_range(0..12) {
                0..3 => {
                    let key = KEYS[random.random_range(0..KEYS.len())];
                    let text = random.random_bool(0.6).then(|| format!("{step}"));
                    store.change(key, text);
                }
                3 => store.compacted = store.revision,
                4 if step % 7 == 0 => {
                    daemons[one] = Daemon::new();
                }
                4 => daemons[one].watched = None,
                5..7 => {
                    let from = daemons[one].replica.revision();
                    let delta = daemons[other].replica.delta_or_snapshot(from);
                    daemons[one].pending_pulls.push(delta);
                }
                7 if !daemons[one].pending_pulls.is_empty() => {
                    let index = random.random_range(0..daemons[one].pending_pulls.len());
                    let delta = daemons[one].pending_pulls.remove(index);
                    daemons[one].replica.merge(delta);
                }
                _ => daemons[one].read_store(&store, &mut random),
            }
            daemons[one].check(&store, history);
        }
    }
}
