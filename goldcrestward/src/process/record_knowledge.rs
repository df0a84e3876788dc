//! What a daemon knows of the reports of usage that a restore of the store may have lost.

use super::term::UsageRecord;

/// What a daemon has known of the stored records since its start. A record that the store lost may have been reported, so
/// that its window must not be counted again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordKnowledge {
    begun: Option<Begun>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Begun {
    /// History of the store whose state this daemon knew first.
    history: u64,
    /// No daemon had ever held the duties then.
    before_all_terms: bool,
}

impl RecordKnowledge {
    /// Whether the state of the store is known.
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Learns that the state of the store in a history is known, and whether it tells of a holder of the duties. Only the first
    /// state counts.
    pub fn begin(&mut self, history: u64, has_had_holder: bool) {
        self.begun.get_or_insert(Begun { history, before_all_terms: !has_had_holder });
    }

    /// Whether no later record than this one has been lost: it is the latest that this daemon knows, and was stored in a
    /// history that this daemon has known from then on. A record of an older build does not state its history.
    pub fn is_latest(&self, record: Option<&UsageRecord>) -> bool {
        let Some(begun) = self.begun else { return false };
        let is_since = |record: &UsageRecord| record.history.is_some_and(|history| history >= begun.history);
        begun.before_all_terms || record.is_some_and(is_since)
    }
}

/// The first window that begins at `time_ms` or later.
pub(crate) fn first_window_since(time_ms: u64, window_ms: u64) -> u64 {
    time_ms.div_ceil(window_ms.max(1))
}

#[cfg(test)]
#[path = "record_knowledge_test.rs"]
mod record_knowledge_test;
