//! An attempt that has been sent to a server, and what the head of its response says.

use std::{sync::Arc, time::Instant};

use http::Response as HttpResponse;
use hyper::body::Incoming;
use log::info;

use super::proxy_outcome::ProxyFailure;
use crate::{
    port::{ResponseHead, ResponseMetadata},
    process::{Gateway, Replica, record_brittle, record_leaving, record_misdirected, record_own_answer},
};

/// An attempt that has been sent to a server.
pub(super) struct SentAttempt {
    pub gateway: Arc<Gateway>,
    /// The request's id.
    pub id: Arc<str>,
    pub pool: Arc<str>,
    pub replica: Arc<Replica>,
    /// Whether the response is the first on its connection.
    pub is_first: bool,
    pub sent: Instant,
    /// When it was sent, in ms since the daemon's start.
    pub sent_at: u64,
    /// When it was sent, on the clock that the daemons agree on.
    pub sent_ms: u64,
}

impl SentAttempt {
    /// Returns what the response says if it is the attempt's own, and applies what it says of its server. Only such a
    /// response lets its connection be used again, so that a copy of an earlier response on a used connection bears that
    /// request's id. Hence a response without an id is believed only if it is the first on its connection.
    pub fn read_head(&self, response: &HttpResponse<Incoming>) -> Result<ResponseMetadata, ProxyFailure> {
        let codec = &self.gateway.header_codec;
        let owner = match codec.decode_response(response.status(), response.headers(), &self.id) {
            ResponseHead::Own(metadata) => {
                self.apply(&metadata);
                return Ok(metadata);
            }
            ResponseHead::Unidentified { misdirected: true, .. } if self.is_first => {
                record_misdirected(&self.gateway.shared, &self.replica);
                return Err(ProxyFailure::Misdirected);
            }
            ResponseHead::Unidentified { not_run: true, .. } if self.is_first => return Err(ProxyFailure::NotRun),
            ResponseHead::Unidentified { .. } => "unknown",
            ResponseHead::Foreign => "other",
        };
        self.gateway.shared.metrics.dropped.with_label_values(&["crossed"]).inc();
        let (id, instance, status) = (&self.id, &self.replica.id, response.status().as_u16());
        let is_first = self.is_first;
        info!("event=response-dropped id={id} instance={instance} status={status} owner={owner} first={is_first}");
        Err(ProxyFailure::Indeterminate("crossed"))
    }

    fn apply(&self, metadata: &ResponseMetadata) {
        let (gateway, replica) = (&self.gateway, &self.replica);
        if metadata.misdirected {
            record_misdirected(&gateway.shared, replica);
            return;
        }
        record_own_answer(replica);
        if let Some(load) = metadata.load {
            replica.set_reported_load(load, gateway.shared.now());
        }
        if metadata.leaving {
            record_leaving(gateway, replica, self.sent_ms);
        }
        gateway.apply_stated_limit(replica, metadata.limit, self.sent_ms);
        if let Some(max_refusals) = metadata.max_refusals {
            record_brittle(&gateway.shared, &self.pool, max_refusals);
        }
        gateway.apply_stated_hold(&self.id, replica, metadata.hold);
        if !metadata.not_run {
            replica.record_taken(self.sent_at);
        } else if metadata.max_refusals.is_some() {
            replica.record_refusal(gateway.shared.daemon_count(), gateway.shared.now());
        }
    }
}
