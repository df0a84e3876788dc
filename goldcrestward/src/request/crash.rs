//! Requests that crash back ends.
//!
//! A crash of a replica puts the most suspicious of the requests that it was running under
//! suspicion: those that were suspects before, then those that had got no token from it. One
//! that alone was most suspicious at two crashes is refused everywhere. Suspects are tried
//! apart from each other, and a request is cleared when it is answered.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    process::{
        Blame, ReplicaGuard, Shared,
        membership::{Fact, FactKind, Facts},
    },
    util::{stable_hash, unix_ms},
};

/// Points at which a request is refused.
const CONDEMNED: u64 = 3;
/// Points of the request that alone was most suspicious.
const SOLE: u64 = 2;
/// Points where others were as suspicious.
const SHARED: u64 = 1;
/// Time that a crash is remembered, in ms.
const MEMORY_MS: u64 = 15 * 60 * 1000;

/// Time for a replica's address to accept a connection when it is asked whether it lives.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Whether a replica's address accepts connections.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    matches!(timeout(ALIVE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}

/// Puts a request under suspicion whose connection broke at a replica that no longer listens; tells whether
/// it is to blame, or `None` if the replica has not crashed.
pub(crate) async fn record_crash(shared: &Shared, guard: &ReplicaGuard, fingerprint: u64) -> Option<bool> {
    let replica = guard.replica();
    guard.record_disconnect(shared.now());
    if replica.is_leaving() || accepts_connections(replica.address).await || replica.is_leaving() {
        return None;
    }
    let now = shared.now();
    replica.eject(now);
    let fact = CrashRecords::crash(fingerprint, &replica.id, replica.blame(guard, now));
    let blamed = fact.is_some();
    fact.into_iter().for_each(|fact| shared.publish_fact(fact));
    Some(blamed)
}

/// A request's fingerprint: account, path and content.
pub(crate) fn fingerprint(account: &str, path: &str, body: &[u8]) -> u64 {
    stable_hash(&[account.as_bytes(), path.as_bytes(), body])
}

/// Judges fingerprints by the facts that the site knows.
pub(crate) struct CrashRecords;

impl CrashRecords {
    /// The fact that `replica` crashed under a request; `None` if another request is to blame.
    pub fn crash(fingerprint: u64, replica: &str, blame: Blame) -> Option<Fact> {
        let now = unix_ms();
        let points = match blame {
            Blame::None => return None,
            Blame::Shared => SHARED,
            Blame::Sole => SOLE,
        };
        Some(Fact {
            kind: FactKind::Crash,
            key: format!("{fingerprint:016x}/{replica}/{points}").into(),
            value: now,
            until_ms: now + MEMORY_MS,
            note: Arc::from(""),
        })
    }

    /// The fact that a fingerprint is cleared of what is known so far.
    pub fn clear(fingerprint: u64, note: &str) -> Fact {
        let now = unix_ms();
        Fact {
            kind: FactKind::Clear,
            key: format!("{fingerprint:016x}").into(),
            value: now,
            until_ms: now + MEMORY_MS,
            note: note.into(),
        }
    }

    /// Points of the request since it was last cleared.
    pub fn score(facts: &Facts, fingerprint: u64) -> u64 {
        let prefix = format!("{fingerprint:016x}");
        let cleared = facts.get(FactKind::Clear, &prefix).map_or(0, |f| f.value);
        let crashes = facts.with_prefix(FactKind::Crash, &prefix).filter(|f| f.value > cleared);
        crashes.filter_map(|f| f.key.rsplit('/').next()?.parse::<u64>().ok()).sum()
    }

    /// Whether the request must be refused.
    pub fn is_blocked(facts: &Facts, fingerprint: u64) -> bool {
        Self::score(facts, fingerprint) >= CONDEMNED
    }
}
