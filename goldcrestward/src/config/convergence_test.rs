//! Random histories of a store and of replicas that list it page by page, watch it and pull from each other.
//!
//! Guards against outdated values: a replica at a revision holds no value that the store no longer held there,
//! and its revision never decreases. The store may be restored from a copy, with revisions given out again; then replicas
//! must reach its new state, and content that numbers itself must not go back.

use std::{collections::BTreeMap, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::ConfigReplica;
use crate::{
    pb::{ConfigDelta, ConfigFile, PullConfig},
    store::Revision,
};

const HISTORIES: u64 = 20_000;
const STEPS: usize = 60;
const KEYS: [&str; 3] = ["a", "b", "c"];
const REPLICAS: usize = 3;
/// Key whose content numbers itself, as the operator's configuration does.
const NUMBERED: &str = "a";
/// Rounds after a history in which replicas read the store and pull from each other.
const SETTLING_ROUNDS: usize = 12;

fn pull(from: Revision) -> PullConfig {
    PullConfig { from: from.ordinal(), ..PullConfig::default() }
}

#[derive(Clone)]
struct Store {
    revision: Revision,
    changes: Vec<ConfigFile>,
    /// Revision up to which the history is compacted.
    compacted: Revision,
}

impl Store {
    fn new() -> Self {
        let start = Revision::new(1, 0);
        Self { revision: start, changes: Vec::new(), compacted: start }
    }

    fn change(&mut self, key: &str, text: Option<String>) {
        self.revision = self.revision.next();
        let revision = self.revision.ordinal();
        self.changes.push(ConfigFile { name: key.to_owned(), revision, text, ..ConfigFile::default() });
    }

    /// Returns as it was in a copy, in a new history that gives the numbers since out again.
    fn restore(&mut self, copy: &Self) {
        let history = self.revision.history() + 1;
        let moved = |revision: Revision| Revision::new(history, revision.number());
        let mut changes = copy.changes.clone();
        for file in &mut changes {
            file.revision = moved(Revision::from_ordinal(file.revision)).ordinal();
        }
        *self = Self { revision: moved(copy.revision), changes, compacted: moved(copy.compacted) };
    }

    /// Last change of each key up to a revision.
    fn at(&self, revision: Revision) -> BTreeMap<&str, &ConfigFile> {
        let revision = revision.ordinal();
        self.changes.iter().filter(|file| file.revision <= revision).map(|file| (file.name.as_str(), file)).collect()
    }

    fn since(&self, revision: Revision) -> Vec<ConfigFile> {
        self.changes.iter().filter(|file| file.revision > revision.ordinal()).cloned().collect()
    }
}

/// A listing in progress.
struct Listing {
    revision: Revision,
    files: Vec<ConfigFile>,
    next: usize,
}

struct Daemon {
    replica: ConfigReplica,
    listing: Option<Listing>,
    /// Revision up to which the open watch has delivered changes; `None` without a watch.
    watched: Option<Revision>,
    /// Deltas from peers that have not arrived yet.
    pending_pulls: Vec<ConfigDelta>,
    /// Revision at the last check.
    last_revision: Revision,
    /// Highest number of the numbered content that it has held.
    highest: u64,
}

impl Daemon {
    fn new() -> Self {
        let mut replica = ConfigReplica::default();
        replica.set_precedence(Arc::new(|name, text, known| name == NUMBERED && number(text) < number(known)));
        let (pending_pulls, last_revision) = (Vec::new(), Revision::NONE);
        Self { replica, listing: None, watched: None, pending_pulls, last_revision, highest: 0 }
    }

    fn read_store(&mut self, store: &Store, random: &mut SmallRng) {
        let history = store.revision.history();
        if let Some(after) = self.watched {
            if after.history() != history || after < store.compacted {
                self.watched = None;
            } else if store.revision > after {
                let number = random.random_range(after.number() + 1..=store.revision.number());
                let until = Revision::new(history, number);
                let files = store.since(after).into_iter().filter(|file| file.revision <= until.ordinal()).collect();
                self.replica.merge(ConfigDelta { revision: until.ordinal(), files, whole: false, next: None });
                self.watched = Some(until);
            }
            return;
        }
        // Pages of different histories make no listing.
        self.listing = self.listing.take().filter(|listing| listing.revision.history() == history);
        let listing = self.listing.get_or_insert_with(|| Listing { revision: store.revision, files: vec![], next: 0 });
        // A page holds one key as it is now, which may differ from its state when the listing began.
        if let Some(key) = KEYS.get(listing.next) {
            let file = store.at(store.revision).get(key).copied().filter(|file| file.text.is_some());
            listing.files.extend(file.cloned());
            listing.next += 1;
            return;
        }
        let Some(Listing { revision, files, .. }) = self.listing.take() else { return };
        self.replica.replace(ConfigDelta { revision: revision.ordinal(), files, whole: true, next: None });
        self.watched = Some(revision);
    }

    /// Whether the replica holds, of each key, the store's value at its revision or a later one.
    fn check(&mut self, store: &Store, history: u64) {
        let revision = self.replica.revision();
        assert!(revision >= self.last_revision, "history {history}: revision went back to {revision}");
        self.last_revision = revision;
        let numbered = self.replica.text(NUMBERED).map_or(self.highest, |text| number(text));
        assert!(
            numbered >= self.highest,
            "history {history}: {NUMBERED} went back from {} to {numbered}",
            self.highest
        );
        self.highest = numbered;
        // What the store held in an earlier history is not known any more.
        if revision.history() != store.revision.history() {
            return;
        }
        for (key, file) in store.at(revision) {
            let text = self.replica.text(key).map(ToString::to_string);
            let later = store.since(revision).into_iter().filter(|later| later.name == key).map(|later| later.text);
            let known = [file.text.clone()].into_iter().chain(later).any(|known| known == text);
            let kept = key == NUMBERED && text.as_deref().map(number) > file.text.as_deref().map(number);
            assert!(known || kept, "history {history}: at {revision} {key} is {text:?}, set to {:?}", file.text);
        }
    }

    fn pull(&mut self, delta: ConfigDelta) {
        self.replica.merge(delta);
    }
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

/// Lets all replicas read the store and pull; then each must hold what the store holds.
fn settle(daemons: &mut [Daemon], store: &Store, random: &mut SmallRng, history: u64) {
    // One daemon learns only from the others.
    for _ in 0..SETTLING_ROUNDS {
        for daemon in daemons.iter_mut().skip(1) {
            daemon.read_store(store, random);
        }
    }
    for one in 0..daemons.len() {
        for other in 0..daemons.len() {
            let from = daemons[one].replica.revision();
            let delta = daemons[other].replica.answer_pull(&pull(from));
            daemons[one].pull(delta);
        }
    }
    for daemon in daemons {
        daemon.check(store, history);
        assert_eq!(daemon.replica.revision(), store.revision, "history {history}: a replica is stuck");
    }
}

#[test]
fn replicas_never_hold_outdated_values() {
    for history in 0..HISTORIES {
        let mut random = SmallRng::seed_from_u64(history);
        let mut store = Store::new();
        let mut copy = store.clone();
        let mut daemons: Vec<Daemon> = (0..REPLICAS).map(|_| Daemon::new()).collect();
        for step in 0..STEPS {
            let (one, other) = (random.random_range(0..REPLICAS), random.random_range(0..REPLICAS));
            match random.random_range(0..14) {
                0..3 => {
                    let key = KEYS[random.random_range(0..KEYS.len())];
                    let text = (key == NUMBERED || random.random_bool(0.6)).then(|| format!("{step}"));
                    store.change(key, text);
                }
                3 => store.compacted = store.revision,
                4 if step % 7 == 0 => {
                    daemons[one] = Daemon::new();
                }
                4 => daemons[one].watched = None,
                5..7 => {
                    let from = daemons[one].replica.revision();
                    let delta = daemons[other].replica.answer_pull(&pull(from));
                    daemons[one].pending_pulls.push(delta);
                }
                12 => copy = store.clone(),
                // A copy of an earlier history can be restored as well.
                13 if step % 3 == 0 => store.restore(&copy),
                7 if !daemons[one].pending_pulls.is_empty() => {
                    let index = random.random_range(0..daemons[one].pending_pulls.len());
                    let delta = daemons[one].pending_pulls.remove(index);
                    daemons[one].replica.merge(delta);
                }
                _ => daemons[one].read_store(&store, &mut random),
            }
            daemons[one].check(&store, history);
        }
        settle(&mut daemons, &store, &mut random, history);
    }
}
