//! Looks for a path to a server that nobody reaches, so that no request has to.

use std::{sync::Arc, time::Duration};

use log::info;
use tokio::time::{sleep, timeout};

use super::connect::{PROBE_TIMEOUT, SEARCH_TIMEOUT};
use crate::process::{Gateway, replicas::Replica};

/// Pause between two attempts; it doubles up to the maximum.
const PAUSE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1_600));
/// What log lines and peers have in place of the id of a request.
const NO_REQUEST: &str = "-";

impl Gateway {
    /// Leaves a server out until a path to it is found in the background.
    pub fn seek_path(self: &Arc<Self>, replica: &Arc<Replica>) {
        if !replica.begin_search() {
            return;
        }
        let (gateway, replica) = (self.clone(), replica.clone());
        tokio::spawn(async move {
            let (id, begun) = (&replica.id, gateway.shared.now());
            info!("event=path-sought instance={id}");
            let mut pause = PAUSE.0;
            let mut found = false;
            while !found && !replica.is_leaving() && gateway.shared.replicas.is_used(id) {
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
                found = gateway.find_path(&replica).await;
            }
            replica.end_search();
            info!("event=path-sought-end instance={id} found={found} ms={}", gateway.shared.now() - begun);
        });
    }

    async fn find_path(self: &Arc<Self>, replica: &Arc<Replica>) -> bool {
        let opened = self.backend_connections.open(replica.address, &replica.id, PROBE_TIMEOUT).await;
        self.record_reach(replica, opened.as_ref().map(|_| ()).map_err(|error| *error));
        let opened = match opened {
            Ok(connection) => Some(connection),
            Err(_) => {
                // Requests go first.
                let Ok(_permit) = self.tunnel_searches.try_acquire() else { return false };
                let search = self.connect_by_peer(NO_REQUEST, replica, Duration::ZERO, false);
                timeout(SEARCH_TIMEOUT, search).await.ok().and_then(Result::ok)
            }
        };
        opened.map(|connection| connection.keep()).is_some()
    }
}
