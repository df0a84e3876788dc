//! Parts of a slot's state.

use std::sync::Arc;

use super::{entry::Key, message::Ticket};
use crate::store::{Revision, Row};

/// A claim that waits for a commit.
#[derive(Clone, Debug)]
pub(super) struct WaitingClaim {
    pub ticket: Ticket,
    pub key: Key,
    pub fingerprint: u64,
    pub request: Arc<str>,
}

/// State of a slot at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// Owned by another daemon or by none.
    #[default]
    Idle,
    /// Reading the slot, or waiting to read it again.
    Loading,
    /// Writing the head with this daemon as owner and the next fencing token.
    Acquiring,
    /// Owned by this daemon, and being read again: until the head named it, the owner before may have written more.
    Entering,
    /// Owned by this daemon.
    Owned,
    /// Owned by this daemon, with a commit pending.
    Committing,
    /// The outcome of a commit is unknown: its answer was lost or its conditions failed. The slot is read back.
    Reconciling,
}

/// Size of the open segment from which the next write begins a new one.
const SEGMENT_ROLL_BYTES: usize = 32 * 1024;

/// The segment that is still written.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenSegment {
    pub number: u32,
    pub keys: Vec<Key>,
    bytes: usize,
}

impl OpenSegment {
    /// Begins an empty segment.
    pub fn begin(number: u32) -> Self {
        Self { number, ..Self::default() }
    }

    /// Whether the segment has reached its size limit.
    pub fn is_full(&self) -> bool {
        self.bytes >= SEGMENT_ROLL_BYTES
    }

    /// Adds a state of an entry that takes `bytes`.
    pub fn add(&mut self, key: Key, bytes: usize) {
        self.bytes += bytes;
        if !self.keys.contains(&key) {
            self.keys.push(key);
        }
    }
}

/// A segment as it was last stored.
#[derive(Clone, Debug, Default)]
pub(super) struct Segment {
    pub revision: Revision,
    /// Unix time in seconds of the last change of any entry; that of the load if it cannot be read.
    pub last_updated_at: u64,
    /// Whether another program has overwritten it, so that entries may be lost.
    pub is_overwritten: bool,
}

impl Segment {
    /// A segment that cannot be read. One that was created as it is has never held entries; of any other it is not known.
    pub fn unreadable(row: &Row, unix_s: u64) -> Self {
        let is_overwritten = row.revision.is_none() || row.create_revision != row.revision;
        Self { revision: row.revision, last_updated_at: unix_s, is_overwritten }
    }
}

/// What the pending commit writes, grants and removes.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    /// Whether it writes entries; otherwise it only checks that the slot is still owned.
    pub writes: bool,
    pub tickets: Vec<(Ticket, Key, Arc<str>)>,
    /// Claims of keys with an entry, which are answered once the slot is known to be still owned: another owner may have
    /// changed the entry.
    pub checked: Vec<WaitingClaim>,
    /// Numbers of the segments that have expired.
    pub removes: Vec<u32>,
}
