//! Kept connections to backend servers.
//!
//! A connection is used by one request at a time and comes back only after an answer that was read
//! to its end and belonged to the request. What arrives on an idle connection closes it.

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
use tokio::{net::TcpStream, time::timeout};

use super::client::SendError;

/// Time allowed for opening a connection; a live server takes a way and a handshake of some ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an idle connection is closed if the server does not state one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time by which a connection is given up before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;
/// An address and the instance that was met there.
type Key = (SocketAddr, Arc<str>);

struct Idle {
    sender: Sender,
    until: Instant,
}

/// The idle connections to backend servers, by address and the instance that was met there.
#[derive(Clone, Default)]
pub(crate) struct BackendConnections {
    idle: Arc<Mutex<HashMap<Key, Vec<Idle>>>>,
}

impl BackendConnections {
    /// An idle connection to the instance, or a new one.
    ///
    /// # Errors
    /// Fails when no connection can be opened in time; then nothing was sent.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        instance: &Arc<str>,
        limit: Duration,
    ) -> Option<BackendConnection> {
        let key = (address, instance.clone());
        if let Some(sender) = self.take(&key) {
            return Some(BackendConnection { sender, key, links: self.clone() });
        }
        let sender = timeout(limit.min(CONNECT_TIMEOUT), connect(address)).await.ok().flatten()?;
        Some(BackendConnection { sender, key, links: self.clone() })
    }

    /// Closes idle connections whose time is over, and those to instances that `keep` does not name.
    pub fn evict(&self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.lock().retain(|(_, instance), idle| {
            idle.retain(|link| link.until > now && !link.sender.is_closed());
            !idle.is_empty() && keep(instance)
        });
    }

    fn take(&self, key: &Key) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let links = idle.get_mut(key)?;
        links.retain(|link| link.until > now && !link.sender.is_closed());
        let at = links.iter().rposition(|link| link.sender.is_ready())?;
        Some(links.remove(at).sender)
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // A server that loses power or its network answers nothing; without the limit writes would hang.
    rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED.as_millis() as u32).ok();
    let builder = Builder::new().max_buf_size(HEAD_BYTES).to_owned();
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    // Errors of the connection reach the request on it.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

/// A connection that one request has to itself; dropping it closes it.
pub(crate) struct BackendConnection {
    sender: Sender,
    key: Key,
    links: BackendConnections,
}

impl BackendConnection {
    /// Sends a request.
    ///
    /// # Errors
    /// Tells whether the server can have seen the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                Err(if error.take_message().is_some() { SendError::NotSent } else { SendError::MaybeSent })
            }
        }
    }

    /// Keeps the connection for other requests, as far as the answer's head allows it.
    pub fn release(self, head: &HeaderMap) {
        let has = |name, token: &str| {
            let values = head.get_all(name).iter().filter_map(|v| v.to_str().ok());
            values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(token))
        };
        if has(header::CONNECTION, "close") {
            return;
        }
        let stated = head.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(stated_timeout);
        let Some(time) = stated.unwrap_or(IDLE_TIMEOUT).checked_sub(IDLE_MARGIN) else { return };
        let idle = Idle { sender: self.sender, until: Instant::now() + time };
        self.links.idle.lock().entry(self.key).or_default().push(idle);
    }
}

/// The time-out in a `Keep-Alive` header.
fn stated_timeout(value: &str) -> Option<Duration> {
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
