//! Opens connections to backend servers, directly or by way of a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::{info, warn};
use tokio::time::timeout;

use super::{
    carried_observer::CarriedObserver,
    table::{Change, Path},
};
use crate::{
    connection::{BackendConnection, CarriedConnection, ConnectError, open_socket},
    pb::{OpenTunnel, TunnelResult},
    process::{Gateway, lifecycle::Stage, membership::State, replicas::Replica, shared::Shared},
    request::RunWindow,
    util::stable_hash,
};

/// Time for a direct connection before a peer is asked; a live server needs a round trip and a handshake.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a peer to open a connection, the way there and its own attempt included.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of an attempt to reach a lost server again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers that are asked for one connection.
const MAX_HELPERS: usize = 3;

impl Gateway {
    /// Returns a connection to a server, idle or new: directly, or by way of a peer if this daemon does not reach it.
    ///
    /// # Errors
    /// Fails when no connection can be opened in time; nothing has been sent then.
    pub async fn connect(
        self: &Arc<Self>,
        id: &str,
        replica: &Arc<Replica>,
        window: &RunWindow,
    ) -> Result<BackendConnection, ConnectError> {
        let limit = window.time_left();
        let (path, is_silent) = {
            let mut reach = self.reach.lock();
            (reach.path(&replica.id, self.shared.now()), reach.is_silent())
        };
        let connections = &self.backend_connections;
        if path != Path::Direct && is_silent {
            connections.close_idle(replica.address, &replica.id);
        }
        if let Some(idle) = connections.take(replica.address, &replica.id, path != Path::Direct) {
            return Ok(idle);
        }
        let mut failure = ConnectError::Silent;
        match path {
            Path::Direct => match connections.open(replica.address, &replica.id, limit.min(DIRECT_TIMEOUT)).await {
                Ok(opened) => {
                    self.record_reach(replica, Ok(()));
                    return Ok(opened);
                }
                Err(error) => {
                    self.record_reach(replica, Err(error));
                    failure = error;
                }
            },
            Path::Relay => {}
            Path::RelayAndProbe => self.probe(replica),
        }
        let relayed = timeout(limit, self.connect_by_peer(id, replica, window)).await;
        relayed.ok().flatten().ok_or(failure)
    }

    /// Checks in the background whether a server can be reached directly.
    pub fn probe(self: &Arc<Self>, replica: &Arc<Replica>) {
        let (gateway, replica) = (self.clone(), replica.clone());
        tokio::spawn(async move {
            let opened = gateway.backend_connections.open(replica.address, &replica.id, PROBE_TIMEOUT).await;
            let result = opened.as_ref().map(|_| ()).map_err(|error| *error);
            gateway.record_reach(&replica, result);
            if let Ok(connection) = opened {
                connection.keep();
            }
        });
    }

    /// Whether this daemon's failures say nothing about the servers, as it reaches none.
    pub fn is_cut_off(&self) -> bool {
        self.reach.lock().is_cut_off()
    }

    fn record_reach(&self, replica: &Replica, result: Result<(), ConnectError>) {
        let now = self.shared.now();
        let (change, lost, cut_off) = {
            let mut reach = self.reach.lock();
            let change = reach.record(&replica.id, result, now);
            (change, reach.lost(), reach.is_cut_off())
        };
        let id = &replica.id;
        match (change, result) {
            (Change::Lost, Err(error)) => {
                warn!("event=reach-lost instance={id} why={} lost={lost} cut_off={cut_off}", error.label());
            }
            (Change::Back, _) => info!("event=reach-back instance={id} lost={lost}"),
            _ => {}
        }
        self.shared.metrics.unreached_servers.set(lost as i64);
    }

