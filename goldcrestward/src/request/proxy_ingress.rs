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
    admitted_caller::AdmittedCaller,
    caller_body::CallerBody,
    placement_request::{PlacementRequest, choose_pool},
    proxy::ProxyCall,
    refusal::{Reason, Refusal},
    request_head::RequestHead,
    run_window::{Phase, RunWindow},
};
use crate::{
    config::Site,
    connection::AmbiguousFraming,
    logs::is_sampled,
    port::RequestMetadata,
    process::{Gateway, Stage},
    util::stable_hash,
};

/// `Retry-After` of a daemon that has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Upper limit of a request body, whatever the configuration allows, since the body is buffered for retries.
const BODY_BYTES: usize = 64 * 1024 * 1024;

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
        let mut response = match self.serve(parts, body).await {
            Ok(response) => response,
            Err((id, refusal)) => {
                self.gateway.shared.count_refusal(&refusal);
                let (reason, run, message) = (refusal.reason.label(), refusal.run.label(), &refusal.message);
                let config = self.gateway.shared.in_force.load().site.version;
                info!("event=refused id={id} reason={reason} run={run} config={config} message={message:?}");
                refusal.retry_safe_response()
            }
        };
        if chunked || self.gateway.shared.stage.get() == Stage::Draining {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve(&self, parts: Parts, body: Body) -> Result<Response, (Arc<str>, Refusal)> {
        let arrived = Instant::now();
        let in_force = self.gateway.shared.in_force.load_full();
        let mut id: Arc<str> = Arc::from("-");
        let refuse = |id: &Arc<str>, refusal: Refusal| (id.clone(), refusal);
        if in_force.revision.is_none() {
            let refusal = Refusal::not_run(Reason::NoConfiguration, "this daemon has no configuration yet");
            return Err(refuse(&id, refusal.with_retry_after(NO_CONFIGURATION_RETRY_AFTER)));
        }
        check_framing(&parts).map_err(|refusal| refuse(&id, refusal))?;
        let metadata = self.gateway.header_codec.decode_request(&parts.headers);
        let metadata = metadata.map_err(|error| refuse(&id, Refusal::not_run(Reason::BadRequest, error)))?;
        id = metadata.id.clone();
        let caller = admit_caller(&in_force.site, &parts, metadata).map_err(|refusal| refuse(&id, refusal))?;
        let deadline = arrived + caller.metadata.timeout.unwrap_or(caller.route.timeout).min(caller.route.timeout);
        let window = RunWindow::new(self.gateway.shared.clone(), id.clone(), caller.route.clone(), deadline)
            .with_tokens(Some(caller.metadata.max_tokens()));
        let time = deadline.saturating_duration_since(Instant::now());
        let caller_body = CallerBody { shared: &self.gateway.shared, id: &id, time };
        let limit = in_force.site.caller_limits.body_bytes.min(BODY_BYTES);
        let body = window.wait_for(Phase::Body, caller_body.read(body, limit)).await;
        let body = body.and_then(|body| body).map_err(|refusal| refuse(&id, refusal))?;
        let call = self.prepare_call(caller, parts, body, arrived, deadline).await;
        let call = call.map_err(|refusal| refuse(&id, refusal))?;
        let route = call.route.name.clone();
        let result = call.run().await;
        let end = if result.is_ok() { "passed" } else { "refused" };
        self.gateway.shared.metrics.requests.with_label_values(&[&*route, end]).inc();
        let seconds = arrived.elapsed().as_secs_f64();
        self.gateway.shared.metrics.first_token.with_label_values(&[&*route]).observe(seconds);
        if let (true, Ok(response)) = (is_sampled(&id), &result) {
            info!("event=answered id={id} route={route} status={} ms={:.0}", response.status().as_u16(), seconds * 1e3);
        }
        result.map_err(|refusal| refuse(&id, refusal))
    }

    async fn prepare_call(
        &self,
        caller: AdmittedCaller,
        parts: Parts,
        body: Bytes,
        arrived: Instant,
        deadline: Instant,
    ) -> Result<ProxyCall, Refusal> {
        let gateway = &self.gateway;
        // The configuration may have changed while the body was read, so that the key may no longer be valid.
        let in_force = gateway.shared.in_force.load_full();
        let caller = admit_caller(&in_force.site, &parts, caller.metadata)?;
        let AdmittedCaller { route, account, metadata } = &caller;
        let salt = stable_hash(&[metadata.id.as_bytes()]);
        let pool = choose_pool(route, &in_force.site, salt)
            .ok_or_else(|| Refusal::not_run(Reason::NoReplica, format!("route {} leads to no pool", route.name)))?;
        let charge = match account {
            Some(account) => {
                let window = RunWindow::new(gateway.shared.clone(), metadata.id.clone(), route.clone(), deadline)
                    .with_tokens(Some(metadata.max_tokens()));
                window.wait_for(Phase::Place, gateway.admit(account, metadata)).await??
            }
            None => None,
        };
        let priority = account.as_ref().and_then(|account| account.priority).unwrap_or(route.priority);
        let placement = PlacementRequest::new(gateway, route, priority, pool, metadata, arrived, deadline);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let head = RequestHead { method: parts.method, path, headers: parts.headers };
        Ok(ProxyCall::new(gateway.clone(), caller, head, body, placement, charge))
    }
}

/// Rejects a request with both `Content-Length` and `Transfer-Encoding`, which parsers interpret differently.
fn check_framing(parts: &Parts) -> Result<(), Refusal> {
    if parts.extensions.get::<AmbiguousFraming>().is_some() {
        return Err(Refusal::not_run(Reason::BadRequest, "the request has both a length and chunks"));
    }
    Ok(())
}

/// Finds the request's route and authenticates its account.
fn admit_caller(site: &Site, parts: &Parts, metadata: RequestMetadata) -> Result<AdmittedCaller, Refusal> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let path = parts.uri.path();
    let route = site
        .host_route(host, path)
        .ok_or_else(|| Refusal::not_run(Reason::UnknownRoute, format!("there is no route for {host}{path}")))?;
    let account = metadata.account_key.as_deref().and_then(|key| site.account(key)).cloned();
    if account.is_none() && !route.allows_anonymous && !site.accounts.is_empty() {
        return Err(Refusal::not_run(Reason::Unauthenticated, "the request needs the key of an account"));
    }
    Ok(AdmittedCaller { route: route.clone(), account, metadata })
}
