//! The whole answer of a server that failed to serve a request, held while another server is sought.

use std::sync::Arc;

use http::{StatusCode, response::Parts};
use volo_http::response::Response;

use super::kept_body::KeptBody;
use crate::process::{KeptAnswer, Shared};

/// A server's error, which is passed on unless a repeat is answered.
pub(crate) struct HeldAnswer {
    head: Parts,
    body: KeptAnswer,
    /// The server that has given it.
    pub instance: Arc<str>,
}

impl HeldAnswer {
    pub fn new(head: Parts, body: KeptAnswer, instance: Arc<str>) -> Self {
        Self { head, body, instance }
    }

    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Whether its body is still there, as it gives way when memory is short.
    pub fn is_whole(&self) -> bool {
        self.body.is_empty() || self.body.bytes().is_ok()
    }

    /// The response to request `id`.
    pub fn into_response(self, shared: &Arc<Shared>, id: &Arc<str>) -> Response {
        let body = KeptBody::body(self.body, shared, id, &self.instance);
        Response::from_parts(self.head, body)
    }
}
