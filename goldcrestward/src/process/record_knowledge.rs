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
    /// When it knew it, in ms of the boot-time clock.
    at_ms: u64,
    /// No daemon had ever held the duties then.
    before_all_terms: bool,
}

/// The history of the store in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentHistory {
    pub number: u64,
    /// Since when this daemon knows it, in ms of the boot-time clock.
    pub known_since_ms: u64,
}

impl RecordKnowledge {
    /// Whether the state of the store is known.
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Learns at `now` that the state of the store in a history is known, and whether it tells of a holder of the duties. Only
    /// the first state counts.
    pub fn begin(&mut self, history: u64, has_had_holder: bool, now: u64) {
        self.begun.get_or_insert(Begun { history, at_ms: now, before_all_terms: !has_had_holder });
    }

    /// Whether the site was new, as far as the store told, when this daemon began to know it.
    pub fn knew_new_site(&self) -> bool {
        self.begun.is_some_and(|begun| begun.before_all_terms)
    }

    /// Until when records may have been written that this daemon does not know and the store has lost, in ms of the boot-time
    /// clock. `None` if `record`, the latest that it knows, is the latest that was written. `is_vouched` says that the last
    /// holder before the restore has told what it recorded. A record of an older build does not state its history.
    pub fn lost_until(&self, record: Option<&UsageRecord>, current: CurrentHistory, is_vouched: bool) -> Option<u64> {
        let Some(begun) = self.begun else { return Some(current.known_since_ms) };
        if record.is_some_and(|record| record.history.is_some_and(|history| history >= current.number)) {
            return None;
        }
        if begun.history < current.number {
            return (!is_vouched).then_some(current.known_since_ms);
        }
        let is_known_from_first = begun.before_all_terms && record.is_some();
        (!is_known_from_first).then_some(begun.at_ms)
    }
}

/// The first window that begins at `time_ms` or later.
pub(crate) fn first_window_since(time_ms: u64, window_ms: u64) -> u64 {
    time_ms.div_ceil(window_ms.max(1))
}

#[cfg(test)]
#[path = "record_knowledge_test.rs"]
mod record_knowledge_test;
