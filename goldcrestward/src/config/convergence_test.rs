//! Random histories of a store and of copies that list it in pages, watch it and pull from each other.
//!
//! Whatever happens, a copy at a revision holds nothing that the store no longer held there.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::ConfigReplica;
use crate::pb::{ConfigDelta, ConfigFile};

const HISTORIES: u64 = 20_000;
const STEPS: usize = 60;
const KEYS: [&str; 3] = ["a", "b", "c"];
const COPIES: usize = 3;

#[derive(Default)]
struct Store {
    revision: u64,
    changes: Vec<ConfigFile>,
    /// Revision up to which the history is gone.
    dropped: u64,
}

impl Store {
    fn change(&mut self, key: &str, text: Option<String>) {
        self.revision += 1;
        self.changes.push(ConfigFile { name: key.to_owned(), revision: self.revision, text });
    }

    /// The last change of each key up to a revision.
    fn at(&self, revision: u64) -> BTreeMap<&str, &ConfigFile> {
        self.changes.iter().filter(|file| file.revision <= revision).map(|file| (file.name.as_str(), file)).collect()
    }

    fn since(&self, revision: u64) -> Vec<ConfigFile> {
        self.changes.iter().filter(|file| file.revision > revision).cloned().collect()
    }
}

/// A listing of which some pages have been read.
struct Listing {
    revision: u64,
    files: Vec<ConfigFile>,
    next: usize,
}

struct Copy {
    replica: ConfigReplica,
    listing: Option<Listing>,
    /// Revision up to which the open watch has told, if there is one.
    watched: Option<u64>,
    /// Answers of peers that are on their way.
    pulled: Vec<ConfigDelta>,
    highest: u64,
}

impl Copy {
    fn new() -> Self {
        let replica = ConfigReplica::default();
        Self { replica, listing: None, watched: None, pulled: Vec::new(), highest: 0 }
    }

    fn read_store(&mut self, store: &Store, random: &mut SmallRng) {
        if let Some(after) = self.watched {
            if after < store.dropped {
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
        // A page holds one key as it is now, whatever it was as the first page was read.
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
        assert!(revision >= self.highest, "history {history}: went back to {revision}");
        self.highest = revision;
        for (key, file) in store.at(revision) {
            let text = self.replica.text(key).map(ToString::to_string);
            let later = store.since(revision).into_iter().filter(|later| later.name == key).map(|later| later.text);
            let known = [file.text.clone()].into_iter().chain(later).any(|known| known == text);
            assert!(known, "history {history}: at {revision} {key} is {text:?}, set to {:?}", file.text);
        }
    }
}

#[test]
fn copies_hold_nothing_that_is_gone_whatever_their_sources() {
    for history in 0..HISTORIES {
        let mut random = SmallRng::seed_from_u64(history);
        let mut store = Store::default();
        let mut copies: Vec<Copy> = (0..COPIES).map(|_| Copy::new()).collect();
        for step in 0..STEPS {
            let (one, other) = (random.random_range(0..COPIES), random.random_range(0..COPIES));
            match random.random_range(0..12) {
                0..3 => {
                    let key = KEYS[random.random_range(0..KEYS.len())];
                    let text = random.random_bool(0.6).then(|| format!("{step}"));
                    store.change(key, text);
                }
                3 => store.dropped = store.revision,
                4 if step % 7 == 0 => {
                    copies[one] = Copy::new();
                }
                4 => copies[one].watched = None,
                5..7 => {
                    let from = copies[one].replica.revision();
                    let delta = copies[other].replica.delta_or_snapshot(from);
                    copies[one].pulled.push(delta);
                }
                7 if !copies[one].pulled.is_empty() => {
                    let place = random.random_range(0..copies[one].pulled.len());
                    let delta = copies[one].pulled.remove(place);
                    copies[one].replica.merge(delta);
                }
                _ => copies[one].read_store(&store, &mut random),
            }
            copies[one].check(&store, history);
        }
    }
}
