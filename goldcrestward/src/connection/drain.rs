//! Stops listeners without an interruption of requests.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::running_requests::RunningRequests;

/// Time for the request that follows an answer to arrive.
pub(super) const NEXT_REQUEST_TIME: Duration = Duration::from_millis(200);

/// How far a listener has been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Open,
    /// Requests that come are served, and their answers end their connections. So does a long idle time.
    Draining,
    /// No connection is accepted, and each one ends with the request that is running, or at once if it is idle.
    Ending,
}

/// Stops listeners and waits for their connections to end.
#[derive(Clone)]
pub(crate) struct Drain {
    pub(super) stop: Arc<watch::Sender<Stage>>,
    pub(super) connections: TaskTracker,
    /// The requests that began before the stop.
    pub(super) running: RunningRequests,
}

impl Drain {
    pub fn new() -> Self {
        let stop = Arc::new(watch::channel(Stage::Open).0);
        Self { stop, connections: TaskTracker::new(), running: RunningRequests::default() }
    }

    /// Takes new requests as long as those that came before the stop are running, or until `end`, then closes the listeners
    /// and the idle connections, and waits for the other ones to complete their requests.
    pub async fn finish(&self, end: impl Future<Output = ()>) {
        self.stop.send_replace(Stage::Draining);
        tokio::select! {
            biased;
            () = end => {}
            () = self.running.none_for(NEXT_REQUEST_TIME) => {}
        }
        self.stop.send_replace(Stage::Ending);
        self.connections.close();
        self.connections.wait().await;
    }
}
