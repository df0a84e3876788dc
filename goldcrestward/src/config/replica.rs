//! A daemon's copy of the configuration, which only moves to higher revisions.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    document::Document,
    merge::{Merged, merge},
};
use crate::pb;

struct File {
    revision: u64,
    document: Option<Arc<Document>>,
}

/// The files with the revision at which each was set or removed.
///
/// A removed file stays as an entry without a document, so that a delta can say so.
#[derive(Default)]
pub(crate) struct ConfigReplica {
    revision: u64,
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
        for file in delta.files {
            let name: Arc<str> = file.name.into();
            if self.files.get(&name).is_some_and(|old| old.revision >= file.revision) {
                continue;
            }
            let document = file.text.map(|text| Arc::new(Document::parse(&name, text.into())));
            self.files.insert(name, File { revision: file.revision, document });
        }
        self.revision = delta.revision;
        true
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
                text: file.document.as_ref().map(|d| d.text().to_string()),
            })
            .collect();
        pb::ConfigDelta { revision: self.revision, files }
    }

    /// The documents now in force.
    pub fn documents(&self) -> BTreeMap<Arc<str>, Arc<Document>> {
        self.files.iter().filter_map(|(name, file)| Some((name.clone(), file.document.clone()?))).collect()
    }

    /// Merges the files now in force.
    pub fn compile(&self) -> Merged {
        merge(&self.documents())
    }
}
