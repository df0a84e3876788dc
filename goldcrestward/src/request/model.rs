//! Requests to model engines. A stream whose replica fails or leaves is resumed at another replica.

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body::{Body as _, Frame};
use log::info;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use volo_http::{body::Body, error::BoxError, response::Response};

use super::{
    admission_request::AdmissionRequest,
    attempt::{Attempts, Failure},
    bounded_body::BoundedBody,
    crash::fingerprint,
    kept_body::KeptBody,
    model_body::ModelBody,
    refusal::{Reason, Refusal},
    response_owner::ResponseOwner,
    target::Target,
    token_events::{MAX_KEPT_BYTES, StreamError, TokenEventReader},
};
use crate::{
    config::Route,
    connection::{OutboundRequest, SendError},
    process::{AdmissionPermit, InFlight, ReadError, Replica, ReplicaGuard, Shared, TooLong, record_long_head},
    util::stable_hash,
    version::Sample,
};

/// Length of the prompt prefix whose hash selects the preferred replica, so that requests with a common prefix use the
/// same one.
const AFFINITY_PREFIX_BYTES: usize = 512;
/// Time without data after which a replica times out.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size limit of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Estimated length of a token in a request body, to count recomputed tokens.
const BYTES_PER_TOKEN: usize = 5;

/// The fields of a request body that the daemon uses.
#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    user: Option<String>,
    #[serde(default)]
    max_tokens: Option<Value>,
    #[serde(default)]
    max_completion_tokens: Option<Value>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl CompletionRequest {
    /// Hash that all requests of a conversation share: of account and user, or, without a user, of account, prompt
    /// and messages up to the first one with role `user`.
    fn conversation(&self, account: &str) -> u64 {
        if let Some(user) = &self.user {
            return stable_hash(&[account.as_bytes(), user.as_bytes()]);
        }
        let first_turn = self.messages.iter().position(|m| m.role == "user").map_or(0, |at| at + 1);
        let contents = self.messages[..first_turn].iter().map(|m| &m.content);
        let texts: Vec<_> = contents.chain(&self.prompt).map(ToString::to_string).collect();
        stable_hash(&[account.as_bytes(), texts.concat().as_bytes()])
    }

    /// The limit of the answer's tokens, if there is a readable one.
    fn token_limit(&self) -> Option<u32> {
        let stated = self.max_completion_tokens.as_ref().or(self.max_tokens.as_ref())?;
        u32::try_from(stated.as_u64()?).ok()
    }

    fn prefix(&self) -> String {
        let mut prefix = String::new();
        let contents = self.messages.iter().map(|m| &m.content);
        for content in contents.chain(&self.prompt) {
            match content {
                Value::String(text) => prefix.push_str(text),
                other => prefix.push_str(&other.to_string()),
            }
            if prefix.len() >= AFFINITY_PREFIX_BYTES {
                break;
            }
        }
        let end = prefix.floor_char_boundary(AFFINITY_PREFIX_BYTES);
        prefix.truncate(end);
        prefix
    }
}

/// A request to a model engine.
pub(crate) struct ModelCall {
    shared: Arc<Shared>,
    route: Arc<Route>,
    id: Arc<str>,
    path: String,
    body: Bytes,
    stream: bool,
    /// Whether the caller has got the beginning of a stream, so that the request can no longer be refused.
    is_answering: bool,
    attempts: Attempts,
    /// The error that the current attempt got.
    error: Option<Response>,
    /// The last engine's error with the engine's place, until another attempt is answered.
    held: Option<(Response, ReplicaGuard)>,
    received: Instant,
    kv_from: Option<SocketAddr>,
    admitted: AdmissionPermit,
    _in_flight: InFlight,
}

/// A stream whose first events have been received.
pub(crate) struct ModelStream {
    /// The replica that sends the stream.
    pub guard: ReplicaGuard,
    /// Parses and checks the stream.
    pub reader: TokenEventReader,
    /// The rest of the response body.
    pub body: Body,
    /// The events received so far.
    pub first: Bytes,
}

