//! What a server that is reached for a peer says to whoever sends to it.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use http::{HeaderMap, StatusCode};
use parking_lot::Mutex;

use crate::{
    connection::{Notice, ResponseObserver},
    port::{ResponseHead, StatedHold},
    process::{WorkTime, gateway::Gateway, leaving::record_carried, lifecycle::Stage, replicas::Replica},
};

/// Time for which requests on open connections still go to a server that is leaving: peers that know of it close theirs
/// meanwhile, so that none is in use when this daemon does.
const LEAVING_GRACE: Duration = Duration::from_secs(1);
/// The same for a server that wants nothing for a time.
const HOLD_GRACE: Duration = Duration::from_millis(250);
/// Time for peers to hear that this daemon is being stopped and to close their connections.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Reads the responses of one server to peers.
pub(super) struct CarriedObserver {
    gateway: Arc<Gateway>,
    replica: Arc<Replica>,
    /// When the connection was opened.
    opened: Instant,
    /// The same on the agreed clock.
    opened_ms: u64,
    /// How long the first request takes, from then on.
    work: WorkTime,
    /// Whether it was opened for a request that ends before this daemon, which was being stopped.
    is_opened_in_stop: bool,
    /// When the server was first seen to be leaving.
    leaving_since: OnceLock<Instant>,
    /// When this daemon was first seen to be stopped.
    stopping_since: OnceLock<Instant>,
    /// When the server was first seen to want nothing, while it does.
    held_since: Mutex<Option<Instant>>,
}

impl CarriedObserver {
    pub fn new(gateway: Arc<Gateway>, replica: Arc<Replica>, work: Option<WorkTime>) -> Self {
        let opened_ms = gateway.shared.agreed_ms();
        let is_opened_in_stop = gateway.shared.stage.get() == Stage::Draining;
        Self {
            gateway,
            replica,
            opened: Instant::now(),
            opened_ms,
            work: work.unwrap_or_else(WorkTime::unknown),
            is_opened_in_stop,
            leaving_since: OnceLock::new(),
            stopping_since: OnceLock::new(),
            held_since: Mutex::default(),
        }
    }

    /// Since when the server has wanted nothing; `None` if it takes requests.
    fn held_since(&self) -> Option<Instant> {
        let is_held = self.replica.is_held(self.gateway.shared.now());
        let mut since = self.held_since.lock();
        *since = is_held.then(|| since.unwrap_or_else(Instant::now));
        *since
    }
}

impl ResponseObserver for CarriedObserver {
    fn notice(&self, request: &HeaderMap, status: StatusCode, response: &HeaderMap) -> Option<Notice> {
        let codec = &self.gateway.header_codec;
        let request = codec.decode_request(request).ok()?.id;
        let ResponseHead::Own(metadata) = codec.decode_response(status, response, &request) else { return None };
        let is_notice = metadata.leaving || metadata.hold != StatedHold::None;
        is_notice.then_some(Notice { request, leaving: metadata.leaving, hold: metadata.hold })
    }

    fn record_notice(&self, notice: Notice) {
        if notice.leaving {
            record_carried(&self.gateway, &self.replica, self.opened_ms);
        }
        self.gateway.apply_stated_hold(&notice.request, &self.replica, notice.hold);
    }

    fn is_withdrawn(&self) -> bool {
        let is_left =
            self.replica.is_leaving() && self.leaving_since.get_or_init(Instant::now).elapsed() >= LEAVING_GRACE;
        is_left || self.held_since().is_some_and(|since| since.elapsed() >= HOLD_GRACE)
    }

    fn may_begin(&self, is_first: bool) -> bool {
        let work = if is_first { self.work.after(self.opened.elapsed()) } else { WorkTime::unknown() };
        self.gateway.shared.lifetime.allows(work)
    }

    fn is_ending(&self) -> bool {
        // One opened in the stop was asked for with the time of a single request.
        let is_stopping = self.gateway.shared.stage.get() == Stage::Draining;
        let is_left_over = is_stopping
            && (self.is_opened_in_stop || self.stopping_since.get_or_init(Instant::now).elapsed() >= STOP_GRACE);
        is_left_over || self.held_since().is_some()
    }
}
