//! Requests that crash back ends.
//!
//! A crash of a replica puts every request that it was running under suspicion. A request
//! that has been on two replicas as they crashed is refused everywhere. One that was there
//! by chance is cleared when it is answered.

use std::sync::Arc;

use crate::{
    process::membership::{Fact, FactKind, Facts},
    util::{stable_hash, unix_ms},
};

/// Crashes after which a request is refused.
const CRASHES: usize = 2;
/// Time that a crash is remembered, in ms.
const MEMORY_MS: u64 = 15 * 60 * 1000;

/// A request's fingerprint: account, path and content.
pub(crate) fn fingerprint(account: &str, path: &str, body: &[u8]) -> u64 {
    stable_hash(&[account.as_bytes(), path.as_bytes(), body])
}

/// Judges fingerprints by the facts that the site knows.
pub(crate) struct Suspects;

impl Suspects {
    /// The fact that `replica` crashed under a request.
    pub fn crash(fingerprint: u64, replica: &str) -> Fact {
        let now = unix_ms();
        Fact {
            kind: FactKind::Crash,
            key: format!("{fingerprint:016x}/{replica}").into(),
            value: now,
            until_ms: now + MEMORY_MS,
            note: Arc::from(""),
        }
    }

    /// The fact that a fingerprint is cleared of what is known so far.
    pub fn pardon(fingerprint: u64, note: &str) -> Fact {
        let now = unix_ms();
        Fact {
            kind: FactKind::Pardon,
            key: format!("{fingerprint:016x}").into(),
            value: now,
            until_ms: now + MEMORY_MS,
            note: note.into(),
        }
    }

    /// Replicas that crashed under the request since it was last cleared.
    pub fn crashes(facts: &Facts, fingerprint: u64) -> usize {
        let prefix = format!("{fingerprint:016x}");
        let cleared = facts.get(FactKind::Pardon, &prefix).map_or(0, |f| f.value);
        facts.with_prefix(FactKind::Crash, &prefix).filter(|f| f.value > cleared).count()
    }

    /// Whether the request must be refused.
    pub fn is_condemned(facts: &Facts, fingerprint: u64) -> bool {
        Self::crashes(facts, fingerprint) >= CRASHES
    }
}
