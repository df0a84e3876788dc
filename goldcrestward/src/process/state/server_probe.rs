//! Finds out whether a server without an entry can be reached, by this daemon or by way of a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    connection::open_socket,
    pb::{OpenTunnel, TunnelResult},
    process::{exchange::Exchange, membership::State, replicas::Replica, shared::Shared},
    util::stable_hash,
};

/// Time for a direct connection.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for a peer to open a connection.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers that are asked in one probe.
const MAX_HELPERS: usize = 3;

/// Whether the server can be reached, and the peer by way of which. Nothing is sent to it. `helper` is the peer that reached
/// it last, which is asked first.
pub(super) async fn reach(shared: &Shared, replica: &Replica, helper: Option<&str>) -> (bool, Option<Arc<str>>) {
    let gateway = shared.exchange.get().and_then(Exchange::gateway);
    let is_lost = gateway.is_some_and(|gateway| gateway.reach.lock().is_lost(&replica.id));
    // The way that is known to fail is tried last.
    if !is_lost && reaches_directly(replica).await {
        return (true, None);
    }
    let by_peer = reaching_peer(shared, replica, helper).await;
    (by_peer.is_some() || (is_lost && reaches_directly(replica).await), by_peer)
}

async fn reaches_directly(replica: &Replica) -> bool {
    timeout(DIRECT_TIMEOUT, open_socket(replica.address)).await.is_ok_and(|opened| opened.is_ok())
}

async fn reaching_peer(shared: &Shared, replica: &Replica, helper: Option<&str>) -> Option<Arc<str>> {
    for (name, address) in helpers(shared, replica, helper) {
        let open = OpenTunnel {
            instance: replica.id.to_string(),
            run: replica.run_hash(),
            ends_within_ms: 0,
            request: format!("probe-{}", replica.id),
            from: shared.settings.name.to_string(),
        };
        let opened = timeout(RELAY_TIMEOUT, shared.peer_client.open_tunnel(address, open)).await;
        let result = match opened {
            Ok(Ok(_)) => "opened",
            Ok(Err(TunnelResult::Unreached)) => "unreached",
            Ok(Err(_)) => "refused",
            Err(_) => "no-answer",
        };
        log::debug!("event=probe-asked instance={} peer={name} result={result}", replica.id);
        shared.metrics.server_probes.with_label_values(&[result]).inc();
        if result == "opened" {
            return Some(name);
        }
    }
    None
}

/// Peers to ask, in an order that differs between servers and from probe to probe after the first.
fn helpers(shared: &Shared, replica: &Replica, helper: Option<&str>) -> Vec<(Arc<str>, SocketAddr)> {
    let salt = shared.now().to_le_bytes();
    let view = shared.view.lock();
    let is_asked = |state| state == State::Alive;
    let mut peers: Vec<_> =
        view.others().filter(|member| is_asked(member.state) && !view.is_stopping(member)).collect();
    peers.sort_by_cached_key(|member| {
        let hash = stable_hash(&[replica.id.as_bytes(), member.name.as_bytes(), &salt]);
        (helper != Some(&*member.name), hash)
    });
    peers.into_iter().take(MAX_HELPERS).map(|member| (member.name.clone(), member.address)).collect()
}
