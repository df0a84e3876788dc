//! A daemon's replica of the configuration, whose revision never decreases.
//!
//! The replica also holds the other site state from the platform's store that every daemon needs; each
//! entry is a file named by its key.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, OnceLock},
};

use prost::Message;

use super::{compilation::StoredDocument, document::Document};
use crate::{
    pb::{self, FileOrigin},
    store::Revision,
};

/// Most removal markers kept; once there are more, only the newest half of this number is kept.
const MAX_REMOVED_FILES: usize = 4096;
/// Most bytes of files in one piece of an answer, unless one file alone is larger: a tenth of what a frame holds.
const MAX_PIECE_BYTES: usize = 3 * 1024 * 1024;

/// Whether a text of a file is older than another one, by what the texts themselves say: file name, text, other text.
pub(crate) type Precedence = Arc<dyn Fn(&str, &str, &str) -> bool + Send + Sync>;

struct File {
    revision: Revision,
    text: Option<Arc<str>>,
    origin: FileOrigin,
    /// Revision at which the content was first seen; earlier than `revision` if it is known from before a restore.
    first_seen: Revision,
    /// Content before a restore that lost the file, and when it was first seen.
    lost: Option<(Arc<str>, Revision)>,
    /// The daemon that read the file in the store, and when, as agreed Unix time in ms.
    read: Option<(Arc<str>, u64)>,
    /// Number of the change of this replica that set the file.
    change: u64,
    document: OnceLock<Arc<Document>>,
    /// Last content of an existing file that could be read as a document before this one.
    last_readable: Option<Arc<Document>>,
}

impl File {
    fn new(revision: Revision, text: Option<Arc<str>>) -> Self {
        Self {
            revision,
            text,
            origin: FileOrigin::Written,
            first_seen: revision,
            lost: None,
            read: None,
            change: 0,
            document: OnceLock::new(),
            last_readable: None,
        }
    }

    /// The last content that could be read as a document, of those that were looked at.
    fn readable_document(&self) -> Option<&Arc<Document>> {
        self.text.as_ref()?;
        let document = self.document.get().filter(|document| document.problem().is_none());
        document.or(self.last_readable.as_ref())
    }

    fn from_message(message: pb::ConfigFile) -> (Arc<str>, Self) {
        let (origin, first_seen) = (message.origin(), Revision::from_ordinal(message.first_seen));
        let mut file = Self::new(Revision::from_ordinal(message.revision), message.text.map(Into::into));
        file.origin = origin;
        file.read = (message.read_ms > 0).then(|| (message.reader.into(), message.read_ms));
        if !first_seen.is_none() {
            file.first_seen = first_seen;
        }
        (message.name.into(), file)
    }

    fn to_message(&self, name: &str) -> pb::ConfigFile {
        let is_older = self.first_seen != self.revision;
        pb::ConfigFile {
            name: name.to_owned(),
            revision: self.revision.ordinal(),
            text: self.text.as_ref().map(ToString::to_string),
            origin: self.origin.into(),
            first_seen: if is_older { self.first_seen.ordinal() } else { 0 },
            reader: self.read.as_ref().map_or_else(String::new, |(reader, _)| reader.to_string()),
            read_ms: self.read.as_ref().map_or(0, |(_, at)| *at),
        }
    }

    /// The content that is in force or was lost in a restore, and when it was first seen.
    fn last_content(&self) -> Option<(Arc<str>, Revision)> {
        self.text.clone().map(|text| (text, self.first_seen)).or_else(|| self.lost.clone())
    }
}

/// Files with the revision at which each was set or removed.
///
/// A removed file is kept for a time as a removal marker, an entry without text, so that deltas include the removal.
/// When the store is restored from a copy, its revisions belong to a new history. A listing of that history replaces the
/// files, but content that is newer by its own account is kept, and what was there before is remembered.
#[derive(Default)]
pub(crate) struct ConfigReplica {
    revision: Revision,
    /// Revision from which on all removals are known. A listing does not show files removed before it began.
    complete_from: Revision,
    files: BTreeMap<Arc<str>, File>,
    /// Number of changes of files so far.
    changes: u64,
    precedence: Option<Precedence>,
}

impl ConfigReplica {
    /// Highest revision merged so far.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets how texts of a file are compared that say themselves which is newer.
    pub fn set_precedence(&mut self, precedence: Precedence) {
        self.precedence = Some(precedence);
    }

