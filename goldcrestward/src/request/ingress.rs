//! Handler of requests to models and plain services: authentication, routing and admission.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde_json::json;
use volo_http::{body::Body, request::Request, response::Response};

use super::{
    caller_body::CallerBody,
    headers::bearer,
    model::ModelCall,
    plain::{PlainCall, PlainRequestHead, ReceivedBody},
    refusal::{Reason, Refusal},
    run_window::{Phase, RunWindow},
};
use crate::{
    config::{Account, Site},
    connection::MAX_HEAD_BYTES,
    process::{AdmissionPermit, Shared, Stage},
};

/// Size limit of a request body that is read completely.
const BODY_BYTES: usize = 8 * 1024 * 1024;
/// Size up to which the body of a repeatable request is buffered for retries.
const RETRY_BUFFER_BYTES: usize = 256 * 1024;
/// Time for the caller to send the body, or the part of it that is buffered.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers whose requests go to models and plain services.
#[derive(Clone)]
pub(crate) struct Ingress {
    shared: Arc<Shared>,
}

impl Ingress {
    /// Creates a handler that uses the daemon's shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Handles one request.
    pub async fn handle(self, request: Request) -> Response {
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.shared.count_refusal(&refusal);
                refusal.response()
            }
        };
        // The caller's next request on the connection would only be refused.
        if self.shared.stage.get() == Stage::Draining {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Readiness check: 200 while serving, otherwise 503; the body is the stage.
    pub fn ready(&self) -> Response {
        let stage = self.shared.stage.get();
        let status = if stage == Stage::Serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = Response::new(Body::from(stage.label()));
        *response.status_mut() = status;
        response
    }

    /// Lists the models that the account may use.
    pub async fn models(self, request: Request) -> Response {
        let in_force = self.shared.in_force.load_full();
        let account = match authenticate(&in_force.site, request.headers()) {
            Ok(account) => account,
            Err(refusal) => {
                self.shared.count_refusal(&refusal);
                return refusal.response();
            }
        };
        let allowed = |name: &Arc<str>| account.routes.is_empty() || account.routes.contains(name);
        let routes = in_force.site.routes.values().filter(|route| allowed(&route.name));
        let models: Vec<_> = routes
            .filter_map(|route| route.model.as_ref())
            .map(|model| json!({ "id": model, "object": "model", "created": 0, "owned_by": "goldcrestward" }))
            .collect();
        let mut response = Response::new(Body::from(json!({ "object": "list", "data": models }).to_string()));
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    async fn serve(&self, request: Request) -> Result<Response, Refusal> {
        let id: Arc<str> = format!("req-{:032x}", rand::random::<u128>()).into();
        self.check_stage(&id)?;
        check_header_size(request.headers())?;
        let in_force = self.shared.in_force.load_full();
        let account = authenticate(&in_force.site, request.headers())?;
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if path == "/v1/chat/completions" || path == "/v1/completions" {
            let admitted = self.admit(&account)?;
            let window = RunWindow::unrouted(self.shared.clone(), id.clone(), Instant::now() + BODY_TIMEOUT);
            let body = window.wait_for(Phase::Body, self.caller_body(&id).read(body, BODY_BYTES)).await??;
            return ModelCall::new(self.shared.clone(), &account, admitted, id, path, body)?.run().await;
        }
        let Some(route) = in_force.site.path_route(&path) else {
            return Err(Refusal::not_run(Reason::UnknownRoute, format!("there is no route for {path}")));
        };
        if !account.routes.is_empty() && !account.routes.contains(&route.name) {
            let message = format!("the account may not use route {}", route.name);
            return Err(Refusal::not_run(Reason::Forbidden, message));
        }
        let admitted = self.admit(&account)?;
        let path = parts.uri.path_and_query().map_or(path, ToString::to_string);
        let window =
            RunWindow::new(self.shared.clone(), id.clone(), route.clone(), Instant::now() + route.timeout).unbuffered();
        let window = if route.repeatable { window.passed_on() } else { window };
        let body = window.wait_for(Phase::Body, async {
            let caller = self.caller_body(&id);
            if route.repeatable {
                read_start(&caller, body).await
            } else {
                caller.read(body, BODY_BYTES).await.map(ReceivedBody::complete)
            }
        });
        let body = body.await??;
        let request = PlainRequestHead { id, method: parts.method, path, headers: parts.headers };
        PlainCall::new(self.shared.clone(), &account, admitted, route.clone(), request, body).run().await
    }

    fn caller_body<'a>(&'a self, id: &'a str) -> CallerBody<'a> {
        CallerBody { shared: &self.shared, id, time: BODY_TIMEOUT }
    }

    fn admit(&self, account: &Account) -> Result<AdmissionPermit, Refusal> {
        self.shared.limits.admit(account, self.shared.daemon_count(), self.shared.now())
    }

    fn check_stage(&self, id: &Arc<str>) -> Result<(), Refusal> {
        match self.shared.stage.get() {
            Stage::Serving => Ok(()),
            Stage::Starting => {
                let message = "this daemon has no configuration yet";
                Err(Refusal::not_run(Reason::NoConfiguration, message).with_retry_after(Duration::from_secs(1)))
            }
            Stage::Draining => {
                let window = RunWindow::unrouted(self.shared.clone(), id.clone(), Instant::now() + BODY_TIMEOUT);
                Err(window.refuse_arrival().with_retry_after(Duration::from_secs(1)))
            }
        }
    }
}

/// Checks the header size, since the HTTP library does not apply its limit to a head received in one read.
fn check_header_size(headers: &HeaderMap) -> Result<(), Refusal> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes <= MAX_HEAD_BYTES {
        return Ok(());
    }
    let message = format!("the request's head has more than {MAX_HEAD_BYTES} bytes");
    Err(Refusal::not_run(Reason::HeaderTooLarge, message))
}

fn authenticate(site: &Site, headers: &HeaderMap) -> Result<Arc<Account>, Refusal> {
    let refuse = |message: &str| Refusal::not_run(Reason::Unauthenticated, message);
    let key = bearer(headers).ok_or_else(|| refuse("the request needs an account's key as bearer token"))?;
    site.account(key).cloned().ok_or_else(|| refuse("no account has this key"))
}

/// Buffers the start of a body for retries. The rest of a longer one is streamed to the back end.
async fn read_start(caller: &CallerBody<'_>, mut body: Body) -> Result<ReceivedBody, Refusal> {
    let (start, has_ended) = caller.read_start(&mut body, RETRY_BUFFER_BYTES).await?;
    Ok(ReceivedBody { start, rest: (!has_ended).then_some(body) })
}
