//! Pulls newer configurations from peers and the instance list from the platform.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::time::timeout;

use crate::{
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
        let body = request::Body::PullConfig(pb::PullConfig { from, kept_only: false });
        shared.peer_client.request(address, body, PULL_TIMEOUT.saturating_sub(started.elapsed())).await
    };
    let mut answer = pull().await;
    if answer.is_err() {
        // The connection was dead, and the next one is new.
        answer = pull().await;
    }
    match answer {
        Ok(answer::Body::ConfigDelta(delta)) => {
            shared.merge_config(delta, "peer");
        }
        Ok(_) => warn!("event=pull-failed peer={address} from={from} error=\"an answer of another kind\""),
        Err(error) => {
            let ms = started.elapsed().as_millis();
            info!("event=pull-failed peer={address} from={from} ms={ms} error={:?}", error.to_string());
        }
    }
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
        let body = request::Body::PullConfig(pb::PullConfig { from: own.ordinal(), kept_only: true });
        let answer = shared.peer_client.request(address, body, PULL_TIMEOUT).await;
        if let Ok(answer::Body::ConfigDelta(delta)) = answer
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
    let mut list = InstanceList::new(shared.settings.platform, shared.client.clone());
    let mut available = true;
    loop {
        match list.changes().await {
            Ok(changes) => {
                if !available {
                    info!("event=instance-list-back");
                }
                available = true;
                let leaving = changes.iter().filter(|i| i.state == InstanceState::Leaving);
                for instance in leaving {
                    publish_leaving(&shared, &instance.id);
                }
                shared.replicas.update(changes, shared.now());
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
