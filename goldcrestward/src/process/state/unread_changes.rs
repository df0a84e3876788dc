//! Decides when changes that cannot be read are replaced by a listing.

use crate::store::{Cause, Error};

/// Failed readings of changes in a row after which a listing is tried.
const MAX_FAILURES: u32 = 3;

/// Readings of the store's changes that have failed in a row.
///
/// Changes have no pages: an answer that takes too long, or that cannot be decoded, is the same at the next try. A listing
/// has pages, and gets on at a store that is only slow.
#[derive(Debug, Default)]
pub(super) struct UnreadChanges {
    failures: u32,
    must_list: bool,
}

impl UnreadChanges {
    /// Records that changes could not be read.
    pub fn record_failure(&mut self, error: &Error) {
        match error {
            Error::Compacted { .. } | Error::Unanswered { cause: Cause::TooLong, .. } => self.must_list = true,
            Error::Unanswered { cause: Cause::TimedOut | Cause::Broken | Cause::Undecodable, .. } => self.failures += 1,
            _ => {}
        }
    }

    /// Records that a listing could not be read. If not even its first page was, the store is away and not only slow, and its
    /// changes may be read again once it is back.
    pub fn record_failed_listing(&mut self, pages_read: usize) {
        if pages_read == 0 {
            self.failures = 0;
        }
    }

    /// Records that the copy is as the store has stated it.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether the next reading is to be a listing.
    pub fn must_list(&self) -> bool {
        self.must_list || self.failures >= MAX_FAILURES
    }
}

#[cfg(test)]
#[path = "unread_changes_test.rs"]
mod unread_changes_test;
