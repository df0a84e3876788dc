//! Counts the running requests of the connections that a stop waits for.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};

/// The number of running requests, shared by the connections of a listener.
#[derive(Clone, Default)]
pub(super) struct RunningRequests(Arc<watch::Sender<usize>>);

impl RunningRequests {
    /// Counts a request as running until the guard is dropped.
    pub fn begin(&self) -> RunningRequest {
        self.0.send_modify(|count| *count += 1);
        RunningRequest(self.clone())
    }

    /// Waits until no request has been running for some time.
    pub async fn none_for(&self, time: Duration) {
        let mut count = self.0.subscribe();
        loop {
            // The sender lives as long as `self`.
            count.wait_for(|count| *count == 0).await.ok();
            tokio::select! {
                _ = count.changed() => {}
                () = sleep(time) => return,
            }
        }
    }
}

/// A running request.
pub(super) struct RunningRequest(RunningRequests);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
