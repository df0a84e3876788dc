//! Load of a backend server, as daemons and the server itself report it.

use std::{collections::HashMap, sync::Arc};

use super::digest_timing::peer_timeout_ms;
use crate::{port::Load, util::derive_value_traits};

/// Time for which a report of the server is valid.
const SERVER_REPORT_TTL_MS: u64 = 300;

derive_value_traits! {
    /// Load of one daemon at a server.
    pub(crate) struct PeerLoad {
        /// Requests in flight.
        pub running: u32,
        /// Time to prefill the prompts that have not been prefilled, in ms.
        pub prefill_ms: f64,
    }
}

/// Load of a server as others report it, without this daemon's own.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    peers: HashMap<Arc<str>, (PeerLoad, u64)>,
    server_report: Option<(Load, u64)>,
}

impl LoadTracker {
    /// Replaces what another daemon has reported; `None` if it has no load at the server.
    pub fn apply_peer_report(&mut self, daemon: &Arc<str>, load: Option<PeerLoad>, now: u64) {
        match load {
            Some(load) => self.peers.insert(daemon.clone(), (load, now)),
            None => self.peers.remove(daemon),
        };
    }

    /// Replaces what the server has reported.
    pub fn apply_server_report(&mut self, load: Load, now: u64) {
        self.server_report = Some((load, now));
    }

    /// Sum of the daemons' loads, including this one's `own`. The server's report replaces the sum of running
    /// requests where it is higher. `daemons` is the number of daemons in the site.
    pub fn total(&self, own: &PeerLoad, daemons: usize, now: u64) -> PeerLoad {
        let fresh = self.peers.values().filter(|(_, at)| now.saturating_sub(*at) < peer_timeout_ms(daemons));
        let sum = fresh.fold(own.clone(), |sum, (load, _)| PeerLoad {
            running: sum.running + load.running,
            prefill_ms: sum.prefill_ms + load.prefill_ms,
        });
        let reported = self.server_report.filter(|(_, at)| now.saturating_sub(*at) < SERVER_REPORT_TTL_MS);
        let running = reported.map_or(0, |(load, _)| load.running + load.waiting).max(sum.running);
        PeerLoad { running, ..sum }
    }
}

#[cfg(test)]
#[path = "loads_test.rs"]
mod loads_test;
