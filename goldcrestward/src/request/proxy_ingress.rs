//! Handler of requests that are proxied to backend servers: authentication, routing and admission.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, header, request::Parts};
use log::info;
use volo_http::{body::Body, request::Request, response::Response};

use super::{
    admission::Admission,
    admission_request::AdmissionRequest,
    admitted_caller::AdmittedCaller,
    caller_body::CallerBody,
    placement_request::PlacementRequest,
    proxy::ProxyCall,
    refusal::{Reason, Refusal},
    request_head::RequestHead,
    run_window::{Phase, RunWindow},
    target::Target,
};
use crate::{
    connection::{AmbiguousFraming, RequestRecord},
    logs::is_sampled,
    port::RequestMetadata,
    process::{Gateway, Stage},
    util::stable_hash,
};

/// `Retry-After` of a daemon that has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves callers whose requests are proxied.
#[derive(Clone)]
pub(crate) struct ProxyIngress {
    gateway: Arc<Gateway>,
}

impl ProxyIngress {
    /// Creates a handler that uses the gateway's state.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    /// Handles one request.
    pub async fn handle(self, request: Request) -> Response {
        // Request smuggling: a chunked body can hide a second request from some parsers, so the connection is closed
        // after it.
        let chunked = request.extensions().get::<AmbiguousFraming>().is_some()
            || request.headers().contains_key(header::TRANSFER_ENCODING);
        let (parts, body) = request.into_parts();
        let mut labels = LogLabels::default();
        let mut response = match self.serve(parts, body, &mut labels).await {
            Ok(response) => response,
            Err(refusal) => {
                self.gateway.shared.count_refusal(&refusal);
                let (reason, run, message) = (refusal.reason.label(), refusal.run.label(), &refusal.message);
                let config = self.gateway.shared.in_force.load().site.version;
                let admitted = labels.admitted.map_or_else(|| "-".to_owned(), |version| version.to_string());
                let id = labels.id;
                info!(
                    "event=refused id={id} reason={reason} run={run} config={config} admitted={admitted} message={message:?}"
                );
                refusal.retry_safe_response()
            }
        };
        if chunked || self.gateway.shared.stage.get() == Stage::Draining {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve(&self, parts: Parts, body: Body, labels: &mut LogLabels) -> Result<Response, Refusal> {
        let arrived = Instant::now();
        let in_force = self.gateway.shared.in_force.load_full();
        if in_force.revision.is_none() {
            let refusal = Refusal::not_run(Reason::NoConfiguration, "this daemon has no configuration yet");
            return Err(refusal.with_retry_after(NO_CONFIGURATION_RETRY_AFTER));
        }
        check_framing(&parts)?;
        let metadata = self.gateway.header_codec.decode_request(&parts.headers);
        let metadata = metadata.map_err(|error| Refusal::not_run(Reason::BadRequest, error))?;
        let id = metadata.id.clone();
        labels.id = id.clone();
        if let Some(record) = parts.extensions.get::<Arc<RequestRecord>>() {
            record.set_id(id.clone());
        }
        self.log_unread_part(&metadata);
        let admission = admission_request(&parts, &metadata, arrived).admit(&in_force)?;
        labels.admitted = Some(admission.version);
        let body = self.read_body(&admission, &metadata, body).await?;
        // The configuration may have changed while the body was read. All else is that of one version.
        let in_force = self.gateway.shared.in_force.load_full();
        let admission = admission.renew(&in_force, body.len(), Instant::now())?;
        labels.admitted = Some(admission.version);
        let caller = AdmittedCaller { admission, metadata };
        let call = self.prepare_call(caller, parts, body).await?;
        let route = call.route.name.clone();
        let result = call.run().await;
        let end = if result.is_ok() { "passed" } else { "refused" };
        self.gateway.shared.metrics.requests.with_label_values(&[&*route, end]).inc();
        let seconds = arrived.elapsed().as_secs_f64();
        self.gateway.shared.metrics.first_token.with_label_values(&[&*route]).observe(seconds);
        if let (true, Ok(response)) = (is_sampled(&id), &result) {
            info!("event=answered id={id} route={route} status={} ms={:.0}", response.status().as_u16(), seconds * 1e3);
        }
        result
    }

    /// What follows the part is unknown to placement and to the evidence on parts that crash servers.
    fn log_unread_part(&self, metadata: &RequestMetadata) {
        let Some(part) = &metadata.unread_part else { return };
        let shared = &self.gateway.shared;
        if let Some(others) = shared.unread_parts.lock().record(shared.now()) {
            let (id, read) = (&metadata.id, metadata.prompt_parts.len());
            info!("event=prompt-part-unread id={id} part={part:?} read={read} others={others}");
        }
    }

    async fn read_body(&self, admission: &Admission, metadata: &RequestMetadata, body: Body) -> Result<Bytes, Refusal> {
        let shared = &self.gateway.shared;
        let time = admission.time_left(Instant::now());
        let caller_body = CallerBody { shared, id: &metadata.id, time };
        let reading = caller_body.read(body, admission.body_bytes);
        self.window(admission, metadata).wait_for(Phase::Body, reading).await?
    }

    async fn prepare_call(&self, caller: AdmittedCaller, parts: Parts, body: Bytes) -> Result<ProxyCall, Refusal> {
        let gateway = &self.gateway;
        let AdmittedCaller { admission, metadata } = &caller;
        let (route, account) = (&admission.route, &admission.account);
        let pool = admission.pool.clone();
        let pool =
            pool.ok_or_else(|| Refusal::not_run(Reason::NoReplica, format!("route {} leads to no pool", route.name)))?;
        let charge = match account {
            Some(account) => {
                let admitting = gateway.admit(account, metadata);
                self.window(admission, metadata).wait_for(Phase::Place, admitting).await??
            }
            None => None,
        };
        let priority = account.as_ref().and_then(|account| account.priority).unwrap_or(route.priority);
        let (arrived, answer_by) = (admission.request.arrived, admission.answer_by);
        let placement = PlacementRequest::new(gateway, route, priority, pool, metadata, arrived, answer_by);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let head = RequestHead { method: parts.method, path, headers: parts.headers };
        Ok(ProxyCall::new(gateway.clone(), caller, head, body, placement, charge))
    }

    fn window(&self, admission: &Admission, metadata: &RequestMetadata) -> RunWindow {
        let (shared, route) = (self.gateway.shared.clone(), admission.route.clone());
        RunWindow::new(shared, metadata.id.clone(), route, admission.answer_by).with_tokens(Some(metadata.max_tokens()))
    }
}

/// What log lines say of a request besides its refusal.
struct LogLabels {
    id: Arc<str>,
    /// Version of the configuration that has admitted the request.
    admitted: Option<u64>,
}

impl Default for LogLabels {
    fn default() -> Self {
        Self { id: Arc::from("-"), admitted: None }
    }
}

/// Rejects a request with both `Content-Length` and `Transfer-Encoding`, which parsers interpret differently.
fn check_framing(parts: &Parts) -> Result<(), Refusal> {
    if parts.extensions.get::<AmbiguousFraming>().is_some() {
        return Err(Refusal::not_run(Reason::BadRequest, "the request has both a length and chunks"));
    }
    Ok(())
}

/// What a request with this head asks of the configuration.
fn admission_request(parts: &Parts, metadata: &RequestMetadata, arrived: Instant) -> AdmissionRequest {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    AdmissionRequest {
        target: Target::Host { host: host.into(), path: parts.uri.path().into() },
        key: metadata.account_key.clone(),
        salt: stable_hash(&[metadata.id.as_bytes()]),
        arrived,
        timeout: metadata.timeout,
    }
}
