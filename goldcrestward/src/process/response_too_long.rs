//! Responses of backend servers that exceed a bound.

use log::warn;

use super::{replicas::Replica, shared::Shared};
use crate::connection::HeadTooLong;

/// Records that a server has sent no final head within the bounds: in a counter, and in one line a second for a server.
pub(crate) fn record_long_head(shared: &Shared, id: &str, replica: &Replica, sent: HeadTooLong) {
    shared.metrics.long_responses.with_label_values(&["head", "response"]).inc();
    let Some(others) = replica.record_long_response(shared.now()) else { return };
    let (instance, HeadTooLong { bytes, heads }) = (&replica.id, sent);
    warn!(
        "event=response-too-long id={id} instance={instance} kind=head bytes={bytes} heads={heads} limit=response others={others}"
    );
}
