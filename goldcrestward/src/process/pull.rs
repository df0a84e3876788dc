//! Takes newer configurations from peers and instances from the platform's list.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::{info, warn};

use super::{
    membership::{Fact, FactKind},
    shared::Shared,
};
use crate::{
    pb::{self, answer, request},
    platform::InstanceList,
    port::InstanceState,
    util::unix_ms,
};

/// Time for a peer to give its configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from one reading of the instance list to the next.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a notice of leaving is spread, in ms.
const LEAVING_MEMORY_MS: u64 = 10 * 60 * 1000;

/// Asks a peer for what is newer than this daemon's configuration, one pull at a time.
pub(crate) fn pull_config(shared: &Arc<Shared>, address: SocketAddr) {
    let Ok(permit) = shared.pull_permit.clone().try_acquire_owned() else { return };
    let shared = shared.clone();
    tokio::spawn(async move {
        let from = shared.config.lock().revision();
        let body = request::Body::PullConfig(pb::PullConfig { from });
        let answer = shared.peer_client.request(address, body, PULL_TIMEOUT).await;
        if let Ok(answer::Body::ConfigDelta(delta)) = answer {
            shared.merge_config(delta, "peer");
        }
        drop(permit);
    });
}

/// Reads the platform's list until the task is dropped.
pub(crate) async fn watch_instances(shared: Arc<Shared>) {
    let mut list = InstanceList::new(shared.settings.platform, shared.client.clone());
    let mut answering = true;
    loop {
        match list.changes().await {
            Ok(changes) => {
                if !answering {
                    info!("event=instance-list-back");
                }
                answering = true;
                let leaving = changes.iter().filter(|i| i.state == InstanceState::Leaving);
                for instance in leaving {
                    state_leaving(&shared, &instance.id);
                }
                shared.replicas.update(changes, shared.now());
                shared.instances_listed.store(true, Ordering::Relaxed);
                count(&shared);
            }
            Err(error) => {
                if answering {
                    warn!("event=instance-list-lost error={error:?}");
                }
                answering = false;
            }
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn state_leaving(shared: &Shared, id: &Arc<str>) {
    let until_ms = unix_ms() + LEAVING_MEMORY_MS;
    shared.publish_fact(Fact { kind: FactKind::Leaving, key: id.clone(), value: 1, until_ms, note: Arc::from("") });
}

fn count(shared: &Shared) {
    for pool in shared.in_force.load().site.pools.keys() {
        let count = shared.replicas.pool(pool).len() as i64;
        shared.metrics.replicas.with_label_values(&[pool]).set(count);
    }
}
