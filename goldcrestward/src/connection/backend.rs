//! Reusable connections to backend servers.
//!
//! A connection serves one request at a time. It is released for reuse only after a response that
//! belonged to the request and was read to its end. Data that arrives on an idle connection closes it.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::Builder};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tokio::time::timeout;

use super::{
    client::SendError,
    idle_lifetime::{idle_lifetime, unused_lifetime},
    request_sender::RequestSender,
    socket::open_socket,
    tunnel::{Progress, Tunnel},
};

/// Time for which no idle connection is kept by way of a peer that is being stopped.
const AVOID_TIME: Duration = Duration::from_secs(15);

type Sender = RequestSender<Full<Bytes>>;
/// An address and the instance that was found there.
type Key = (SocketAddr, Arc<str>);

/// The way of a connection that a peer carries.
struct Via {
    peer: Arc<str>,
    /// What has passed through its tunnel.
    progress: Arc<Progress>,
}

struct IdleConnection {
    sender: Sender,
    /// The peer by way of which it goes; `None` if it is direct.
    via: Option<Via>,
    /// Whether a request has been sent on it.
    used: bool,
    since: Instant,
    expires: Instant,
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The server, or a host on the way, refused it.
    Refused,
    /// Nothing answered in time.
    Silent,
}

impl ConnectError {
    /// What an error says: only a refusal or a reset comes from whoever answers at the address.
    pub fn of(error: &io::Error) -> Self {
        let is_answer = matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset);
        if is_answer { Self::Refused } else { Self::Silent }
    }

    /// Value in metric labels and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Idle connections to backend servers, by address and the instance that was found there.
#[derive(Clone)]
pub(crate) struct BackendConnections {
    idle: Arc<Mutex<HashMap<Key, Vec<IdleConnection>>>>,
    /// Peers that are being stopped, until when no connection by way of them is kept.
    avoided: Arc<Mutex<HashMap<Arc<str>, Instant>>>,
    /// Connections that were to be opened, by result.
    connects: IntCounterVec,
}

impl BackendConnections {
    /// Creates a pool without connections; `connects` counts those that are to be opened, by result.
    pub fn new(connects: IntCounterVec) -> Self {
        Self { idle: Arc::default(), avoided: Arc::default(), connects }
    }

    /// Takes an idle connection to the instance. Without `relayed`, only a direct one; those by way of a peer are
    /// closed.
    pub fn take(&self, address: SocketAddr, instance: &Arc<str>, relayed: bool) -> Option<BackendConnection> {
        let key = (address, instance.clone());
        let idle = self.take_idle(&key, relayed)?;
        let IdleConnection { sender, via, used, since, .. } = idle;
        let idle_time = Some(since.elapsed());
        Some(BackendConnection { sender, key, via, used, idle_time, connections: self.clone() })
    }

    /// Opens a connection to the instance.
    ///
    /// # Errors
    /// Fails when it cannot be opened in time; nothing has been sent then.
    pub async fn open(
        &self,
        address: SocketAddr,
        instance: &Arc<str>,
        limit: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        let open = async {
            let socket = open_socket(address).await.map_err(|error| ConnectError::of(&error))?;
            Sender::new(socket, Builder::new()).await.ok_or(ConnectError::Refused)
        };
        let opened = timeout(limit, open).await.unwrap_or(Err(ConnectError::Silent));
        let result = opened.as_ref().map_or_else(|error| error.label(), |_| "opened");
        self.connects.with_label_values(&[result]).inc();
        let key = (address, instance.clone());
        opened.map(|sender| BackendConnection {
            sender,
            key,
            via: None,
            used: false,
            idle_time: None,
            connections: self.clone(),
        })
    }

    /// Uses a connection to the instance that a peer has opened.
    pub async fn open_over(
        &self,
        tunnel: Tunnel,
        peer: Arc<str>,
        address: SocketAddr,
        instance: &Arc<str>,
    ) -> Option<BackendConnection> {
        let via = Some(Via { peer, progress: tunnel.progress() });
        let sender = Sender::new(tunnel, Builder::new()).await?;
        let key = (address, instance.clone());
        Some(BackendConnection { sender, key, via, used: false, idle_time: None, connections: self.clone() })
    }