    /// Merges a delta, or applies a whole listing. Returns false if its revision is not newer.
    ///
    /// A delta holds every file changed after the revision from which it was requested, so
    /// it must be requested from this replica's revision or an earlier one.
    pub fn merge(&mut self, delta: pb::ConfigDelta) -> bool {
        let revision = Revision::from_ordinal(delta.revision);
        // Removals and files from before a restore may be missing in a delta, so only a whole listing leads into the
        // new history.
        let is_later_history = !self.revision.is_none() && revision.history() != self.revision.history();
        if revision <= self.revision || (is_later_history && !delta.whole) {
            return false;
        }
        if delta.whole {
            return self.replace(delta);
        }
        self.set_all(delta.files);
        self.revision = revision;
        self.prune();
        true
    }

    /// Applies a whole listing that began at its revision: files up to that revision that it lacks are removed.
    pub fn replace(&mut self, listing: pb::ConfigDelta) -> bool {
        let revision = Revision::from_ordinal(listing.revision);
        if revision <= self.revision {
            return false;
        }
        self.complete_from = revision;
        let listed: std::collections::BTreeSet<&str> = listing.files.iter().map(|file| file.name.as_str()).collect();
        let removed_name = |(name, file): (&Arc<str>, &File)| {
            let older = file.revision <= revision;
            (file.text.is_some() && older && !listed.contains(&**name)).then(|| name.clone())
        };
        let removed: Vec<_> = self.files.iter().filter_map(removed_name).collect();
        for name in removed {
            // The file may be newer here than the listing says it was removed.
            let mut marker = File::new(revision, None);
            let before = self.files.get(&name).filter(|file| file.revision.history() < revision.history());
            if let Some(before) = before {
                marker.origin = FileOrigin::Lost;
                marker.lost = before.last_content();
            }
            self.insert(name, marker);
        }
        self.set_all(listing.files);
        self.revision = revision;
        self.prune();
        true
    }

    /// Adopts content that another replica knows from before a restore, for files that this one has only from the copy.
    /// Returns whether there was any.
    pub fn adopt_kept(&mut self, delta: pb::ConfigDelta) -> bool {
        let before = self.changes;
        for (name, file) in delta.files.into_iter().map(File::from_message) {
            let own = self.files.get(&name);
            let is_same_entry = own.is_some_and(|own| own.revision == file.revision && own.text.is_some());
            let knows_less =
                own.is_some_and(|own| own.origin == FileOrigin::Written && own.first_seen > file.first_seen);
            if file.origin == FileOrigin::Kept && file.text.is_some() && is_same_entry && knows_less {
                self.insert(name, file);
            }
        }
        self.changes > before
    }

    /// Uses files of a listing that is not whole, of this revision. Nothing counts as removed, and the revision stays, so
    /// that neither this replica nor others take the files for all that there are. Returns whether any was newer.
    ///
    /// What this replica knows up to its own revision is whole: older files that it lacks have been removed since they were
    /// listed. Of a later history only a whole listing is used, as that alone tells what a restore has lost.
    pub fn adopt_listed(&mut self, mut files: Vec<pb::ConfigFile>, revision: Revision) -> bool {
        let before = self.changes;
        if self.revision.is_none() || self.revision.history() == revision.history() {
            files.retain(|file| Revision::from_ordinal(file.revision) > self.revision);
            self.set_all(files);
        }
        self.changes > before
    }

    fn set_all(&mut self, files: Vec<pb::ConfigFile>) {
        for (name, file) in files.into_iter().map(File::from_message) {
            let file = match self.files.get(&name) {
                Some(old) if old.revision >= file.revision => continue,
                Some(old) => self.with_earlier_content(&name, old, file),
                None => file,
            };
            self.insert(name, file);
        }
    }

    /// Compares a file with what was known of it: content that is newer by its own account is kept, and content from
    /// before a restore is recognized.
    fn with_earlier_content(&self, name: &str, old: &File, mut file: File) -> File {
        let Some(text) = file.text.clone() else {
            file.lost = old.last_content().filter(|_| file.origin == FileOrigin::Lost);
            return file;
        };
        let is_restored = old.revision.history() < file.revision.history();
        let Some((known, first_seen)) = old.last_content() else {
            if is_restored {
                file.origin = FileOrigin::Reappeared;
            }
            return file;
        };
        let is_outdated = self.precedence.as_ref().is_some_and(|is_older| is_older(name, &text, &known));
        let is_same = text == known && (is_restored || old.origin == FileOrigin::Lost);
        if is_outdated || is_same {
            file.text = Some(known);
            file.origin = FileOrigin::Kept;
            file.first_seen = first_seen;
        }
        file
    }