    /// Has a peer open a connection to the server, and uses that one.
    async fn connect_by_peer(&self, id: &str, replica: &Replica, window: &RunWindow) -> Option<BackendConnection> {
        let ends_within_ms = u64::try_from(window.needed().as_millis()).unwrap_or(0);
        for (name, address) in self.helpers(id) {
            let open = OpenTunnel {
                instance: replica.id.to_string(),
                run: replica.run_hash(),
                ends_within_ms,
                request: id.to_owned(),
                from: self.shared.settings.name.to_string(),
            };
            let opened = timeout(RELAY_TIMEOUT, self.shared.peer_client.open_tunnel(address, open)).await;
            let result = match &opened {
                Ok(Ok(_)) => TunnelResult::Opened,
                Ok(Err(result)) => *result,
                Err(_) => TunnelResult::Unspecified,
            };
            self.shared.metrics.relayed_connects.with_label_values(&[label(result)]).inc();
            info!("event=relay-asked id={id} instance={} peer={name} result={}", replica.id, label(result));
            match (opened, result) {
                (Ok(Ok(tunnel)), _) => {
                    return self.backend_connections.open_over(tunnel, name, replica.address, &replica.id).await;
                }
                // The peer reaches other servers, so this one is down.
                (_, TunnelResult::Unreached) => return None,
                // It may still carry what ends sooner, or what goes to other servers.
                (_, TunnelResult::Stopping | TunnelResult::Held) => {}
                _ => self.reach.lock().pause_helper(&name, self.shared.now()),
            }
        }
        None
    }

    /// Peers to ask, those that are not being stopped and the nearest first, in an order that differs between requests.
    fn helpers(&self, id: &str) -> Vec<(Arc<str>, SocketAddr)> {
        let (settings, now) = (&self.shared.settings, self.shared.now());
        let view = self.shared.view.lock();
        let reach = self.reach.lock();
        let may_help = |name: &str| reach.may_help(name, now);
        let peers = view.others().filter(|member| member.state == State::Alive && may_help(&member.name));
        let mut peers: Vec<_> = peers.collect();
        peers.sort_by_cached_key(|member| {
            let distance = (view.is_stopping(member), member.zone != settings.zone, member.region != settings.region);
            (distance, stable_hash(&[id.as_bytes(), member.name.as_bytes()]))
        });
        peers.into_iter().take(MAX_HELPERS).map(|member| (member.name.clone(), member.address)).collect()
    }
}

/// Opens a connection to a server for a peer that does not reach it. It is never passed on to a further peer.
///
/// # Errors
/// Says why there is none.
pub(in crate::process) async fn open_for_peer(
    gateway: &Arc<Gateway>,
    shared: &Shared,
    open: &OpenTunnel,
) -> Result<CarriedConnection, TunnelResult> {
    if shared.stage.get() == Stage::Draining && !ends_in_time(shared, open) {
        return Err(TunnelResult::Stopping);
    }
    let replica = shared.replicas.find(&open.instance).filter(|replica| replica.run_hash() == open.run);
    let Some(replica) = replica.filter(|replica| !replica.is_leaving()) else { return Err(TunnelResult::Unknown) };
    if replica.is_held(shared.now()) {
        return Err(TunnelResult::Held);
    }
    {
        let reach = gateway.reach.lock();
        if reach.is_cut_off() || reach.is_lost(&replica.id) {
            return Err(TunnelResult::CutOff);
        }
    }
    let opened = timeout(DIRECT_TIMEOUT, open_socket(replica.address)).await;
    let opened = opened.map_or(Err(ConnectError::Silent), |socket| socket.map_err(|_| ConnectError::Refused));
    gateway.record_reach(&replica, opened.as_ref().map(|_| ()).map_err(|error| *error));
    let socket = opened.map_err(|_| TunnelResult::Unreached)?;
    let observer = Box::new(CarriedObserver::new(gateway.clone(), replica));
    Ok(CarriedConnection { socket, guard: shared.carried.begin(open), observer })
}

/// Whether the request on the connection ends before this daemon, which is being stopped.
fn ends_in_time(shared: &Shared, open: &OpenTunnel) -> bool {
    // Without a limit, a stop that takes new connections might never end.
    let has_limit = shared.lifetime.time_left().is_some();
    has_limit && open.ends_within_ms > 0 && shared.lifetime.allows(Duration::from_millis(open.ends_within_ms))
}

/// Value in metric labels and log lines.
fn label(result: TunnelResult) -> &'static str {
    match result {
        TunnelResult::Opened => "opened",
        TunnelResult::Unreached => "unreached",
        TunnelResult::Unknown => "unknown",
        TunnelResult::CutOff => "cut-off",
        TunnelResult::Busy => "busy",
        TunnelResult::Stopping => "stopping",
        TunnelResult::Held => "held",
        TunnelResult::Unspecified => "no-answer",
    }
}