    /// Closes direct idle connections to an instance.
    pub fn close_idle(&self, address: SocketAddr, instance: &Arc<str>) {
        if let Some(idle) = self.idle.lock().get_mut(&(address, instance.clone())) {
            idle.retain(|connection| connection.via.is_some());
        }
    }

    /// Closes all idle connections to an instance, also those by way of a peer.
    pub fn close_all_idle(&self, address: SocketAddr, instance: &Arc<str>) {
        self.idle.lock().remove(&(address, instance.clone()));
    }

    /// Closes idle connections by way of a peer that is being stopped, and keeps none for a time.
    pub fn avoid_peer(&self, peer: &Arc<str>) {
        let now = Instant::now();
        {
            let mut avoided = self.avoided.lock();
            avoided.retain(|_, until| *until > now);
            avoided.insert(peer.clone(), now + AVOID_TIME);
        }
        self.close_idle_via(peer);
    }

    /// Closes idle connections by way of a peer.
    pub fn close_idle_via(&self, peer: &Arc<str>) {
        for idle in self.idle.lock().values_mut() {
            idle.retain(|connection| connection.via.as_ref().is_none_or(|via| via.peer != *peer));
        }
    }

    fn is_avoided(&self, peer: &str) -> bool {
        self.avoided.lock().get(peer).is_some_and(|until| *until > Instant::now())
    }

    /// Closes idle connections that have expired or whose instance does not satisfy `is_used`.
    pub fn evict(&self, is_used: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.lock().retain(|(_, instance), idle| {
            idle.retain(|connection| connection.expires > now && !connection.sender.is_closed());
            !idle.is_empty() && is_used(instance)
        });
    }

    fn take_idle(&self, key: &Key, relayed: bool) -> Option<IdleConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(key)?;
        let now = Instant::now();
        connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        if !relayed {
            connections.retain(|connection| connection.via.is_none());
        }
        let index = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(index))
    }
}

/// A connection in exclusive use by one request; dropping it closes it.
pub(crate) struct BackendConnection {
    sender: Sender,
    key: Key,
    via: Option<Via>,
    used: bool,
    /// For how long it was idle before it was taken; `None` if it is new.
    idle_time: Option<Duration>,
    connections: BackendConnections,
}

impl BackendConnection {
    /// Sends a request.
    ///
    /// # Errors
    /// Says whether the server may have received the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.used = true;
        let Some(Via { progress, .. }) = &self.via else {
            return self.sender.send(request).await.map_err(|(error, _)| error);
        };
        let before = progress.written();
        let sent = self.sender.send(request).await;
        sent.map_err(|(error, _)| if progress.is_unsent_after(before) { SendError::NotSent } else { error })
    }

    /// Releases the connection for reuse, if the response head allows it.
    pub fn release(self, head: &HeaderMap) {
        if let Some(lifetime) = idle_lifetime(head) {
            self.keep_for(lifetime);
        }
    }

    /// Keeps a new connection for the next request. One by way of a peer is closed, as it was opened with the time of the
    /// request that has not used it.
    pub fn keep(self) {
        if self.via.is_none() {
            self.keep_for(unused_lifetime());
        }
    }

    /// Whether no request has been sent on it, so that the first response on it is that of the next request.
    pub fn is_unused(&self) -> bool {
        !self.used
    }

    /// Whether it was idle before it was taken, so that the server may have closed it meanwhile.
    pub fn was_idle(&self) -> bool {
        self.idle_time.is_some()
    }

    /// The peer by way of which it goes; `None` if it is direct.
    pub fn via(&self) -> Option<&Arc<str>> {
        self.via.as_ref().map(|via| &via.peer)
    }

    /// What log lines say of the connection.
    pub fn label(&self) -> String {
        let idle_ms = self.idle_time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string());
        format!("via={} idle_ms={idle_ms}", self.via().map_or("-", |peer| peer))
    }

    fn keep_for(self, lifetime: Duration) {
        let Self { sender, key, via, used, connections, .. } = self;
        if via.as_ref().is_some_and(|via| connections.is_avoided(&via.peer)) {
            return;
        }
        let since = Instant::now();
        let idle = IdleConnection { sender, via, used, since, expires: since + lifetime };
        connections.idle.lock().entry(key).or_default().push(idle);
    }
}