/// Result of opening a stream with as many attempts as needed.
pub(crate) enum OpenResult {
    /// The first events have been received.
    Started(Box<ModelStream>),
    /// The engine returned a 4xx response, which is passed on.
    Refused(Response),
}

/// Result of one attempt to open a stream.
enum AttemptResult {
    Started(TokenEventReader, Body, Bytes),
    Refused(Response),
}

impl ModelCall {
    /// Parses the request body and selects the route.
    ///
    /// # Errors
    /// Returns a refusal if the body is invalid, or the model is unknown or not allowed for the account.
    pub fn new(
        shared: Arc<Shared>,
        account_key: Option<Arc<str>>,
        admitted: AdmissionPermit,
        id: Arc<str>,
        path: String,
        body: Bytes,
    ) -> Result<Self, Refusal> {
        let received = Instant::now();
        let request: CompletionRequest = serde_json::from_slice(&body)
            .map_err(|error| Refusal::not_run(Reason::BadRequest, format!("could not read the body: {error}")))?;
        let admission = AdmissionRequest {
            target: Target::Model(request.model.as_str().into()),
            key: account_key,
            salt: stable_hash(&[id.as_bytes()]),
            arrived: received,
            timeout: None,
        };
        // The configuration may have changed while the body was read.
        let admission = admission.admit(&shared.in_force.load())?;
        let (route, account) = (admission.route.clone(), admission.account_name());
        let admitted = admission.renew_permit(admitted, &shared)?;
        let fingerprint = fingerprint(&account, &path, &body);
        let key = stable_hash(&[request.prefix().as_bytes()]);
        let version = shared.choose_version(&route.pool, request.conversation(&account));
        let attempts = Attempts::new(shared.clone(), id.clone(), admission, fingerprint, key, version)
            .with_tokens(request.token_limit());
        let attempts = if request.stream { attempts.passed_on() } else { attempts };
        let _in_flight = InFlight::new(&shared);
        let stream = request.stream;
        Ok(Self {
            shared,
            route,
            id,
            path,
            body,
            stream,
            is_answering: false,
            attempts,
            error: None,
            held: None,
            received,
            kv_from: None,
            admitted,
            _in_flight,
        })
    }

    /// Runs the request and returns the response, whose body may still be streaming.
    ///
    /// # Errors
    /// Returns a refusal if no attempt produced a response.
    pub async fn run(mut self) -> Result<Response, Refusal> {
        if !self.stream {
            return self.run_buffered().await;
        }
        match self.open(0).await? {
            OpenResult::Refused(response) => Ok(response),
            OpenResult::Started(open) => Ok(self.streamed_response(*open)),
        }
    }

    fn streamed_response(mut self, open: ModelStream) -> Response {
        self.is_answering = true;
        let id = HeaderValue::from_str(&self.id);
        let window = self.attempts.window().clone();
        let mut response = Response::new(Body::from_body(ModelBody::new(self, open)));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        if let Ok(id) = id {
            headers.insert("x-request-id", id);
        }
        BoundedBody::bound(response, window, None)
    }

    /// Opens a stream from token `next` at another replica after `failed` has failed or is leaving.
    pub async fn reopen(&mut self, failed: &ReplicaGuard, failure: Failure, next: u64) -> Result<OpenResult, Refusal> {
        let replica = failed.replica().clone();
        self.kv_from = (failure == Failure::Leaving).then_some(replica.address);
        if failure != Failure::Leaving {
            self.shared.observe(&replica, &self.route.name, Sample::Failed);
        }
        let kv_source = if self.kv_from.is_some() { "import" } else { "recompute" };
        self.shared.metrics.resumed.with_label_values(&[kv_source]).inc();
        if self.kv_from.is_none() {
            let prompt = (self.body.len() / BYTES_PER_TOKEN) as u64;
            self.shared.metrics.recomputed.inc_by(prompt + next);
        }
        self.attempts.record_failure(failed, failure).await;
        self.open(next).await
    }

    /// Whether the stream is to go on elsewhere: its replica is leaving, and another one can take it.
    pub fn must_migrate(&self, guard: &ReplicaGuard) -> bool {
        let replica = guard.replica();
        replica.is_leaving() && self.attempts.choose_hedge(replica).is_some()
    }

