//! A server for a request that has not been sent.

use std::sync::Arc;

use super::{Replica, ReplicaGuard};
use crate::process::placement::Placement;

/// A server chosen for a request that has not been sent yet.
pub(crate) struct Offer {
    pub(super) replica: Arc<Replica>,
    pub(super) crash_score: u64,
    /// The estimates that the choice is based on.
    pub placement: Placement,
    /// When it was made, in ms since the daemon's start.
    pub(super) now: u64,
}

impl Offer {
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }

    /// Accepts the offer: counts the request as in flight on the server.
    pub fn accept(self) -> ReplicaGuard {
        self.replica.health.hold.lock().record_sent(self.now);
        self.replica.health.false_entry.lock().record_sent(self.now);
        ReplicaGuard::new(self.replica, self.crash_score, self.placement.prefill_ms)
    }
}
