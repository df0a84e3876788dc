//! Opens connections to backend servers, directly or by way of a peer.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::FutureExt;
use log::{info, warn};
use tokio::time::timeout;

use super::{
    carried_observer::CarriedObserver,
    helpers::Search,
    probes::Outcome,
    table::{Change, Path},
};
use crate::{
    connection::{BackendConnection, CarriedConnection, ConnectError, open_socket},
    pb::{OpenTunnel, TunnelResult},
    process::{Gateway, WorkTime, lifecycle::Stage, membership::State, replicas::Replica, shared::Shared},
    request::RunWindow,
    util::stable_hash,
};

/// Time for a direct connection before a peer is asked; a live server needs a round trip and a handshake.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for a peer to open a connection, the way there and its own attempt included.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of an attempt to reach a lost server again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a search among the peers.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Peers that are asked for one connection.
const MAX_HELPERS: usize = 8;
/// Peers that were refused a connection after which no other is asked.
const MIN_REFUSALS: usize = 2;
/// Searches among the peers at once; further ones wait.
pub(in crate::process) const MAX_SEARCHES: usize = 32;

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
            (reach.path(&replica.id, self.shared.now()), reach.has_no_path(&replica.id))
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
            Path::RelayAndProbe => drop(self.probe(replica)),
        }
        let error = {
            let Ok(Ok(_permit)) = timeout(limit, self.tunnel_searches.acquire()).await else { return Err(failure) };
            let limit = window.time_left().min(SEARCH_TIMEOUT);
            match timeout(limit, self.connect_by_peer(id, replica, window)).await {
                Ok(Ok(relayed)) => return Ok(relayed),
                Ok(Err(error)) => error,
                Err(_) => ConnectError::Silent,
            }
        };
        if path != Path::Direct
            && error == ConnectError::Silent
            && let Some(connection) = self.connect_again(id, replica, window).await
        {
            return Ok(connection);
        }
        Err(if failure == ConnectError::Refused { failure } else { error })
    }

    /// Connects directly to a server that has counted as unreached, if it is reached again: a peer that has carried the
    /// connections to it may just have gone.
    async fn connect_again(
        self: &Arc<Self>,
        id: &str,
        replica: &Arc<Replica>,
        window: &RunWindow,
    ) -> Option<BackendConnection> {
        let probed = timeout(window.time_left().min(DIRECT_TIMEOUT), self.probe(replica)).await;
        let is_reached = probed.unwrap_or(false);
        info!("event=direct-retried id={id} instance={} reached={is_reached}", replica.id);
        if !is_reached {
            return None;
        }
        let connections = &self.backend_connections;
        if let Some(idle) = connections.take(replica.address, &replica.id, false) {
            return Some(idle);
        }
        let limit = window.time_left().min(DIRECT_TIMEOUT);
        let opened = connections.open(replica.address, &replica.id, limit).await;
        self.record_reach(replica, opened.as_ref().map(|_| ()).map_err(|error| *error));
        opened.ok()
    }

    /// Records a response to a request that was sent on this connection.
    pub fn record_path_answer(&self, replica: &Replica, via: Option<&Arc<str>>) {
        if let Some(peer) = via {
            return self.helpers.lock().record_answer(peer);
        }
        let now = self.shared.now();
        let change = self.reach.lock().record_answer(&replica.id, now);
        self.apply_reach_change(replica, change, None);
    }

    /// Records that a request sent at `sent_at` waits for a response on this connection, and looks whether the path has
    /// failed.
    pub fn suspect_path(self: &Arc<Self>, replica: &Arc<Replica>, via: Option<&Arc<str>>, sent_at: u64) {
        let now = self.shared.now();
        if replica.has_answered_since(sent_at) {
            return;
        }
        match via {
            Some(peer) => self.helpers.lock().record_silence(peer, now),
            None => {
                let is_due = self.reach.lock().record_silence(&replica.id, now);
                if is_due {
                    drop(self.probe(replica));
                }
            }
        }
    }

    /// Whether this daemon's path to a server has failed, so that failures on it say nothing about the server.
    pub fn has_no_path(&self, replica: &Replica, via: Option<&Arc<str>>) -> bool {
        let (reach, now) = (self.reach.lock(), self.shared.now());
        reach.is_cut_off(now) || (via.is_none() && reach.has_no_path(&replica.id))
    }

    /// Whether this daemon's own link to a server has failed, whatever the connection of a request.
    pub fn has_lost_link(&self, replica: &Replica) -> bool {
        self.reach.lock().has_no_path(&replica.id)
    }

    /// Whether a peer is being stopped or gone, so that the end of what it carried says nothing about servers.
    pub fn has_left(&self, peer: &str) -> bool {
        let view = self.shared.view.lock();
        let member = view.others().find(|member| &*member.name == peer);
        member.is_none_or(|member| member.state != State::Alive || view.is_stopping(member))
    }

    /// Checks in the background whether a server can be reached directly, unless that has just been done.
    fn probe(self: &Arc<Self>, replica: &Arc<Replica>) -> Outcome {
        let probe = || {
            let (gateway, replica) = (self.clone(), replica.clone());
            let probe = async move {
                let opened = gateway.backend_connections.open(replica.address, &replica.id, PROBE_TIMEOUT).await;
                let result = opened.as_ref().map(|_| ()).map_err(|error| *error);
                gateway.record_reach(&replica, result);
                if let Ok(connection) = opened {
                    connection.keep();
                }
                result.is_ok()
            };
            probe.boxed()
        };
        let (outcome, new) = self.probes.lock().join(&replica.id, self.shared.now(), probe);
        if let Some(new) = new {
            tokio::spawn(new);
        }
        outcome
    }

    fn record_reach(&self, replica: &Replica, result: Result<(), ConnectError>) {
        let change = self.reach.lock().record(&replica.id, result, self.shared.now());
        self.apply_reach_change(replica, change, result.err());
    }

    fn apply_reach_change(&self, replica: &Replica, change: Change, error: Option<ConnectError>) {
        if change == Change::None {
            return;
        }
        let (lost, cut_off) = {
            let reach = self.reach.lock();
            (reach.lost(), reach.is_cut_off(self.shared.now()))
        };
        let id = &replica.id;
        replica.set_unreached(change == Change::Lost);
        match error.filter(|_| change == Change::Lost) {
            Some(error) => warn!("event=reach-lost instance={id} why={} lost={lost} cut_off={cut_off}", error.label()),
            None => info!("event=reach-back instance={id} lost={lost}"),
        }
        self.shared.metrics.unreached_servers.set(lost as i64);
    }

    /// Has a peer open a connection to the server, and uses that one.
    ///
    /// # Errors
    /// Says whether the server refuses connections, or no peer that was asked reaches it.
    async fn connect_by_peer(
        &self,
        id: &str,
        replica: &Replica,
        window: &RunWindow,
    ) -> Result<BackendConnection, ConnectError> {
        let work = window.work_time();
        let (peers, left_out) = self.peers_to_ask(replica);
        let (mut asked, mut refused) = (0, 0);
        for (name, address) in peers.into_iter().take(MAX_HELPERS) {
            // Another search may have found out meanwhile.
            if !self.helpers.lock().may_help(&name, &replica.id, self.shared.now()) {
                continue;
            }
            asked += 1;
            let open = OpenTunnel {
                instance: replica.id.to_string(),
                run: replica.run_hash(),
                ends_within_ms: work_ms(work.expected),
                request: id.to_owned(),
                from: self.shared.settings.name.to_string(),
                at_most_ms: work.at_most.map_or(0, work_ms),
            };
            let asked_at = self.shared.now();
            let opened = timeout(RELAY_TIMEOUT, self.shared.peer_client.open_tunnel(address, open)).await;
            let result = match &opened {
                Ok(Ok(_)) => TunnelResult::Opened,
                Ok(Err(result)) => *result,
                Err(_) => TunnelResult::Unspecified,
            };
            self.shared.metrics.relayed_connects.with_label_values(&[label(result)]).inc();
            info!("event=relay-asked id={id} instance={} peer={name} result={}", replica.id, label(result));
            let search = self.helpers.lock().record(&name, &replica.id, result, asked_at, self.shared.now());
            match (opened, search) {
                (Ok(Ok(tunnel)), _) => {
                    let connection = self.backend_connections.open_over(tunnel, name, replica.address, &replica.id);
                    return connection.await.ok_or(ConnectError::Silent);
                }
                (_, Search::Refused) => {
                    refused += 1;
                    // One peer alone may be mistaken.
                    if refused >= MIN_REFUSALS {
                        return Err(ConnectError::Refused);
                    }
                }
                (_, Search::Found | Search::GoOn) => {}
            }
        }
        info!("event=relay-not-found id={id} instance={} asked={asked} left_out={left_out}", replica.id);
        Err(ConnectError::Silent)
    }

    /// Peers to ask, those that are not being stopped and the nearest first, and the number of those left out as they
    /// could not help lately. The order differs between daemons and servers, so that the load is spread and a peer that
    /// reaches the server is asked again.
    fn peers_to_ask(&self, replica: &Replica) -> (Vec<(Arc<str>, SocketAddr)>, usize) {
        let (settings, now) = (&self.shared.settings, self.shared.now());
        let view = self.shared.view.lock();
        let alive: Vec<_> = view.others().filter(|member| member.state == State::Alive).collect();
        let count = alive.len();
        let helpers = self.helpers.lock();
        let may_help = |name: &str| helpers.may_help(name, &replica.id, now);
        let mut peers: Vec<_> = alive.into_iter().filter(|member| may_help(&member.name)).collect();
        peers.sort_by_cached_key(|member| {
            let is_last = view.is_stopping(member) || helpers.is_doubted(&member.name, now);
            let distance = (is_last, member.zone != settings.zone, member.region != settings.region);
            (distance, stable_hash(&[settings.name.as_bytes(), replica.id.as_bytes(), member.name.as_bytes()]))
        });
        let left_out = count - peers.len();
        (peers.into_iter().map(|member| (member.name.clone(), member.address)).collect(), left_out)
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
    let work = stated_work(open);
    if shared.stage.get() == Stage::Draining && !ends_in_time(shared, work) {
        return Err(TunnelResult::Stopping);
    }
    let replica = shared.replicas.find(&open.instance).filter(|replica| replica.run_hash() == open.run);
    let Some(replica) = replica.filter(|replica| !replica.is_leaving()) else { return Err(TunnelResult::Unknown) };
    if replica.is_held(shared.now()) {
        return Err(TunnelResult::Held);
    }
    // While the link counts as lost, some attempts for peers find out whether it has come back.
    if gateway.reach.lock().path(&replica.id, shared.now()) == Path::Relay {
        return Err(TunnelResult::CutOff);
    }
    let opened = timeout(DIRECT_TIMEOUT, open_socket(replica.address)).await;
    let opened =
        opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|error| ConnectError::of(&error));
    gateway.record_reach(&replica, opened.as_ref().map(|_| ()).map_err(|error| *error));
    // Silence is that of this daemon's path, and another may reach the server.
    let socket = opened.map_err(|error| match error {
        ConnectError::Refused => TunnelResult::Unreached,
        ConnectError::Silent => TunnelResult::CutOff,
    })?;
    let observer = Box::new(CarriedObserver::new(gateway.clone(), replica, work));
    let guard = shared.carried.begin(open).ok_or(TunnelResult::Stopping)?;
    Ok(CarriedConnection { socket, guard, observer })
}

/// How long the first request on the connection takes; `None` if the peer does not say.
fn stated_work(open: &OpenTunnel) -> Option<WorkTime> {
    let time = |ms: u64| (ms > 0).then(|| Duration::from_millis(ms));
    Some(WorkTime { expected: time(open.ends_within_ms)?, at_most: time(open.at_most_ms) })
}

/// Whether work ends before this daemon, which is being stopped.
fn ends_in_time(shared: &Shared, work: Option<WorkTime>) -> bool {
    // Without a limit, a stop that takes new connections might never end.
    let has_limit = shared.lifetime.time_left().is_some();
    has_limit && work.is_some_and(|work| shared.lifetime.allows(work))
}

/// A time in a message, in whole ms and not shorter than it is.
fn work_ms(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
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

#[cfg(test)]
#[path = "connect_test.rs"]
mod connect_test;
