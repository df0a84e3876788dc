//! A listing of the site's state that is under way.

use crate::{
    pb,
    store::{Cause, Error, Listing},
};

/// Failures in a row of the reading of one page, after which a listing begins anew.
const MAX_PAGE_FAILURES: u32 = 8;

/// A listing of the site's state, which outlasts the failures of single pages.
#[derive(Debug)]
pub(super) struct StateListing {
    pub progress: Listing,
    /// Time before the first page was asked for: the listing holds all that the store had acknowledged then.
    pub begun_at: u64,
    /// The files of the pages that have been read.
    files: Vec<pb::ConfigFile>,
    /// Failures of the next page.
    failures: u32,
}

impl StateListing {
    pub fn new(begun_at: u64) -> Self {
        Self { progress: Listing::default(), begun_at, files: Vec::new(), failures: 0 }
    }

    /// Adds the files of a page.
    pub fn add(&mut self, files: impl IntoIterator<Item = pb::ConfigFile>) {
        self.failures = 0;
        self.files.extend(files);
    }

    /// Records that the next page could not be read, or that there is no way to it. Returns whether the listing may go on.
    pub fn record_failure(&mut self, error: &Error) -> bool {
        if self.progress.is_stuck() {
            return false;
        }
        match error {
            // The call was not made.
            Error::Budget { .. } => true,
            Error::Unanswered { cause: Cause::PageStuck, .. } => false,
            Error::Unreached { .. } | Error::Unanswered { .. } => {
                self.failures += 1;
                self.failures < MAX_PAGE_FAILURES
            }
            _ => false,
        }
    }

    /// Returns the files of the pages that have been read.
    pub fn into_files(self) -> Vec<pb::ConfigFile> {
        self.files
    }
}

#[cfg(test)]
#[path = "state_listing_test.rs"]
mod state_listing_test;
