//! Handler of requests to models and plain services: authentication, routing and admission.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde_json::json;
use volo_http::{body::Body, request::Request, response::Response};

use super::{
    admission::Admission,
    admission_request::{AdmissionRequest, authenticate},
    caller_body::CallerBody,
    headers::bearer,
    model::ModelCall,
    plain::{PlainCall, PlainRequestHead, ReceivedBody},
    refusal::{Reason, Refusal},
    run_window::{Phase, RunWindow},
    target::Target,
};
use crate::{
    config::Account,
    connection::{MAX_HEAD_BYTES, RequestRecord},
    process::{AdmissionPermit, Shared, Stage},
    util::stable_hash,
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
        let account = match authenticate(&in_force.site, bearer(request.headers())) {
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
        if let Some(record) = request.extensions().get::<Arc<RequestRecord>>() {
            record.set_id(id.clone());
        }
        self.check_stage(&id)?;
        check_header_size(request.headers())?;
        let in_force = self.shared.in_force.load_full();
        let key = bearer(request.headers()).map(Arc::from);
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let target = Target::Path(path.as_str().into());
        let (salt, arrived) = (stable_hash(&[id.as_bytes()]), Instant::now());
        let asked = AdmissionRequest { target, key: key.clone(), salt, arrived, timeout: None };
        let account = authenticate(&in_force.site, asked.key.as_deref())?;
        if path == "/v1/chat/completions" || path == "/v1/completions" {
            let admitted = self.admit(&account)?;
            let window = RunWindow::unrouted(self.shared.clone(), id.clone(), Instant::now() + BODY_TIMEOUT);
            let body = window.wait_for(Phase::Body, self.caller_body(&id).read(body, BODY_BYTES)).await??;
            return ModelCall::new(self.shared.clone(), key, admitted, id, path, body)?.run().await;
        }
        let admission = asked.admit(&in_force)?;
        let admitted = self.admit(&account)?;
        let path = parts.uri.path_and_query().map_or(path, ToString::to_string);
        let (admission, body) = self.read_plain(&id, admission, body).await?;
        let admitted = admission.renew_permit(admitted, &self.shared)?;
        let request = PlainRequestHead { id, method: parts.method, path, headers: parts.headers };
        PlainCall::new(self.shared.clone(), admission, admitted, request, body).run().await
    }

    /// Reads what is kept of a body. Returns it with what the request takes from the configuration that is in force then.
    async fn read_plain(
        &self,
        id: &Arc<str>,
        admission: Admission,
        body: Body,
    ) -> Result<(Admission, ReceivedBody), Refusal> {
        let (mut admission, mut body) = (admission, body);
        loop {
            let route = admission.route;
            let deadline = Instant::now() + route.timeout;
            let window = RunWindow::new(self.shared.clone(), id.clone(), route.clone(), deadline).unbuffered();
            let window = if route.repeatable { window.passed_on() } else { window };
            let reading = window.wait_for(Phase::Body, async {
                let caller = self.caller_body(id);
                if route.repeatable {
                    read_start(&caller, body).await
                } else {
                    caller.read(body, BODY_BYTES).await.map(ReceivedBody::complete)
                }
            });
            let received = reading.await??;
            admission = admission.request.admit(&self.shared.in_force.load())?;
            if received.rest.is_none() || admission.route.repeatable {
                return Ok((admission, received));
            }
            // A request that may run once only is not sent before its body is complete.
            body = received.into_body();
        }
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

/// Buffers the start of a body for retries. The rest of a longer one is streamed to the back end.
async fn read_start(caller: &CallerBody<'_>, mut body: Body) -> Result<ReceivedBody, Refusal> {
    let (start, has_ended) = caller.read_start(&mut body, RETRY_BUFFER_BYTES).await?;
    Ok(ReceivedBody { start, rest: (!has_ended).then_some(body) })
}
