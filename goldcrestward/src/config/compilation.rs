//! The configuration that the stored files make, of which files of other writers may be refused.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    document::Document,
    merge::{Merged, Problem, merge},
};
use crate::store::Revision;

/// Most of the newest files without which the others are tried.
const MAX_LEFT_OUT: usize = 64;

type Documents = BTreeMap<Arc<str>, Arc<Document>>;

/// A stored file of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct StoredDocument {
    pub name: Arc<str>,
    pub revision: Revision,
    pub document: Arc<Document>,
    /// The last content that could be read, if that of `document` cannot.
    pub last_readable: Option<Arc<Document>>,
}

/// Merged files, and why others were refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct Compilation {
    pub merged: Merged,
    /// One problem for each refused file.
    pub refused: Vec<Problem>,
}

impl Compilation {
    /// Merges the files that can be read, and the last readable content of the others where it is known. The result is
    /// not valid if these contradict each other, or need what is refused.
    pub fn of_readable(files: &[StoredDocument]) -> Self {
        let refused: Vec<Problem> = files.iter().filter_map(|file| file.document.problem().cloned()).collect();
        let documents: Documents = files.iter().filter_map(StoredDocument::usable).collect();
        if documents.is_empty() && !refused.is_empty() {
            return Self { merged: Merged { problems: refused.clone(), ..Merged::default() }, refused };
        }
        Self { merged: merge(&documents), refused }
    }

    /// Like [`Compilation::of_readable`], but leaves out newer files that contradict older ones: changes are validated with all
    /// files before they are committed, so that files which came after the last valid change are of other writers.
    ///
    /// Returns `None` if the older files are not valid by themselves, and if what was written last, at the revision `newest`,
    /// is none of the files: then the older ones may need what cannot be read or is gone.
    pub fn of_oldest(files: &[StoredDocument], newest: Revision) -> Option<Self> {
        let mut refused: Vec<Problem> = files.iter().filter_map(|file| file.document.problem().cloned()).collect();
        let mut by_age: Vec<_> = files.iter().filter_map(|file| Some((file.revision, file.usable()?))).collect();
        by_age.sort_by(|(revision, (name, _)), (other, (other_name, _))| (revision, name).cmp(&(other, other_name)));
        by_age.last().filter(|(revision, _)| *revision == newest)?;
        // Files of one change are committed together.
        let is_boundary = |count: &usize| by_age[*count].0 != by_age[count - 1].0;
        let counts = (1..by_age.len()).rev().take(MAX_LEFT_OUT).filter(is_boundary);
        let older = |count: usize| by_age[..count].iter().map(|(_, file)| file.clone()).collect::<Documents>();
        let count = counts.into_iter().find(|count| merge(&older(*count)).problems.is_empty())?;
        let mut documents = older(count);
        for (_, (name, document)) in &by_age[count..] {
            documents.insert(name.clone(), document.clone());
            if let Some(problem) = merge(&documents).problems.into_iter().next() {
                documents.remove(name);
                let message = format!("contradicts older files: {problem}");
                refused.push(Problem { file: name.clone(), line: 0, field: problem.field, message });
            }
        }
        Some(Self { merged: merge(&documents), refused })
    }
}

impl StoredDocument {
    fn usable(&self) -> Option<(Arc<str>, Arc<Document>)> {
        let is_readable = self.document.problem().is_none();
        let document = if is_readable { Some(&self.document) } else { self.last_readable.as_ref() };
        document.map(|document| (self.name.clone(), document.clone()))
    }
}

#[cfg(test)]
#[path = "compilation_test.rs"]
mod compilation_test;
