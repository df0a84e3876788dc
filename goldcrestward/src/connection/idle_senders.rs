//! Idle connections of the HTTP client.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use volo_http::body::Body;

use super::request_sender::RequestSender;

/// Most idle connections kept per host.
const MAX_PER_HOST: usize = 64;
/// Interval between searches for connections that have expired.
const SWEEP_INTERVAL: Duration = Duration::from_secs(15);

struct IdleSender {
    sender: RequestSender<Body>,
    expires: Instant,
}

#[derive(Default)]
struct Hosts {
    idle: HashMap<SocketAddr, Vec<IdleSender>>,
    swept: Option<Instant>,
}

/// Idle connections by address, each of which has had its last response read to the end.
#[derive(Clone, Default)]
pub(super) struct IdleSenders(Arc<Mutex<Hosts>>);

impl IdleSenders {
    /// Takes the connection that was used last.
    pub fn take(&self, address: SocketAddr) -> Option<RequestSender<Body>> {
        let now = Instant::now();
        let mut hosts = self.0.lock();
        let idle = hosts.idle.get_mut(&address)?;
        while let Some(IdleSender { sender, expires }) = idle.pop() {
            if expires > now && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    #[cfg(test)]
    pub fn is_empty(&self, address: SocketAddr) -> bool {
        self.0.lock().idle.get(&address).is_none_or(Vec::is_empty)
    }

    /// Keeps a connection for a time whose last response has been read to the end.
    pub fn put(&self, address: SocketAddr, sender: RequestSender<Body>, lifetime: Duration) {
        let now = Instant::now();
        let mut hosts = self.0.lock();
        if hosts.swept.is_none_or(|swept| now >= swept + SWEEP_INTERVAL) {
            hosts.swept = Some(now);
            hosts.idle.retain(|_, idle| {
                idle.retain(|idle| idle.expires > now && !idle.sender.is_closed());
                !idle.is_empty()
            });
        }
        let idle = hosts.idle.entry(address).or_default();
        if idle.len() < MAX_PER_HOST {
            idle.push(IdleSender { sender, expires: now + lifetime });
        }
    }
}
