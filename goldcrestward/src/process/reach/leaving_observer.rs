//! What a server that is reached for a peer says about leaving.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use http::{HeaderMap, StatusCode};

use crate::{
    connection::ResponseObserver,
    port::ResponseHead,
    process::{gateway::Gateway, leaving::record_carried, replicas::Replica},
};

/// Time for which requests on open connections still go to a server that is leaving: peers that know of it close theirs
/// meanwhile, so that none is in use when this daemon does.
const GRACE: Duration = Duration::from_secs(1);

/// Reads the responses of one server to peers.
pub(super) struct LeavingObserver {
    gateway: Arc<Gateway>,
    replica: Arc<Replica>,
    /// When the connection was opened, on the agreed clock.
    opened_ms: u64,
    /// When the server was first seen to be leaving.
    leaving_since: OnceLock<Instant>,
}

impl LeavingObserver {
    pub fn new(gateway: Arc<Gateway>, replica: Arc<Replica>) -> Self {
        let opened_ms = gateway.shared.agreed_ms();
        Self { gateway, replica, opened_ms, leaving_since: OnceLock::new() }
    }
}

impl ResponseObserver for LeavingObserver {
    fn is_notice(&self, request: &HeaderMap, status: StatusCode, response: &HeaderMap) -> bool {
        let codec = &self.gateway.header_codec;
        let Ok(metadata) = codec.decode_request(request) else { return false };
        let head = codec.decode_response(status, response, &metadata.id);
        matches!(head, ResponseHead::Own(metadata) if metadata.leaving)
    }

    fn record_notice(&self) {
        record_carried(&self.gateway, &self.replica, self.opened_ms);
    }

    fn is_withdrawn(&self) -> bool {
        self.replica.is_leaving() && self.leaving_since.get_or_init(Instant::now).elapsed() >= GRACE
    }
}
