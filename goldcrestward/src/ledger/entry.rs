//! Keys and entries of the ledger.

use std::sync::Arc;

use crate::{
    pb,
    util::{stable_hash, value},
};

/// Slots of the ledger, the same on every daemon of a site.
pub(crate) const SLOTS: u32 = 8;

/// Hash of account, route and idempotency key.
pub(crate) type Key = [u8; 16];

/// The key of a call.
pub(crate) fn ledger_key(account: &str, route: &str, key: &str) -> Key {
    let parts = [account.as_bytes(), route.as_bytes(), key.as_bytes()];
    let mut out = Key::default();
    out[..8].copy_from_slice(&stable_hash(&[b"high", parts[0], parts[1], parts[2]]).to_le_bytes());
    out[8..].copy_from_slice(&stable_hash(&[b"low", parts[2], parts[1], parts[0]]).to_le_bytes());
    out
}

/// The slot of a key.
pub(crate) fn slot_of(key: &Key) -> u32 {
    (stable_hash(&[key]) % u64::from(SLOTS)) as u32
}

value! {
    /// Where a key stands.
    pub(crate) enum EntryState {
        /// The right to run it has been given.
        Open,
        /// It has run and its outcome is kept.
        Done,
        /// It may have run.
        Unknown,
        /// It has certainly not run and may be claimed again.
        Free,
    }
}

value! {
    /// What is kept of one key.
    pub(crate) struct Entry {
        /// The key.
        pub key: Key,
        /// Hash of the request's content.
        pub fingerprint: u64,
        /// Where it stands.
        pub state: EntryState,
        /// Unix time in seconds of the last change.
        pub at: u64,
        /// The request that holds or held the claim.
        pub request: Arc<str>,
        /// The outcome, once it has run.
        pub outcome: Option<pb::Outcome>,
    }
}

impl Entry {
    /// Bytes that the entry takes in the service, about.
    pub fn size(&self) -> usize {
        const FIXED: usize = 48;
        let outcome = self.outcome.as_ref().map_or(0, |o| o.body.len() + o.content_type.len());
        FIXED + self.request.len() + outcome
    }
}

impl From<&Entry> for pb::LedgerEntry {
    fn from(entry: &Entry) -> Self {
        let state = match entry.state {
            EntryState::Open => pb::EntryState::Open,
            EntryState::Done => pb::EntryState::Done,
            EntryState::Unknown => pb::EntryState::Unknown,
            EntryState::Free => pb::EntryState::Free,
        };
        Self {
            key: entry.key.to_vec(),
            fingerprint: entry.fingerprint,
            state: state.into(),
            at: entry.at,
            request: entry.request.to_string(),
            outcome: entry.outcome.clone(),
        }
    }
}

impl Entry {
    /// The entry in a segment; `None` if its key is no key.
    pub fn from_wire(entry: pb::LedgerEntry) -> Option<Self> {
        let state = match entry.state() {
            pb::EntryState::Open => EntryState::Open,
            pb::EntryState::Done => EntryState::Done,
            pb::EntryState::Unknown => EntryState::Unknown,
            pb::EntryState::Free => EntryState::Free,
        };
        Some(Self {
            key: entry.key.try_into().ok()?,
            fingerprint: entry.fingerprint,
            state,
            at: entry.at,
            request: entry.request.into(),
            outcome: entry.outcome,
        })
    }
}