    fn insert(&mut self, name: Arc<str>, mut file: File) {
        self.changes += 1;
        file.change = self.changes;
        file.last_readable = self.files.get(&name).and_then(File::readable_document).cloned();
        self.files.insert(name, file);
    }

    /// Drops the oldest removal markers once there are too many.
    fn prune(&mut self) {
        let mut removed: Vec<Revision> = self.files.values().filter(|f| f.text.is_none()).map(|f| f.revision).collect();
        if removed.len() <= MAX_REMOVED_FILES {
            return;
        }
        removed.sort_unstable();
        let oldest = removed[removed.len() - MAX_REMOVED_FILES / 2];
        self.complete_from = self.complete_from.max(oldest);
        self.files.retain(|_, file| file.text.is_some() || file.revision >= oldest);
    }

    /// Files changed or removed after revision `from`.
    pub fn delta(&self, from: Revision) -> pb::ConfigDelta {
        let files = self.files.iter().filter(|(_, file)| file.revision > from);
        let files = files.map(|(name, file)| file.to_message(name)).collect();
        pb::ConfigDelta { revision: self.revision.ordinal(), files, whole: false, next: None }
    }

    /// Answers another replica's pull: files changed or removed after its revision, or all files if removals since then
    /// may be unknown here. A replica that takes the files in pieces gets one piece.
    ///
    /// The pieces of an answer may be of different revisions. Together they are an update to the revision of the first
    /// one, with some files that are newer.
    pub fn answer_pull(&self, pull: &pb::PullConfig) -> pb::ConfigDelta {
        let from = Revision::from_ordinal(pull.from);
        let whole = !pull.kept_only && from < self.complete_from;
        let is_asked = |file: &File| match (pull.kept_only, whole) {
            (true, _) => file.origin == FileOrigin::Kept,
            (false, true) => file.text.is_some(),
            (false, false) => file.revision > from,
        };
        let start = pull.after.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let files = self.files.range::<str, _>((start, Bound::Unbounded)).filter(|(_, file)| is_asked(file));
        let mut delta = pb::ConfigDelta { revision: self.revision.ordinal(), whole, ..pb::ConfigDelta::default() };
        let mut bytes = 0;
        for (name, file) in files {
            let message = file.to_message(name);
            bytes += message.encoded_len();
            if pull.after.is_some() && bytes > MAX_PIECE_BYTES && !delta.files.is_empty() {
                delta.next = delta.files.last().map(|last| last.name.clone());
                break;
            }
            delta.files.push(message);
        }
        delta
    }

    /// Files set or removed here since a number of changes, and the number of changes until now.
    pub fn changes_since(&self, changes: u64) -> (Vec<pb::ConfigFile>, u64) {
        let files = self.files.iter().filter(|(_, file)| file.change > changes);
        (files.map(|(name, file)| file.to_message(name)).collect(), self.changes)
    }

    /// Text of a file; `None` if it is unknown or removed.
    pub fn text(&self, name: &str) -> Option<&Arc<str>> {
        self.files.get(name)?.text.as_ref()
    }

    /// Text of a file, or the text that it had before a restore of the store lost it.
    pub fn last_text(&self, name: &str) -> Option<Arc<str>> {
        self.files.get(name)?.last_content().map(|(text, _)| text)
    }

    /// Name, content and revision of the files in force whose names start with `prefix`.
    pub fn with_prefix(&self, prefix: &str) -> Vec<(Arc<str>, Arc<str>, Revision)> {
        let files = self.files.iter().filter(|(name, _)| name.starts_with(prefix));
        files.filter_map(|(name, file)| Some((name.clone(), file.text.clone()?, file.revision))).collect()
    }

    /// Files of the configuration, parsed at most once each.
    pub fn documents(&self) -> Vec<StoredDocument> {
        let document = |(name, file): (&Arc<str>, &File)| {
            let text = file.text.clone()?;
            let document = file.document.get_or_init(|| Arc::new(Document::parse(name, text))).clone();
            let (name, revision, last_readable) = (name.clone(), file.revision, file.last_readable.clone());
            Some(StoredDocument { name, revision, document, last_readable })
        };
        self.files.iter().filter_map(document).collect()
    }
}

#[cfg(test)]
#[path = "convergence_test.rs"]
mod convergence_test;
#[cfg(test)]
#[path = "replica_test.rs"]
mod replica_test;
