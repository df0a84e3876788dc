//! Entries under the name of one instance with the address of another, as the answers of the latter say.

use log::info;

use super::{replicas::Replica, shared::Shared};

/// Applies an answer which says that another instance has the replica's address.
pub(crate) fn record_misdirected(shared: &Shared, replica: &Replica) {
    shared.metrics.misdirected.inc();
    if let Some(others) = shared.replicas.record_misdirected(replica, shared.now()) {
        let (instance, address) = (&replica.id, replica.address);
        info!("event=entry-false instance={instance:?} address={address} others={others}");
    }
}

/// Applies an answer of the replica's own instance.
pub(crate) fn record_own_answer(replica: &Replica) {
    if replica.record_own_answer() {
        info!("event=entry-true instance={:?} address={}", replica.id, replica.address);
    }
}
