//! A daemon's copy of the configuration, which only moves to higher revisions.
//!
//! The same copy holds whatever else of the site's state lies in the platform's store and has to reach
//! all daemons; each entry is a file by the name of its key.

use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock},
};

use super::{
    document::Document,
    merge::{Merged, merge},
};
use crate::pb;

/// Removed files that are remembered, so that a delta can say so.
const REMOVED_FILES: usize = 4096;

struct File {
    revision: u64,
    text: Option<Arc<str>>,
    document: OnceLock<Arc<Document>>,
}

impl File {
    fn new(revision: u64, text: Option<Arc<str>>) -> Self {
        Self { revision, text, document: OnceLock::new() }
    }
}

/// The files with the revision at which each was set or removed.
///
/// A removed file stays for a while as an entry without text, so that a delta can say so.
#[derive(Default)]
pub(crate) struct ConfigReplica {
    revision: u64,
    /// Revision from which on all removals are known. What was set and removed before a listing was begun is not.
    complete_from: u64,
    files: BTreeMap<Arc<str>, File>,
}

impl ConfigReplica {
    /// The highest revision taken in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in what is newer in `delta`; false if nothing is.
    ///
    /// A delta holds every file changed after the revision that it was asked from, so
    /// it must be asked from this copy's revision or an earlier one.
    pub fn merge(&mut self, delta: pb::ConfigDelta) -> bool {
        if delta.revision <= self.revision {
            return false;
        }
        if delta.whole {
            return self.replace(delta);
        }
        for file in delta.files {
            self.set(file.name.into(), file.revision, file.text.map(Into::into));
        }
        self.revision = delta.revision;
        self.prune();
        true
    }

    /// Takes in a whole listing that was begun at its revision: files that are not on it are gone.
    pub fn replace(&mut self, listing: pb::ConfigDelta) -> bool {
        if listing.revision <= self.revision {
            return false;
        }
        self.complete_from = listing.revision;
        let listed: std::collections::BTreeSet<&str> = listing.files.iter().map(|file| file.name.as_str()).collect();
        let gone = |(name, file): (&Arc<str>, &File)| {
            let older = file.revision <= listing.revision;
            (file.text.is_some() && older && !listed.contains(&**name)).then(|| name.clone())
        };
        let gone: Vec<_> = self.files.iter().filter_map(gone).collect();
        for name in gone {
            // The file may be newer here than the listing says it was removed.
            self.files.insert(name, File::new(listing.revision, None));
        }
        self.merge(pb::ConfigDelta { whole: false, ..listing })
    }

    fn set(&mut self, name: Arc<str>, revision: u64, text: Option<Arc<str>>) {
        if self.files.get(&name).is_none_or(|old| old.revision < revision) {
            self.files.insert(name, File::new(revision, text));
        }
    }

    fn prune(&mut self) {
        let mut removed: Vec<u64> = self.files.values().filter(|f| f.text.is_none()).map(|f| f.revision).collect();
        if removed.len() <= REMOVED_FILES {
            return;
        }
        removed.sort_unstable();
        let oldest = removed[removed.len() - REMOVED_FILES / 2];
        self.complete_from = self.complete_from.max(oldest);
        self.files.retain(|_, file| file.text.is_some() || file.revision >= oldest);
    }

    /// The files changed after revision `from`.
    pub fn delta(&self, from: u64) -> pb::ConfigDelta {
        let files = self
            .files
            .iter()
            .filter(|(_, file)| file.revision > from)
            .map(|(name, file)| pb::ConfigFile {
                name: name.to_string(),
                revision: file.revision,
                text: file.text.as_ref().map(ToString::to_string),
            })
            .collect();
        pb::ConfigDelta { revision: self.revision, files, whole: false }
    }

    /// What another copy at revision `from` must take in: all files if removals since then may not be known here.
    pub fn delta_or_snapshot(&self, from: u64) -> pb::ConfigDelta {
        if from >= self.complete_from {
            return self.delta(from);
        }
        let mut delta = self.delta(0);
        delta.files.retain(|file| file.text.is_some());
        pb::ConfigDelta { whole: true, ..delta }
    }

    /// The text of a file.
    pub fn text(&self, name: &str) -> Option<&Arc<str>> {
        self.files.get(name)?.text.as_ref()
    }

    /// The documents now in force.
    pub fn documents(&self) -> BTreeMap<Arc<str>, Arc<Document>> {
        let document = |(name, file): (&Arc<str>, &File)| {
            let text = file.text.clone()?;
            let parsed = file.document.get_or_init(|| Arc::new(Document::parse(name, text)));
            Some((name.clone(), parsed.clone()))
        };
        self.files.iter().filter_map(document).collect()
    }

    /// Merges the files now in force.
    pub fn compile(&self) -> Merged {
        merge(&self.documents())
    }
}

#[cfg(test)]
#[path = "convergence_test.rs"]
mod convergence_test;
#[cfg(test)]
#[path = "replica_test.rs"]
mod replica_test;
