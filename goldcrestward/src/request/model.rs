//! Requests to model engines: streamed answers that are resumed elsewhere when a replica fails.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::time::timeout;
use volo_http::{body::Body, error::BoxError, response::Response};

use super::{
    attempt::{Attempts, Failure},
    crash::fingerprint,
    model_body::ModelBody,
    refusal::{Reason, Refusal},
    token_events::{StreamError, TokenEventReader},
};
use crate::{
    config::{Account, Route},
    connection::{OutboundRequest, SendError},
    process::{AdmissionPermit, InFlight, ReplicaGuard, Shared},
    util::stable_hash,
    version::Sample,
};

/// Bytes of the prompt by which requests with a common prefix are brought together.
const PREFIX_BYTES: usize = 512;
/// Time for a replica to send the next piece.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of an answer that is not streamed.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of text that one token stands for, about.
const TOKEN_BYTES: usize = 5;

/// What the daemon reads of a request's body.
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
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl CompletionRequest {
    /// A hash that all requests of a conversation have in common.
    fn conversation(&self, account: &str) -> u64 {
        if let Some(user) = &self.user {
            return stable_hash(&[account.as_bytes(), user.as_bytes()]);
        }
        let opening = self.messages.iter().position(|m| m.role == "user").map_or(0, |at| at + 1);
        let contents = self.messages[..opening].iter().map(|m| &m.content);
        let texts: Vec<_> = contents.chain(&self.prompt).map(ToString::to_string).collect();
        stable_hash(&[account.as_bytes(), texts.concat().as_bytes()])
    }

    fn prefix(&self) -> String {
        let mut prefix = String::new();
        let contents = self.messages.iter().map(|m| &m.content);
        for content in contents.chain(&self.prompt) {
            match content {
                Value::String(text) => prefix.push_str(text),
                other => prefix.push_str(&other.to_string()),
            }
            if prefix.len() >= PREFIX_BYTES {
                break;
            }
        }
        let end = prefix.floor_char_boundary(PREFIX_BYTES);
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
    attempts: Attempts,
    received: Instant,
    kv_from: Option<SocketAddr>,
    admitted: AdmissionPermit,
    _in_flight: InFlight,
}

/// An attempt whose answer has begun.
pub(crate) struct OpenedStream {
    /// The replica that answers.
    pub guard: ReplicaGuard,
    /// Checks the answer.
    pub reader: TokenEventReader,
    /// What is still to come.
    pub body: Body,
    /// The first events.
    pub first: Bytes,
}

/// How an attempt to open a stream ended.
pub(crate) enum OpenResult {
    /// The answer has begun.
    Started(Box<OpenedStream>),
    /// The engine has answered with a refusal of its own.
    Refused(Response),
}

/// What one attempt to open a stream gave.
enum AttemptResult {
    Started(TokenEventReader, Body, Bytes),
    Refused(Response),
}

impl ModelCall {
    /// Reads the request's body.
    ///
    /// # Errors
    /// Gives the refusal when the body is wrong or the account may not use the model.
    pub fn new(
        shared: Arc<Shared>,
        account: &Account,
        admitted: AdmissionPermit,
        id: Arc<str>,
        path: String,
        body: Bytes,
    ) -> Result<Self, Refusal> {
        let received = Instant::now();
        let ask: CompletionRequest = serde_json::from_slice(&body)
            .map_err(|error| Refusal::not_run(Reason::BadRequest, format!("could not read the body: {error}")))?;
        let in_force = shared.in_force.load_full();
        let Some(route) = in_force.site.model_route(&ask.model) else {
            return Err(Refusal::not_run(Reason::UnknownModel, format!("there is no model {}", ask.model)));
        };
        if !account.routes.is_empty() && !account.routes.contains(&route.name) {
            let message = format!("the account may not use model {}", ask.model);
            return Err(Refusal::not_run(Reason::Forbidden, message));
        }
        let print = fingerprint(&account.name, &path, &body);
        let key = stable_hash(&[ask.prefix().as_bytes()]);
        let version = shared.choose_version(&route.pool, ask.conversation(&account.name));
        let attempts = Attempts::new(shared.clone(), route.clone(), print, key, version);
        let _in_flight = InFlight::new(&shared);
        let (route, stream) = (route.clone(), ask.stream);
        Ok(Self { shared, route, id, path, body, stream, attempts, received, kv_from: None, admitted, _in_flight })
    }

    /// Runs the request.
    ///
    /// # Errors
    /// Gives the refusal when no answer could be begun.
    pub async fn run(mut self) -> Result<Response, Refusal> {
        if !self.stream {
            return self.run_whole().await;
        }
        match self.open(0).await? {
            OpenResult::Refused(response) => Ok(response),
            OpenResult::Started(open) => Ok(self.begin(*open)),
        }
    }

    fn begin(self, open: OpenedStream) -> Response {
        let id = HeaderValue::from_str(&self.id);
        let mut response = Response::new(Body::from_body(ModelBody::new(self, open)));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        if let Ok(id) = id {
            headers.insert("x-request-id", id);
        }
        response
    }

    /// Opens a stream elsewhere after one has failed at token `next`.
    pub async fn reopen(&mut self, failed: &ReplicaGuard, failure: Failure, next: u64) -> Result<OpenResult, Refusal> {
        let replica = failed.replica().clone();
        self.kv_from = (failure == Failure::Leaving).then_some(replica.address);
        if failure != Failure::Leaving {
            self.shared.observe(&replica, &self.route.name, Sample::Failed);
        }
        let way = if self.kv_from.is_some() { "import" } else { "recompute" };
        self.shared.metrics.resumed.with_label_values(&[way]).inc();
        if self.kv_from.is_none() {
            let prompt = (self.body.len() / TOKEN_BYTES) as u64;
            self.shared.metrics.recomputed.inc_by(prompt + next);
        }
        self.attempts.record_failure(failed, failure).await;
        self.open(next).await
    }

    /// Counts how the request ended.
    pub fn end(&self, how: &str) {
        self.shared.metrics.requests.with_label_values(&[&*self.route.name, how]).inc();
    }

    /// Counts that the replica answered whole.
    pub fn succeeded(&self, guard: &ReplicaGuard) {
        self.attempts.record_success(guard.replica());
        self.shared.observe(guard.replica(), &self.route.name, Sample::Good);
    }

    /// Counts tokens passed on, and charges the account for them.
    pub fn passed(&self, tokens: u64) {
        self.shared.metrics.tokens.inc_by(tokens);
        self.admitted.charge(tokens);
    }

    /// The daemon's tables.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Opens a stream from token `next` on, with as many attempts as are allowed.
    async fn open(&mut self, next: u64) -> Result<OpenResult, Refusal> {
        loop {
            let guard = self.attempts.next_attempt(next > 0).await?;
            match self.try_open(&guard, next).await {
                Ok(AttemptResult::Refused(response)) => return Ok(OpenResult::Refused(response)),
                Ok(AttemptResult::Started(reader, body, first)) => {
                    guard.record_first_token();
                    return Ok(OpenResult::Started(Box::new(OpenedStream { guard, reader, body, first })));
                }
                Err(failure) => {
                    if !guard.replica().is_leaving() {
                        self.shared.observe(guard.replica(), &self.route.name, Sample::Failed);
                    }
                    self.attempts.record_failure(&guard, failure).await;
                }
            }
        }
    }

    async fn try_open(&mut self, guard: &ReplicaGuard, next: u64) -> Result<AttemptResult, Failure> {
        let call = self.call(guard, self.attempt_body(next));
        let response = self.send(call).await?;
        if response.status() != StatusCode::OK {
            return pass_error(response).map(AttemptResult::Refused);
        }
        let mut reader = TokenEventReader::new(&self.id, self.attempts.number(), next);
        let mut body = response.into_body();
        loop {
            let silence = IDLE_TIMEOUT.min(self.attempts.time_left());
            let data = read_frame(timeout(silence, body.frame()).await)?;
            let (first, broken) = reader.read(&data);
            if let Some(broken) = broken.filter(|_| first.is_empty()) {
                self.count_stream_error(broken);
                return Err(Failure::WrongResponse);
            }
            if !first.is_empty() {
                self.passed(reader.next_token() - next);
                if next == 0 {
                    let seconds = self.received.elapsed().as_secs_f64();
                    self.shared.metrics.first_token.with_label_values(&[&*self.route.name]).observe(seconds);
                    self.shared.observe_first_token(guard.replica(), &self.route.name, seconds);
                }
                return Ok(AttemptResult::Started(reader, body, first));
            }
        }
    }

    async fn send(&mut self, call: OutboundRequest) -> Result<Response, Failure> {
        let limit = IDLE_TIMEOUT.min(self.attempts.time_left());
        let result = timeout(limit, self.shared.client.send(call)).await;
        match result {
            Err(_) => {
                self.attempts.mark_sent();
                Err(Failure::TimedOut)
            }
            Ok(Err(SendError::NotSent)) => Err(Failure::ConnectFailed),
            Ok(Err(SendError::MaybeSent)) => {
                self.attempts.mark_sent();
                Err(Failure::Disconnected)
            }
            Ok(Ok(response)) => {
                self.attempts.mark_sent();
                self.check_response_id(response)
            }
        }
    }

    /// An answer that bears another request's id or another attempt's number is not ours.
    fn check_response_id(&self, response: Response) -> Result<Response, Failure> {
        let bears = |name: &str, wanted: &str| {
            response.headers().get(name).is_none_or(|value| value.as_bytes() == wanted.as_bytes())
        };
        if bears("x-request-id", &self.id) && bears("x-attempt", &self.attempts.number().to_string()) {
            return Ok(response);
        }
        self.shared.metrics.dropped.with_label_values(&["crossed"]).inc();
        Err(Failure::WrongResponse)
    }

    /// Counts why a stream could not go on.
    pub fn count_stream_error(&self, broken: StreamError) {
        let label = match broken {
            StreamError::Crossed => "crossed",
            StreamError::Gap => "gap",
            StreamError::Malformed => "malformed",
        };
        self.shared.metrics.dropped.with_label_values(&[label]).inc();
    }

    async fn run_whole(mut self) -> Result<Response, Refusal> {
        loop {
            let guard = self.attempts.next_attempt(false).await?;
            let replica = guard.replica().clone();
            let failure = match self.try_whole(&guard).await {
                Ok(response) => {
                    self.attempts.record_success(&replica);
                    self.end("whole");
                    self.shared.observe(&replica, &self.route.name, Sample::Good);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            self.shared.observe(&replica, &self.route.name, Sample::Failed);
            self.shared.metrics.recomputed.inc_by((self.body.len() / TOKEN_BYTES) as u64);
            self.attempts.record_failure(&guard, failure).await;
        }
    }

    async fn try_whole(&mut self, guard: &ReplicaGuard) -> Result<Response, Failure> {
        let call = self.call(guard, self.body.clone());
        let response = self.send(call).await?;
        let response = if response.status() == StatusCode::OK { response } else { pass_error(response)? };
        let (mut parts, body) = response.into_parts();
        let limited = http_body_util::Limited::new(body, ANSWER_BYTES);
        let whole = timeout(self.attempts.time_left(), limited.collect()).await;
        let bytes = match whole {
            Err(_) => return Err(Failure::TimedOut),
            Ok(Err(_)) => return Err(Failure::Disconnected),
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        if parts.status == StatusCode::OK && serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_err() {
            return Err(Failure::Disconnected);
        }
        super::headers::drop_hop_by_hop(&mut parts.headers);
        parts.headers.remove("x-attempt");
        Ok(Response::from_parts(parts, Body::from(bytes)))
    }

    fn call(&self, guard: &ReplicaGuard, body: Bytes) -> OutboundRequest {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert("x-request-id", id);
        }
        headers.insert("x-attempt", HeaderValue::from(self.attempts.number()));
        let address = guard.replica().address;
        OutboundRequest { address, method: Method::POST, path: self.path.clone(), headers, body: Body::from(body) }
    }

    /// The body of an attempt, which tells the engine where to go on.
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

/// An engine's own refusal is a whole answer; its failures are not.
fn pass_error(response: Response) -> Result<Response, Failure> {
    if response.status().is_client_error() {
        return Ok(response);
    }
    Err(Failure::ErrorStatus)
}

fn read_frame(
    frame: Result<Option<Result<Frame<Bytes>, BoxError>>, tokio::time::error::Elapsed>,
) -> Result<Bytes, Failure> {
    match frame {
        Err(_) => Err(Failure::TimedOut),
        Ok(None | Some(Err(_))) => Err(Failure::Disconnected),
        Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
    }
}
