//! Load of a backend server, as daemons and the server itself report it.

use super::exchange::REPORT_TIMEOUT_MS;
use crate::{port::Load, util::derive_value_traits};

/// Time for which a report of the server is valid.
const SERVER_REPORT_TTL_MS: u64 = 300;

derive_value_traits! {
    /// Load that daemons put on a server.
    #[derive(Default)]
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
    others: Option<(PeerLoad, u64)>,
    server_report: Option<(Load, u64)>,
}

impl LoadTracker {
    /// Replaces the load that all other daemons put on the server.
    pub fn set_others(&mut self, load: PeerLoad, now: u64) {
        self.others = Some((load, now));
    }

    /// Replaces what the server has reported.
    pub fn apply_server_report(&mut self, load: Load, now: u64) {
        self.server_report = Some((load, now));
    }

    /// Sum of the daemons' loads, including this one's `own`. The server's report replaces the sum of running
    /// requests where it is higher.
    pub fn total(&self, own: &PeerLoad, now: u64) -> PeerLoad {
        let others = self.others.as_ref().filter(|(_, at)| now.saturating_sub(*at) < REPORT_TIMEOUT_MS);
        let sum = others.map_or_else(
            || own.clone(),
            |(load, _)| PeerLoad {
                running: own.running.saturating_add(load.running),
                prefill_ms: own.prefill_ms + load.prefill_ms,
            },
        );
        let reported = self.server_report.filter(|(_, at)| now.saturating_sub(*at) < SERVER_REPORT_TTL_MS);
        let running = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting)).max(sum.running);
        PeerLoad { running, ..sum }
    }
}

#[cfg(test)]
#[path = "loads_test.rs"]
mod loads_test;