    /// Counts the end of the request; `end` is the metric label.
    pub fn count_end(&self, end: &str) {
        self.shared.metrics.requests.with_label_values(&[&*self.route.name, end]).inc();
    }

    /// Records that the replica sent a complete response.
    pub fn record_success(&self, guard: &ReplicaGuard) {
        self.attempts.record_success(guard.replica());
        self.attempts.window().record_run(self.received);
        self.shared.observe(guard.replica(), &self.route.name, Sample::Good);
    }

    /// Counts tokens sent to the caller and charges them to the account.
    pub fn count_tokens(&self, tokens: u64) {
        self.shared.metrics.tokens.inc_by(tokens);
        self.admitted.charge(tokens);
    }

    /// The state that all requests of the daemon share.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Opens a stream that starts at token `next`, retrying as often as is allowed.
    async fn open(&mut self, next: u64) -> Result<OpenResult, Refusal> {
        loop {
            let guard = match self.attempts.next_attempt(self.is_answering).await {
                Ok(guard) => guard,
                Err(refusal) => return self.pass_held(refusal).await.map(OpenResult::Refused),
            };
            match self.try_open(&guard, next).await {
                Ok(AttemptResult::Refused(response)) => return Ok(OpenResult::Refused(response)),
                Ok(AttemptResult::Started(reader, body, first)) => {
                    guard.record_first_token(self.shared.now());
                    self.held = None;
                    return Ok(OpenResult::Started(Box::new(ModelStream { guard, reader, body, first })));
                }
                Err(failure) => {
                    if !guard.replica().is_leaving() {
                        self.shared.observe(guard.replica(), &self.route.name, Sample::Failed);
                    }
                    self.attempts.record_failure(&guard, failure).await;
                    // A stream that has begun cannot be answered with an error any more.
                    if let Some(error) = self.error.take().filter(|_| !self.is_answering) {
                        self.held = Some((error, guard));
                    }
                }
            }
        }
    }

    /// Passes on the error that is held, as no other attempt has been answered, or else the refusal.
    async fn pass_held(&mut self, refusal: Refusal) -> Result<Response, Refusal> {
        let Some((response, guard)) = self.held.take() else { return Err(refusal) };
        let (id, instance, status) = (&self.id, &guard.replica().id, response.status().as_u16());
        let why = refusal.reason.label();
        info!("event=held-answer-passed id={id} instance={instance} status={status} why={why}");
        let limit = IDLE_TIMEOUT.min(self.attempts.time_left());
        self.read_whole(&guard, response, limit).await.map_err(|_| refusal)
    }

    /// Passes a 4xx response on; any other error status is a failure of the attempt.
    fn pass_client_error(&mut self, response: Response) -> Result<Response, Failure> {
        if response.status().is_client_error() {
            return Ok(response);
        }
        self.error = Some(response).filter(|response| response.status().is_server_error());
        Err(Failure::ErrorStatus)
    }

    async fn try_open(&mut self, guard: &ReplicaGuard, next: u64) -> Result<AttemptResult, Failure> {
        let request = self.build_request(guard, self.attempt_body(next));
        let response = self.send(guard.replica(), request).await?;
        if response.status() != StatusCode::OK {
            let limit = IDLE_TIMEOUT.min(self.attempts.time_left());
            let response = self.pass_client_error(response)?;
            return self.read_whole(guard, response, limit).await.map(AttemptResult::Refused);
        }
        let buffer = self.shared.response_memory.buffer(&guard.replica().id, MAX_KEPT_BYTES);
        let mut reader = TokenEventReader::new(&self.id, self.attempts.number(), next, buffer);
        let mut body = response.into_body();
        // Whatever is received before the first event is no progress.
        let idle_since = Instant::now();
        loop {
            let idle_timeout = IDLE_TIMEOUT.saturating_sub(idle_since.elapsed()).min(self.attempts.time_left());
            let frame = poll_fn(|context| match reader.poll_given_up(context) {
                Poll::Ready(error) => Poll::Ready(Err(error)),
                Poll::Pending => Pin::new(&mut body).poll_frame(context).map(Ok),
            });
            let frame = match self.attempts.window().within(idle_timeout, frame).await.transpose() {
                Ok(frame) => frame,
                Err(error) => return Err(self.record_stream_error(guard, StreamError::TooLong(error))),
            };
            let first = reader.read(&read_frame(frame)?);
            if let Some(error) = reader.error().filter(|_| first.is_empty()) {
                return Err(self.record_stream_error(guard, error));
            }
            if first.is_empty() && idle_since.elapsed() >= IDLE_TIMEOUT.min(self.attempts.time_left()) {
                return Err(Failure::TimedOut);
            }
            if !first.is_empty() {
                self.count_tokens(reader.next_token() - next);
                if !self.is_answering {
                    let seconds = self.received.elapsed().as_secs_f64();
                    self.shared.metrics.first_token.with_label_values(&[&*self.route.name]).observe(seconds);
                    self.shared.observe_first_token(guard.replica(), &self.route.name, seconds);
                }
                return Ok(AttemptResult::Started(reader, body, first));
            }
        }
    }

