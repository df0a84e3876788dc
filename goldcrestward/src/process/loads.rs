//! What daemons tell each other of the work in front of a backend server, and what it says itself.

use std::{collections::HashMap, sync::Arc};

use super::digest_timing::peer_timeout_ms;
use crate::{port::Load, util::value};

/// Time for which the server's own word counts, in ms.
const REPORT_MEMORY_MS: u64 = 300;

value! {
    /// Work of one daemon at a server.
    pub(crate) struct PeerLoad {
        /// Requests in flight.
        pub running: u32,
        /// Time to read the prompts that have not been read, in ms.
        pub prefill_ms: f64,
    }
}

/// The work in front of a server, apart from this daemon's own.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    peers: HashMap<Arc<str>, (PeerLoad, u64)>,
    report: Option<(Load, u64)>,
}

impl LoadTracker {
    /// Takes in another daemon's work; `None` if it has none.
    pub fn apply_peer_report(&mut self, daemon: &Arc<str>, load: Option<PeerLoad>, now: u64) {
        match load {
            Some(load) => self.peers.insert(daemon.clone(), (load, now)),
            None => self.peers.remove(daemon),
        };
    }

    /// Takes in what the server says.
    pub fn apply_server_report(&mut self, load: Load, now: u64) {
        self.report = Some((load, now));
    }

    /// The work of all `daemons` with this one's `own`; the server's word counts where it tells of more.
    pub fn total(&self, own: &PeerLoad, daemons: usize, now: u64) -> PeerLoad {
        let fresh = self.peers.values().filter(|(_, at)| now.saturating_sub(*at) < peer_timeout_ms(daemons));
        let sum = fresh.fold(own.clone(), |sum, (load, _)| PeerLoad {
            running: sum.running + load.running,
            prefill_ms: sum.prefill_ms + load.prefill_ms,
        });
        let told = self.report.filter(|(_, at)| now.saturating_sub(*at) < REPORT_MEMORY_MS);
        let running = told.map_or(0, |(load, _)| load.running + load.waiting).max(sum.running);
        PeerLoad { running, ..sum }
    }
}

#[cfg(test)]
#[path = "loads_test.rs"]
mod loads_test;
