//! Connections to backend servers that this daemon carries for peers.

use prometheus::IntGauge;
use tokio::net::TcpStream;
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};

/// Counts the connections that are carried, and waits for their end.
#[derive(Clone)]
pub(crate) struct CarriedConnections {
    tracker: TaskTracker,
    count: IntGauge,
}

impl CarriedConnections {
    /// Keeps `count` at the number of connections that are carried.
    pub fn new(count: IntGauge) -> Self {
        Self { tracker: TaskTracker::new(), count }
    }

    /// Counts a connection as carried until the guard is dropped.
    pub fn begin(&self) -> CarriedGuard {
        self.count.inc();
        CarriedGuard { _token: self.tracker.token(), count: self.count.clone() }
    }

    /// Number of connections that are carried.
    pub fn count(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until none is carried.
    pub async fn finish(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}

/// Counts a connection as carried until it is dropped.
pub(crate) struct CarriedGuard {
    _token: TaskTrackerToken,
    count: IntGauge,
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.count.dec();
    }
}

/// A connection to a backend server that is carried for a peer.
pub(crate) struct CarriedConnection {
    pub socket: TcpStream,
    pub guard: CarriedGuard,
}