    /// Sends an attempt. One that resumes an answer is sent whatever time is left.
    async fn send(&mut self, replica: &Replica, request: OutboundRequest) -> Result<Response, Failure> {
        let limit = IDLE_TIMEOUT.min(self.attempts.time_left());
        let is_shared = replica.echoes_ids();
        let client = &self.shared.client;
        let is_own = |head: &HeaderMap| self.is_own_response(head, is_shared);
        let window = self.attempts.window();
        let may_send = || self.is_answering || window.allows_run();
        let sending = async {
            match is_shared {
                true => client.send_owned(request, is_own, may_send).await,
                false => client.send_fresh_if(request, may_send).await,
            }
        };
        let result = self.attempts.window().within(limit, sending).await;
        match result {
            None => {
                self.attempts.mark_sent();
                Err(Failure::TimedOut)
            }
            Some(Err(SendError::NotSent)) => Err(Failure::ConnectFailed),
            Some(Err(SendError::MaybeSent)) => {
                self.attempts.mark_sent();
                Err(Failure::Disconnected)
            }
            Some(Err(SendError::HeadTooLong(sent))) => {
                self.attempts.mark_sent();
                record_long_head(&self.shared, &self.id, replica, sent);
                Err(Failure::HeadTooLong)
            }
            Some(Ok(response)) => {
                self.attempts.mark_sent();
                let owner = ResponseOwner::of(response.headers(), &self.id);
                replica.set_echoes_ids(owner != ResponseOwner::Unknown);
                self.check_response_id(response, is_shared)
            }
        }
    }

    /// Whether a response has neither the id of another request nor the number of another attempt, and has an id if its
    /// connection may have carried other requests (`is_shared`).
    fn is_own_response(&self, head: &HeaderMap, is_shared: bool) -> bool {
        let is_own = match ResponseOwner::of(head, &self.id) {
            ResponseOwner::Request => true,
            ResponseOwner::Unknown => !is_shared,
            ResponseOwner::Other => false,
        };
        let number = self.attempts.number().to_string();
        is_own && head.get("x-attempt").is_none_or(|value| value.as_bytes() == number.as_bytes())
    }

    /// Rejects a response that is not the attempt's own.
    fn check_response_id(&self, response: Response, is_shared: bool) -> Result<Response, Failure> {
        if self.is_own_response(response.headers(), is_shared) {
            return Ok(response);
        }
        self.shared.metrics.dropped.with_label_values(&["crossed"]).inc();
        Err(Failure::WrongResponse)
    }

    /// Records why a stream cannot be continued; returns the failure of its attempt.
    pub fn record_stream_error(&self, guard: &ReplicaGuard, error: StreamError) -> Failure {
        let label = match error {
            StreamError::Crossed => "crossed",
            StreamError::Gap => "gap",
            StreamError::Malformed => "malformed",
            StreamError::TooLong(error) => return self.record_too_long(guard, "event", &error),
        };
        self.shared.metrics.dropped.with_label_values(&[label]).inc();
        Failure::WrongResponse
    }

