//! Connections to backend servers that this daemon carries for peers.

use std::{fmt, sync::Arc, time::Instant};

use log::info;
use parking_lot::Mutex;
use prometheus::IntGauge;
use tokio::net::TcpStream;
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};

use super::{
    carried_exchanges::ResponseObserver,
    tunnel::{Progress, TunnelEnd},
};
use crate::{logs::is_sampled, pb::OpenTunnel};

/// Says whether the daemon is being stopped.
pub(crate) type IsStopping = Arc<dyn Fn() -> bool + Send + Sync>;

/// Counts the connections that are carried, and waits for their end.
#[derive(Clone)]
pub(crate) struct CarriedConnections {
    tracker: TaskTracker,
    /// Whether no more are taken.
    is_closed: Arc<Mutex<bool>>,
    count: IntGauge,
    is_stopping: IsStopping,
}

impl CarriedConnections {
    /// Keeps `count` at the number of connections that are carried.
    pub fn new(count: IntGauge, is_stopping: IsStopping) -> Self {
        Self { tracker: TaskTracker::new(), is_closed: Arc::default(), count, is_stopping }
    }

    /// Counts a connection as carried until the guard is dropped; `None` if no more are taken.
    pub fn begin(&self, open: &OpenTunnel) -> Option<CarriedGuard> {
        let token = {
            let is_closed = self.is_closed.lock();
            if *is_closed {
                return None;
            }
            self.tracker.token()
        };
        self.count.inc();
        let guard = CarriedGuard {
            _token: token,
            count: self.count.clone(),
            is_stopping: self.is_stopping.clone(),
            names: Names::new(open),
            begun: Instant::now(),
            progress: Progress::default(),
            end: None,
        };
        if guard.names.is_sampled || (self.is_stopping)() {
            info!("event=carried-begun {}", guard.names);
        }
        Some(guard)
    }

    /// Number of connections that are carried.
    pub fn count(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until none is carried. From then on none is taken: it would be cut as soon as the daemon has ended.
    pub async fn finish(&self) {
        self.tracker.close();
        loop {
            self.tracker.wait().await;
            let mut is_closed = self.is_closed.lock();
            if self.tracker.is_empty() {
                *is_closed = true;
                return;
            }
        }
    }

    /// Takes no more.
    pub fn close(&self) {
        *self.is_closed.lock() = true;
    }
}

/// Counts a connection as carried until it is dropped, and logs its end then. Every connection is logged that is carried
/// while the daemon is being stopped or that does not end as planned; of the others, those of sampled requests.
pub(crate) struct CarriedGuard {
    _token: TaskTrackerToken,
    count: IntGauge,
    is_stopping: IsStopping,
    names: Names,
    begun: Instant,
    progress: Progress,
    end: Option<TunnelEnd>,
}

impl CarriedGuard {
    /// What has passed through the connection.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Sets what has ended the connection. Without it, the end of the daemon has.
    pub fn set_end(&mut self, end: TunnelEnd) {
        self.end = Some(end);
    }

    fn is_end_logged(&self) -> bool {
        let is_planned = matches!(self.end, Some(TunnelEnd::Server | TunnelEnd::Peer | TunnelEnd::Withdrawn));
        !is_planned || self.names.is_sampled || (self.is_stopping)()
    }
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.count.dec();
        if self.is_end_logged() {
            let (names, end, ms) = (&self.names, self.end.map_or("stop", TunnelEnd::label), self.begun.elapsed());
            let (ms, to_server, to_peer) = (ms.as_millis(), self.progress.received(), self.progress.sent());
            info!("event=carried-ended {names} end={end} ms={ms} to_server={to_server} to_peer={to_peer}");
        }
    }
}

/// What log lines say of a connection: the request for which it was opened, the peer that has the request, and the server.
struct Names {
    request: String,
    peer: String,
    instance: String,
    is_sampled: bool,
}

impl Names {
    fn new(open: &OpenTunnel) -> Self {
        // Peers of earlier versions name neither.
        let or_dash = |name: &str| if name.is_empty() { "-" } else { name }.to_owned();
        let is_sampled = !open.request.is_empty() && is_sampled(&open.request);
        let (request, peer) = (or_dash(&open.request), or_dash(&open.from));
        Self { request, peer, instance: open.instance.clone(), is_sampled }
    }
}

impl fmt::Display for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { request, peer, instance, .. } = self;
        write!(f, "id={request} peer={peer} instance={instance}")
    }
}

/// A connection to a backend server that is carried for a peer.
pub(crate) struct CarriedConnection {
    pub socket: TcpStream,
    pub guard: CarriedGuard,
    pub observer: Box<dyn ResponseObserver>,
}

#[cfg(test)]
#[path = "carried_test.rs"]
mod carried_test;
