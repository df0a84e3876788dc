//! What a request tells of the path to its server, and what it takes from there.

use std::time::Duration;

use super::{proxy::ProxyCall, proxy_outcome::ProxyFailure};
use crate::process::ReplicaGuard;

/// Time without a response after which the path to a server is looked at.
pub(super) const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// Time without a response after which a peer that is doubted is left; it draws no request for more than a second.
const DOUBTED_SILENCE: Duration = Duration::from_millis(700);
/// Interval at which a request whose path is being looked at checks whether it has failed.
pub(super) const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl ProxyCall {
    /// Time of silence after which another server is sought.
    pub(super) fn silence_limit(&self, guard: &ReplicaGuard) -> Duration {
        let limit = match &self.via {
            None if self.gateway.has_lost_link(guard.replica()) => SUSPECT_AFTER,
            Some(peer) if self.gateway.is_on_trial(peer) => DOUBTED_SILENCE,
            _ => Duration::MAX,
        };
        self.idle_timeout().min(limit)
    }

    /// Whether the path of the last attempt has failed, which says nothing about its server.
    pub(super) fn has_no_path(&self, guard: &ReplicaGuard) -> bool {
        self.gateway.has_no_path(guard.replica(), self.via.as_ref())
    }

    /// Whether this daemon can find out if the server has crashed, which it does by a connection of its own.
    pub(super) fn may_judge_crash(&self, guard: &ReplicaGuard) -> bool {
        !self.has_no_path(guard) && !self.gateway.has_lost_link(guard.replica())
    }

    /// Leaves a server out that could not be connected to.
    pub(super) fn leave_out(&self, guard: &ReplicaGuard, failure: &ProxyFailure) {
        match failure {
            ProxyFailure::ConnectFailed => guard.replica().eject_briefly(self.gateway.shared.now()),
            ProxyFailure::NoPath => self.gateway.seek_path(guard.replica()),
            _ => {}
        }
    }
}