    fn record_too_long(&self, guard: &ReplicaGuard, kind: &str, error: &TooLong) -> Failure {
        self.shared.response_memory.record_too_long(&self.id, &guard.replica().id, kind, error);
        Failure::of_too_long(error)
    }

    async fn run_buffered(mut self) -> Result<Response, Refusal> {
        loop {
            let guard = match self.attempts.next_attempt(false).await {
                Ok(guard) => guard,
                Err(refusal) => return self.pass_held(refusal).await,
            };
            let replica = guard.replica().clone();
            let failure = match self.try_buffered(&guard).await {
                Ok(response) => {
                    self.attempts.record_success(&replica);
                    self.attempts.window().record_answer(response.status(), self.received);
                    self.count_end("whole");
                    self.shared.observe(&replica, &self.route.name, Sample::Good);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            self.shared.observe(&replica, &self.route.name, Sample::Failed);
            self.shared.metrics.recomputed.inc_by((self.body.len() / BYTES_PER_TOKEN) as u64);
            self.attempts.record_failure(&guard, failure).await;
            if let Some(error) = self.error.take() {
                self.held = Some((error, guard));
            }
        }
    }

    async fn try_buffered(&mut self, guard: &ReplicaGuard) -> Result<Response, Failure> {
        let request = self.build_request(guard, self.body.clone());
        let response = self.send(guard.replica(), request).await?;
        let response = if response.status() == StatusCode::OK { response } else { self.pass_client_error(response)? };
        self.read_whole(guard, response, self.attempts.time_left()).await
    }

    /// Reads a response that is not passed on as it comes, for up to `limit`.
    async fn read_whole(&self, guard: &ReplicaGuard, response: Response, limit: Duration) -> Result<Response, Failure> {
        let (mut parts, body) = response.into_parts();
        let reading = self.shared.response_memory.collect(body, &guard.replica().id, MAX_RESPONSE_BYTES);
        let answer = match self.attempts.window().within(limit, reading).await {
            None => return Err(Failure::TimedOut),
            Some(Err(ReadError::Broken)) => return Err(Failure::Disconnected),
            Some(Err(ReadError::TooLong(error))) => return Err(self.record_too_long(guard, "body", &error)),
            Some(Ok(answer)) => answer,
        };
        let is_json = |bytes: &[u8]| serde_json::from_slice::<serde::de::IgnoredAny>(bytes).is_ok();
        if parts.status == StatusCode::OK {
            let bytes = answer.bytes().map_err(|error| self.record_too_long(guard, "body", &error))?;
            if !is_json(&bytes) {
                return Err(Failure::Disconnected);
            }
        }
        super::headers::drop_hop_by_hop(&mut parts.headers);
        parts.headers.remove("x-attempt");
        let body = KeptBody::body(answer, &self.shared, &self.id, &guard.replica().id);
        Ok(Response::from_parts(parts, body))
    }

    fn build_request(&self, guard: &ReplicaGuard, body: Bytes) -> OutboundRequest {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert("x-request-id", id);
        }
        headers.insert("x-attempt", HeaderValue::from(self.attempts.number()));
        let address = guard.replica().address;
        OutboundRequest { address, method: Method::POST, path: self.path.clone(), headers, body: Body::from(body) }
    }

    /// Builds the body of an attempt: adds the route's priority and, once tokens have been forwarded, where to resume.
    fn attempt_body(&self, next: u64) -> Bytes {
        if next == 0 && self.route.priority == 0 {
            return self.body.clone();
        }
        let Ok(mut body) = serde_json::from_slice::<Map<String, Value>>(&self.body) else {
            return self.body.clone();
        };
        if next > 0 {
            body.insert("resume".into(), json!({ "tokens": next, "kv_from": self.kv_from }));
        }
        body.entry("priority").or_insert(self.route.priority.into());
        Bytes::from(Value::Object(body).to_string())
    }
}

fn read_frame(frame: Option<Option<Result<Frame<Bytes>, BoxError>>>) -> Result<Bytes, Failure> {
    match frame {
        None => Err(Failure::TimedOut),
        Some(None | Some(Err(_))) => Err(Failure::Disconnected),
        Some(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
    }
}
