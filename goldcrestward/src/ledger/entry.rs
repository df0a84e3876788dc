//! Keys and entries of the ledger, and their encoding.

use std::sync::Arc;

use crate::{
    pb,
    util::{derive_value_traits, stable_hash},
};

/// Number of slots, which must be the same on every daemon of a site.
pub(crate) const SLOTS: u32 = 8;

/// 128-bit hash of account, route and idempotency key.
pub(crate) type Key = [u8; 16];

pub(crate) fn ledger_key(account: &str, route: &str, key: &str) -> Key {
    let parts = [account.as_bytes(), route.as_bytes(), key.as_bytes()];
    let mut out = Key::default();
    out[..8].copy_from_slice(&stable_hash(&[b"high", parts[0], parts[1], parts[2]]).to_le_bytes());
    out[8..].copy_from_slice(&stable_hash(&[b"low", parts[2], parts[1], parts[0]]).to_le_bytes());
    out
}

pub(crate) fn slot_of(key: &Key) -> u32 {
    (stable_hash(&[key]) % u64::from(SLOTS)) as u32
}

derive_value_traits! {
    /// Run state of a key.
    pub(crate) enum EntryState {
        /// A request holds the claim and may be running.
        Open,
        /// The request ran and its outcome is recorded.
        Done,
        /// The request may have run; its outcome is not known.
        Unknown,
        /// The request certainly did not run; the key may be claimed again.
        Free,
    }
}

derive_value_traits! {
    /// Ledger entry of one key.
    pub(crate) struct Entry {
        pub key: Key,
        /// Hash of the request's content.
        pub fingerprint: u64,
        pub state: EntryState,
        /// Unix time in seconds of the last change.
        pub updated_at: u64,
        /// The request that holds or held the claim.
        pub request: Arc<str>,
        /// Recorded outcome; only in state `Done`.
        pub outcome: Option<pb::Outcome>,
    }
}

impl Entry {
    /// Approximate size of the encoded entry in bytes.
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
            at: entry.updated_at,
            request: entry.request.to_string(),
            outcome: entry.outcome.clone(),
        }
    }
}

impl Entry {
    /// Whether the key of an entry of a segment is 16 bytes long.
    pub fn has_key(entry: &pb::LedgerEntry) -> bool {
        entry.key.len() == Key::default().len()
    }

    /// Decodes an entry of a segment; `None` if its key is not 16 bytes long.
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
            updated_at: entry.at,
            request: entry.request.into(),
            outcome: entry.outcome,
        })
    }
}
