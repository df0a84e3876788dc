//! Finds and blocks requests that crash back ends.
//!
//! Crashes that proxied requests may have caused are evidence for `process::crash_evidence`, which finds whole requests and parts of
//! prompts that crash back ends.
//!
//! On the own interface, the most suspicious of a crashed replica's running requests are recorded as suspects: requests
//! that were suspects before, otherwise those that had received no token from the replica. A request that was
//! the only suspect of two crashes is refused by all daemons. Suspects are sent to different replicas,
//! and a request that is answered is no longer a suspect.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use log::info;
use tokio::time::timeout;

use crate::{
    connection::{ConnectError, open_socket},
    process::{
        Blame, ReplicaGuard, Shared, accuse,
        membership::{Fact, FactKind, Facts},
    },
    util::{stable_hash, unix_ms},
};

/// Crash score from which a request is refused.
const BLOCK_SCORE: u64 = 3;
/// Score for a crash with a single suspect.
const SOLE_SUSPECT_SCORE: u64 = 2;
/// Score for a crash with several suspects.
const SHARED_SUSPECT_SCORE: u64 = 1;
/// Lifetime of a crash record, in ms.
const RECORD_TTL_MS: u64 = 15 * 60 * 1000;

/// Timeout of the connection that probes whether a replica has crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Whether a new connection is refused, as after a crash. Silence says nothing: a sound replica or its link may pause.
async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, open_socket(address)).await {
        Ok(Err(error)) => ConnectError::of(&error) == ConnectError::Refused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// A request that may be the reason for a crash.
#[derive(Clone, Copy)]
pub(crate) struct PossibleCause<'a> {
    /// The request's id, for log lines.
    pub id: &'a str,
    pub fingerprint: u64,
    /// Ids of the parts of its prompt that other requests may have in common.
    pub parts: &'a [u64],
}

/// Accuses a proxied request of the crash of its replica, if the replica has crashed.
pub(crate) async fn accuse_of_crash(shared: &Shared, guard: &ReplicaGuard, request: PossibleCause<'_>) {
    let PossibleCause { id, fingerprint, parts } = request;
    if find_crash(shared, guard, request).await.is_none() {
        return;
    }
    let (replica, now) = (guard.replica(), shared.now());
    if guard.was_beginning(now) {
        accuse(shared, id, replica, Some(fingerprint), parts);
    } else if !replica.was_beginning_any(now) {
        // No other request of this daemon is more likely to be the cause.
        accuse(shared, id, replica, Some(fingerprint), &[]);
    }
}

/// Records the crash of a replica, if it has crashed, for a request of the own interface. Returns whether the request is a
/// suspect; see [`find_crash`] for `None`.
pub(crate) async fn record_crash(shared: &Shared, guard: &ReplicaGuard, request: PossibleCause<'_>) -> Option<bool> {
    let blame = find_crash(shared, guard, request).await?;
    let fact = CrashRecords::crash(request.fingerprint, &guard.replica().id, blame);
    let is_suspect = fact.is_some();
    fact.into_iter().for_each(|fact| shared.publish_fact(fact));
    Some(is_suspect)
}

/// Checks, after the connection of a request broke, whether the replica has crashed, and if so ejects it.
/// Returns the blame of the request, or `None` if the replica has not crashed, or the daemon ends before that is
/// known.
async fn find_crash(shared: &Shared, guard: &ReplicaGuard, request: PossibleCause<'_>) -> Option<Blame> {
    let PossibleCause { id, fingerprint, .. } = request;
    let replica = guard.replica();
    guard.record_disconnect(shared.now());
    if replica.is_leaving() {
        return None;
    }
    // The request's answer must not wait for the probe beyond the daemon's end.
    let refuses = tokio::select! {
        biased;
        refuses = refuses_connections(replica.address) => refuses,
        () = shared.lifetime.ended() => {
            info!("event=crash-probe-cut id={id} instance={} reason=stopping", replica.id);
            return None;
        }
    };
    if !refuses || replica.is_leaving() {
        return None;
    }
    let now = shared.now();
    replica.eject(now);
    let blame = replica.blame(guard, now);
    shared.metrics.crashes.with_label_values(&[blame.label()]).inc();
    let (instance, blame_label, (running, silent)) = (&replica.id, blame.label(), replica.recent_requests(now));
    info!(
        "event=crash-seen id={id} instance={instance} fingerprint={fingerprint:016x} blame={blame_label} running={running} without_output={silent}"
    );
    Some(blame)
}

/// Hashes account, path and content of a request. Retries of a caller have the same fingerprint.
pub(crate) fn fingerprint(account: &str, path: &str, body: &[u8]) -> u64 {
    stable_hash(&[account.as_bytes(), path.as_bytes(), body])
}

/// Crash records of the own interface's requests, kept as facts that all daemons of the site share.
pub(crate) struct CrashRecords;

impl CrashRecords {
    /// The fact that `replica` crashed while it ran a suspect; `None` if the request is not a suspect.
    pub fn crash(fingerprint: u64, replica: &str, blame: Blame) -> Option<Fact> {
        let now = unix_ms();
        let points = match blame {
            Blame::None => return None,
            Blame::Shared => SHARED_SUSPECT_SCORE,
            Blame::Sole => SOLE_SUSPECT_SCORE,
        };
        Some(Fact {
            kind: FactKind::Crash,
            key: format!("{fingerprint:016x}/{replica}/{points}").into(),
            value: now,
            until_ms: now + RECORD_TTL_MS,
            note: Arc::from(""),
        })
    }

    /// The fact that voids all crash records of a fingerprint up to now. `note` is the reason.
    pub fn clear(fingerprint: u64, note: &str) -> Fact {
        let now = unix_ms();
        Fact {
            kind: FactKind::Clear,
            key: format!("{fingerprint:016x}").into(),
            value: now,
            until_ms: now + RECORD_TTL_MS,
            note: note.into(),
        }
    }

    /// The request's crash score since it was last cleared.
    pub fn score(facts: &Facts, fingerprint: u64) -> u64 {
        let prefix = format!("{fingerprint:016x}");
        let cleared = facts.get(FactKind::Clear, &prefix).map_or(0, |f| f.value);
        let crashes = facts.with_prefix(FactKind::Crash, &prefix).filter(|f| f.value > cleared);
        // Several daemons may have recorded the crash of one replica.
        let mut points: BTreeMap<&str, u64> = BTreeMap::new();
        for (replica, stated) in crashes.filter_map(|f| f.key.rsplit_once('/')) {
            let highest = points.entry(replica).or_default();
            *highest = stated.parse().map_or(*highest, |stated: u64| stated.max(*highest));
        }
        points.values().sum()
    }

    /// Whether the request's crash score is high enough to refuse it.
    pub fn is_blocked(facts: &Facts, fingerprint: u64) -> bool {
        Self::score(facts, fingerprint) >= BLOCK_SCORE
    }
}

#[cfg(test)]
#[path = "crash_test.rs"]
mod crash_test;
