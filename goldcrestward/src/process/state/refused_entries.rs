//! Bounds the log lines on entries of the store that are refused.

use std::collections::BTreeMap;

use super::line_limit::LineLimit;
use crate::store::Revision;

/// Entries of which it is known that they were refused, and at which revision.
const MAX_KNOWN: usize = 4_096;
/// Entries that have a line each; further ones share the lines of a [`LineLimit`].
const MAX_SINGLE: usize = 64;

/// The entries of the store that this daemon has refused.
#[derive(Debug, Default)]
pub(crate) struct RefusedEntries {
    known: BTreeMap<String, Revision>,
    lines: LineLimit,
}

/// What becomes of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalLine {
    /// The entry has been refused at this revision before.
    Known,
    /// It is counted only.
    Counted,
    /// It is logged as well, with so many others that were not.
    Logged(u64),
}

impl RefusedEntries {
    /// Records that the entry of `key` was refused.
    pub fn record(&mut self, key: &str, revision: Revision, now: u64) -> RefusalLine {
        let before = self.known.get(key).copied();
        if before == Some(revision) {
            return RefusalLine::Known;
        }
        if before.is_none() && self.known.len() >= MAX_KNOWN {
            // Only lines and counts may come again.
            self.known.pop_first();
        }
        self.known.insert(key.to_owned(), revision);
        if before.is_none() && self.known.len() <= MAX_SINGLE {
            return RefusalLine::Logged(0);
        }
        self.lines.record(now).map_or(RefusalLine::Counted, RefusalLine::Logged)
    }
}

#[cfg(test)]
#[path = "refused_entries_test.rs"]
mod refused_entries_test;
