//! Pulls newer configurations from peers and the instance list from the platform.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::{sync::Semaphore, time::timeout};

use crate::{
    connection::PeerClient,
    pb::{self, answer, request},
    platform::InstanceList,
    port::InstanceState,
    process::{
        membership::{Fact, FactKind},
        shared::Shared,
    },
    store::Revision,
    util::unix_ms,
};

/// Time limit of a pull until its first piece, and of each further piece.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which another peer may be asked as well, as the first one may be slow or silent.
const PULL_HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Peers that a daemon asks for what they know from before a restore.
const KEPT_PULLS: u32 = 3;
/// Interval between two readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which the fact that an instance is leaving is gossiped.
const LEAVING_FACT_TTL_MS: u64 = 10 * 60 * 1000;

/// Pulls configuration changes from a peer in the background. Does nothing while another pull has just begun.
pub(crate) fn pull_config(shared: &Arc<Shared>, address: SocketAddr) {
    let Ok(permit) = shared.pull_permit.clone().try_acquire_owned() else { return };
    let shared = shared.clone();
    tokio::spawn(async move {
        let pull = pull_from(&shared, address);
        tokio::pin!(pull);
        if timeout(PULL_HEDGE_DELAY, &mut pull).await.is_err() {
            drop(permit);
            pull.await;
        }
    });
}

async fn pull_from(shared: &Shared, address: SocketAddr) {
    let started = Instant::now();
    let from = shared.config.lock().revision().ordinal();
    let pull = async || {
        let request = pb::PullConfig { from, kept_only: false, after: None };
        let limit = PULL_TIMEOUT.saturating_sub(started.elapsed());
        pull_pieces(&shared.peer_client, address, request, limit, &shared.long_pull_permit).await
    };
    let mut answer = pull().await;
    if answer.is_err() {
        // The connection was dead, and the next one is new.
        answer = pull().await;
    }
    match answer {
        Ok(delta) => {
            shared.merge_config(delta, "peer");
        }
        Err(error) => {
            let ms = started.elapsed().as_millis();
            if let Some(others) = shared.pull_failures.lock().record(shared.now()) {
                info!("event=pull-failed peer={address} from={from} ms={ms} others={others} error={error:?}");
            }
        }
    }
}

/// Pulls all pieces of an answer and puts them together. The first one must arrive within `limit`; others are pulled only
/// with the permit, as another peer may be asked meanwhile.
///
/// # Errors
/// Returns the reason if the peer does not send all pieces, or its state changes in a way that pieces do not show.
async fn pull_pieces(
    client: &PeerClient,
    address: SocketAddr,
    request: pb::PullConfig,
    mut limit: Duration,
    long_pull_permit: &Semaphore,
) -> Result<pb::ConfigDelta, String> {
    let mut pulled: Option<pb::ConfigDelta> = None;
    let mut after = String::new();
    let mut permit = None;
    loop {
        let body = request::Body::PullConfig(pb::PullConfig { after: Some(after.clone()), ..request });
        let answer = client.request(address, body, limit).await.map_err(|error| error.to_string())?;
        let answer::Body::ConfigDelta(mut piece) = answer else { return Err("an answer of another kind".to_owned()) };
        let next = piece.next.take();
        let delta = match pulled.take() {
            None => piece,
            Some(first) => append(first, piece)?,
        };
        let Some(next) = next else { return Ok(delta) };
        if next <= after {
            return Err(format!("the piece after {after:?} leads to {next:?}"));
        }
        if permit.is_none() {
            permit = Some(long_pull_permit.try_acquire().map_err(|_| "another long pull is under way")?);
        }
        (pulled, after, limit) = (Some(delta), next, PULL_TIMEOUT);
    }
}

/// Appends a piece of an answer to those before. Between the two the peer may have gone over to another history of the
/// store, or have forgotten removals.
fn append(mut first: pb::ConfigDelta, piece: pb::ConfigDelta) -> Result<pb::ConfigDelta, String> {
    let revisions = [first.revision, piece.revision].map(Revision::from_ordinal);
    if revisions[0].history() != revisions[1].history() || first.whole != piece.whole {
        return Err(format!("the peer's state changed between two pieces, from {} to {}", revisions[0], revisions[1]));
    }
    first.files.extend(piece.files);
    Ok(first)
}

/// Asks a peer, a few times after the start, for content that it knows from before a restore of the store: a daemon
/// that starts after the restore knows only the copy, until operators have written their entries again.
pub(crate) fn adopt_kept(shared: &Arc<Shared>, address: SocketAddr, peer_revision: Revision) {
    let own = shared.config.lock().revision();
    let is_useful = !own.is_none() && peer_revision.history() == own.history();
    if !is_useful || shared.kept_pulls.load(Ordering::Relaxed) >= KEPT_PULLS {
        return;
    }
    let Ok(permit) = shared.pull_permit.clone().try_acquire_owned() else { return };
    shared.kept_pulls.fetch_add(1, Ordering::Relaxed);
    let shared = shared.clone();
    tokio::spawn(async move {
        let request = pb::PullConfig { from: own.ordinal(), kept_only: true, after: None };
        if let Ok(delta) =
            pull_pieces(&shared.peer_client, address, request, PULL_TIMEOUT, &shared.long_pull_permit).await
            && shared.config.lock().adopt_kept(delta)
        {
            info!("event=state-adopted from={address} revision={own}");
            shared.config_changed.notify_one();
        }
        drop(permit);
    });
}

/// Polls the platform's instance list until the task is dropped.
pub(crate) async fn watch_instances(shared: Arc<Shared>) {
    let (client, memory) = (shared.client.clone(), shared.response_memory.clone());
    let mut list = InstanceList::new(shared.settings.platform, client, memory, shared.refusals.clone());
    let mut available = true;
    loop {
        match list.changes().await {
            Ok(changes) => {
                if !available {
                    info!("event=instance-list-back");
                }
                available = true;
                let leaving = changes.instances.iter().filter(|i| i.state == InstanceState::Leaving);
                for instance in leaving {
                    publish_leaving(&shared, &instance.id);
                }
                shared.replicas.update(changes.instances, shared.now());
                for id in changes.unreadable.iter().filter(|id| shared.replicas.is_known(id)) {
                    shared.replicas.remove(id, shared.now());
                    info!("event=instance-removed instance={id:?} reason=unreadable");
                }
                shared.instances_listed.store(true, Ordering::Relaxed);
                update_replica_gauges(&shared);
            }
            Err(error) => {
                if available {
                    warn!("event=instance-list-lost error={error:?}");
                }
                available = false;
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn publish_leaving(shared: &Shared, id: &Arc<str>) {
    let until_ms = unix_ms() + LEAVING_FACT_TTL_MS;
    shared.publish_fact(Fact { kind: FactKind::Leaving, key: id.clone(), value: 1, until_ms, note: Arc::from("") });
}

fn update_replica_gauges(shared: &Shared) {
    for pool in shared.in_force.load().site.pools.keys() {
        let count = shared.replicas.pool(pool).len() as i64;
        shared.metrics.replicas.with_label_values(&[pool]).set(count);
    }
}

#[cfg(test)]
#[path = "pull_test.rs"]
mod pull_test;
