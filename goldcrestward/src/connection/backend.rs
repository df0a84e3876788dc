//! Reusable connections to backend servers.
//!
//! A connection serves one request at a time. It is released for reuse only after a response that
//! belonged to the request and was read to its end. Data that arrives on an idle connection closes it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tokio::{net::TcpStream, time::timeout};

use super::client::SendError;

/// Time limit for opening a connection; a live server needs a few ms for the round trip and handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an idle connection is closed if the server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time by which a connection is retired before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after which a connection whose sent bytes are not acknowledged is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;
/// An address and the instance that was found there.
type Key = (SocketAddr, Arc<str>);

struct IdleConnection {
    sender: Sender,
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
    /// Connections that were to be opened, by result.
    connects: IntCounterVec,
}

impl BackendConnections {
    /// Creates a pool without connections; `connects` counts those that are to be opened, by result.
    pub fn new(connects: IntCounterVec) -> Self {
        Self { idle: Arc::default(), connects }
    }

    /// Returns an idle connection to the instance, or opens one.
    ///
    /// # Errors
    /// Fails when no connection can be opened in time; nothing has been sent then.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        instance: &Arc<str>,
        limit: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        let key = (address, instance.clone());
        if let Some(sender) = self.take_idle(&key) {
            return Ok(BackendConnection { sender, key, connections: self.clone() });
        }
        let opened = timeout(limit.min(CONNECT_TIMEOUT), connect(address)).await;
        let opened = opened.map_or(Err(ConnectError::Silent), |sender| sender.ok_or(ConnectError::Refused));
        let result = opened.as_ref().map_or_else(|error| error.label(), |_| "opened");
        self.connects.with_label_values(&[result]).inc();
        opened.map(|sender| BackendConnection { sender, key, connections: self.clone() })
    }

    /// Closes idle connections that have expired or whose instance does not satisfy `is_known`.
    pub fn evict(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.lock().retain(|(_, instance), idle| {
            idle.retain(|connection| connection.expires > now && !connection.sender.is_closed());
            !idle.is_empty() && is_known(instance)
        });
    }

    fn take_idle(&self, key: &Key) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(key)?;
        connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        let index = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(index).sender)
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // A server that loses power or its network does not respond at all; without this time-out writes would hang.
    rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT.as_millis() as u32).ok();
    let builder = Builder::new().max_buf_size(MAX_HEAD_BYTES).to_owned();
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    // Errors of the connection are returned to the request that uses it.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

/// A connection in exclusive use by one request; dropping it closes it.
pub(crate) struct BackendConnection {
    sender: Sender,
    key: Key,
    connections: BackendConnections,
}

impl BackendConnection {
    /// Sends a request.
    ///
    /// # Errors
    /// Says whether the server may have received the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                Err(if error.take_message().is_some() { SendError::NotSent } else { SendError::MaybeSent })
            }
        }
    }

    /// Releases the connection for reuse, if the response head allows it.
    pub fn release(self, head: &HeaderMap) {
        let has_token = |name, token: &str| {
            let values = head.get_all(name).iter().filter_map(|v| v.to_str().ok());
            values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(token))
        };
        if has_token(header::CONNECTION, "close") {
            return;
        }
        let stated = head.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(stated_timeout);
        let Some(lifetime) = stated.unwrap_or(IDLE_TIMEOUT).checked_sub(IDLE_MARGIN) else { return };
        let idle = IdleConnection { sender: self.sender, expires: Instant::now() + lifetime };
        self.connections.idle.lock().entry(self.key).or_default().push(idle);
    }
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn stated_timeout(value: &str) -> Option<Duration> {
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
