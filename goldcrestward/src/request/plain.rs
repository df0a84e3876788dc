//! Requests to plain services: retried on repeatable routes, run at most once on the others.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body::Frame;
use http_body_util::BodyExt;
use log::{debug, info};
use tokio::{task::JoinHandle, time::timeout};
use volo_http::{body::Body, response::Response};

use super::{
    admission::Admission,
    attempt::{Attempts, Failure},
    bounded_body::BoundedBody,
    crash::fingerprint,
    headers::drop_hop_by_hop,
    kept_body::KeptBody,
    passed_body::PassedBody,
    pending_answer::{OvertakenRequest, PendingAnswer},
    refusal::{Reason, Refusal, RunState},
    response_owner::ResponseOwner,
    run_window::{Phase, RunWindow},
};
use crate::{
    config::Route,
    connection::{OutboundRequest, SendError},
    ledger::{Claim, ClaimAnswer, Key, Settlement, ledger_key},
    pb::{self, Grant},
    process::{AdmissionPermit, InFlight, ReadError, Replica, ReplicaGuard, Shared, record_long_head},
    util::stable_hash,
    version::Sample,
};

/// Size up to which the ledger keeps the body of an outcome; of a longer one it keeps only status and content type.
const MAX_OUTCOME_BYTES: usize = 4 * 1024;
/// Size limit of the response to a request that must not be repeated.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
const MAX_KEY_BYTES: usize = 255;
/// How long a response is held back for its outcome to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after which a lookup is also sent to a second replica.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// A request to a plain service.
pub(crate) struct PlainCall {
    shared: Arc<Shared>,
    account: Arc<str>,
    route: Arc<Route>,
    id: Arc<str>,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    rest: Option<Body>,
    fingerprint: u64,
    attempts: Attempts,
    /// The last back end's error, until another attempt is answered.
    held: Option<Answered>,
    received: Instant,
    _admitted: AdmissionPermit,
    _in_flight: InFlight,
}

/// A request to one replica.
struct OutboundCall {
    shared: Arc<Shared>,
    replica: Arc<Replica>,
    id: Arc<str>,
    request: OutboundRequest,
}

/// A response, with the place at the replica that gives it.
type Answered = (Response, ReplicaGuard);

/// The head of a request to a plain service.
pub(crate) struct PlainRequestHead {
    /// The request's id.
    pub id: Arc<str>,
    /// The request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}

/// The body of a request, as far as it has been read.
pub(crate) struct ReceivedBody {
    /// The part that has been read.
    pub start: Bytes,
    /// The unread part; `None` if the body has been read completely.
    pub rest: Option<Body>,
}

impl ReceivedBody {
    /// A body that has been read completely.
    pub fn complete(start: Bytes) -> Self {
        Self { start, rest: None }
    }

    /// The whole body, from its start.
    pub fn into_body(self) -> Body {
        let Some(rest) = self.rest else { return Body::from(self.start) };
        let start = futures_util::stream::iter([Ok(Frame::data(self.start))]);
        Body::from_stream(start.chain(rest.into_data_stream().map(|piece| piece.map(Frame::data))))
    }
}

impl PlainCall {
    /// Creates a request that has been admitted.
    pub fn new(
        shared: Arc<Shared>,
        admission: Admission,
        _admitted: AdmissionPermit,
        request: PlainRequestHead,
        received: ReceivedBody,
    ) -> Self {
        let PlainRequestHead { id, method, path, mut headers } = request;
        let ReceivedBody { start: body, rest } = received;
        let (route, account) = (admission.route.clone(), admission.account_name());
        drop_hop_by_hop(&mut headers);
        headers.remove(header::AUTHORIZATION);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        if let Ok(value) = HeaderValue::from_str(&account) {
            headers.insert("x-account", value);
        }
        if let Ok(value) = HeaderValue::from_str(&id) {
            headers.insert("x-request-id", value);
        }
        let fingerprint = fingerprint(&account, &path, &body);
        let version = shared.choose_version(&route.pool, stable_hash(&[id.as_bytes()]));
        let key = stable_hash(&[id.as_bytes()]);
        let attempts = Attempts::new(shared.clone(), id.clone(), admission, fingerprint, key, version);
        let attempts = if route.repeatable { attempts.passed_on() } else { attempts };
        let _in_flight = InFlight::new(&shared);
        let received = Instant::now();
        Self {
            shared,
            account,
            route,
            id,
            method,
            path,
            headers,
            body,
            rest,
            fingerprint,
            attempts,
            held: None,
            received,
            _admitted,
            _in_flight,
        }
    }

    /// Runs the request and returns the response, whose body may still be streaming.
    ///
    /// # Errors
    /// Returns a refusal if no back end responded.
    pub async fn run(self) -> Result<Response, Refusal> {
        let (shared, route, received) = (self.shared.clone(), self.route.clone(), self.received);
        let result = match (self.rest.is_some(), self.route.repeatable) {
            (true, _) => self.run_streamed().await,
            (false, true) => self.run_repeatable().await,
            (false, false) => self.run_once().await,
        };
        let end = if result.is_ok() { "whole" } else { "refused" };
        shared.metrics.requests.with_label_values(&[&*route.name, end]).inc();
        let seconds = received.elapsed().as_secs_f64();
        shared.metrics.plain_seconds.with_label_values(&[&*route.name]).observe(seconds);
        result
    }

    async fn run_repeatable(mut self) -> Result<Response, Refusal> {
        let hedged = self.route.lookup && (self.method == Method::GET || self.method == Method::HEAD);
        loop {
            let guard = match self.attempts.next_attempt(false).await {
                Ok(guard) => guard,
                Err(refusal) => return self.pass_held(refusal),
            };
            let answered = if hedged { self.send_hedged(guard).await } else { self.send_to(guard).await };
            if let Some((response, guard)) = answered {
                return Ok(self.pass_through(response, guard));
            }
        }
    }

    /// Streams a long body to the back end. A sent body cannot be sent again, so the request is not retried.
    async fn run_streamed(mut self) -> Result<Response, Refusal> {
        let Some(rest) = self.rest.take() else { return self.run_repeatable().await };
        let guard = self.attempts.next_attempt(false).await?;
        let body = ReceivedBody { start: self.body.clone(), rest: Some(rest) }.into_body();
        let request = OutboundRequest { body, ..self.build_request(&guard) };
        let result = send(self.outbound(&guard, request), self.attempts.window().clone()).await;
        match self.record(result, guard).await {
            Some((response, guard)) => Ok(self.pass_through(response, guard)),
            None if self.attempts.window().has_ended() => Err(self.attempts.give_up()),
            None => {
                let refusal = self.attempts.refuse(Reason::BackendFailed, "the back end did not take the whole body");
                self.pass_held(refusal)
            }
        }
    }

    /// Passes on the error that is held, as no other attempt has been answered, or else the refusal.
    fn pass_held(mut self, refusal: Refusal) -> Result<Response, Refusal> {
        let Some((response, guard)) = self.held.take() else { return Err(refusal) };
        if self.attempts.window().has_ended() {
            return Err(refusal);
        }
        let (id, instance, status) = (&self.id, &guard.replica().id, response.status().as_u16());
        let why = refusal.reason.label();
        info!("event=held-answer-passed id={id} instance={instance} status={status} why={why}");
        Ok(self.pass_through(response, guard))
    }

    /// Streams the response body to the caller; replica, admission and in-flight count are released at its end.
    fn pass_through(self, response: Response, guard: ReplicaGuard) -> Response {
        let (mut parts, body) = response.into_parts();
        drop_hop_by_hop(&mut parts.headers);
        let (window, started) = (self.attempts.window().clone(), self.received);
        let held = (self._admitted, self._in_flight);
        let body = PassedBody::new(self.shared, self.id, self.route, body, guard, held);
        BoundedBody::bound(Response::from_parts(parts, Body::from_body(body)), window, Some(started))
    }

    async fn send_to(&mut self, guard: ReplicaGuard) -> Option<Answered> {
        let PendingAnswer { guard, answer, .. } = self.begin(guard);
        let result = answer.await;
        self.record(result, guard).await
    }

    /// Sends a lookup to a second replica too if the first is slow and the retry budget allows it.
    async fn send_hedged(&mut self, guard: ReplicaGuard) -> Option<Answered> {
        let mut first = self.begin(guard);
        if let Ok(result) = timeout(HEDGE_DELAY, &mut first.answer).await {
            return self.record(result, first.guard).await;
        }
        let Some(mut second) = self.begin_second(&first) else {
            let result = first.answer.await;
            return self.record(result, first.guard).await;
        };
        let (result, ended, other) = tokio::select! {
            result = &mut first.answer => (result, first, second),
            result = &mut second.answer => (result, second, first),
        };
        if result.as_ref().map_or(true, |response| response.status().is_server_error()) {
            let (_, result) = tokio::join!(self.record(result, ended.guard), other.answer);
            return self.record(result, other.guard).await;
        }
        let (shared, route, id) = (self.shared.clone(), self.route.clone(), self.id.clone());
        let (fingerprint, window) = (self.fingerprint, self.attempts.window().clone());
        OvertakenRequest { shared, route, id, fingerprint, window }.follow(other);
        self.record(result, ended.guard).await
    }

    fn begin_second(&self, first: &PendingAnswer) -> Option<PendingAnswer> {
        if !self.attempts.window().allows_run() {
            return None;
        }
        let guard = self.attempts.choose_hedge(first.guard.replica())?;
        if !self.shared.route_retry_budgets.withdraw(&self.route.name) {
            return None;
        }
        self.shared.metrics.retries.with_label_values(&["hedged"]).inc();
        Some(self.begin(guard))
    }

    fn begin(&self, guard: ReplicaGuard) -> PendingAnswer {
        let call = self.outbound(&guard, self.build_request(&guard));
        let answer = Box::pin(send(call, self.attempts.window().clone()));
        PendingAnswer { guard, answer, sent_at: Instant::now() }
    }

    /// Records what came of a request to one replica; returns the response if there is one.
    async fn record(&mut self, result: Result<Response, Failure>, guard: ReplicaGuard) -> Option<Answered> {
        if !matches!(result, Err(Failure::ConnectFailed)) {
            self.attempts.mark_sent();
        }
        match result {
            Ok(response) if response.status().is_server_error() => {
                self.shared.observe(guard.replica(), &self.route.name, Sample::Failed);
                self.attempts.record_failure(&guard, Failure::ErrorStatus).await;
                self.held = Some((response, guard));
                None
            }
            Ok(response) => {
                self.attempts.record_success(guard.replica());
                self.shared.observe(guard.replica(), &self.route.name, Sample::Good);
                Some((response, guard))
            }
            Err(failure) => {
                self.shared.observe(guard.replica(), &self.route.name, Sample::Failed);
                self.attempts.record_failure(&guard, failure).await;
                None
            }
        }
    }

    fn outbound(&self, guard: &ReplicaGuard, request: OutboundRequest) -> OutboundCall {
        OutboundCall { shared: self.shared.clone(), replica: guard.replica().clone(), id: self.id.clone(), request }
    }

    fn build_request(&self, guard: &ReplicaGuard) -> OutboundRequest {
        OutboundRequest {
            address: guard.replica().address,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: Body::from(self.body.clone()),
        }
    }

    /// Runs a request that must not be repeated, in a task that continues when the caller disconnects.
    async fn run_once(self) -> Result<Response, Refusal> {
        let key = self.idempotency_key()?;
        let key = ledger_key(&self.account, &self.route.name, &key);
        let tasks = self.shared.tasks.clone();
        let task = tasks.spawn(self.claim_and_run(key));
        task.await.unwrap_or_else(|_| {
            let message = "the request's task ended early";
            Err(Refusal::may_have_run(Reason::BackendFailed, message))
        })
    }

    fn idempotency_key(&self) -> Result<String, Refusal> {
        let refuse = |message: &str| Refusal::not_run(Reason::KeyRequired, message);
        let value = self.headers.get("idempotency-key");
        let value = value.ok_or_else(|| refuse("this route needs an Idempotency-Key"))?;
        let key = value.to_str().map_err(|_| refuse("the Idempotency-Key must be printable"))?;
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(refuse("the Idempotency-Key must have 1 to 255 characters"));
        }
        Ok(key.to_owned())
    }

    async fn claim_and_run(mut self, key: Key) -> Result<Response, Refusal> {
        let window = self.attempts.window().clone();
        window.check(Phase::Claim)?;
        let claim = Claim { key, fingerprint: self.fingerprint, request: self.id.clone() };
        let claiming = timeout(window.time_left(), self.shared.ledger.claim(claim));
        let refusal = match window.wait_for(Phase::Claim, claiming).await {
            Ok(Ok(Ok(claimed))) => return self.run_granted(key, claimed).await,
            Ok(Ok(Err(error))) => {
                Refusal::not_run(Reason::LedgerUnavailable, error.to_string()).with_retry_after(Duration::from_secs(2))
            }
            Ok(Err(_)) if window.has_ended() => window.give_up(RunState::NotRun),
            Ok(Err(_)) => Refusal::not_run(Reason::Deadline, "the request's time is over"),
            Err(refusal) => refusal,
        };
        self.settle(key, false, None);
        Err(refusal)
    }

    async fn run_granted(&mut self, key: Key, claimed: ClaimAnswer) -> Result<Response, Refusal> {
        let grant = claimed.grant;
        self.shared.metrics.ledger_grants.with_label_values(&[grant.as_str_name()]).inc();
        if grant == Grant::Run {
            return self.run_claimed(key).await;
        }
        if let (Grant::Done, Some(outcome)) = (grant, &claimed.outcome) {
            return replay(outcome);
        }
        Err(self.refuse_grant(grant, key))
    }

    fn refuse_grant(&self, grant: Grant, key: Key) -> Refusal {
        match grant {
            Grant::InProgress => Refusal::may_have_run(Reason::InProgress, "a request with this key is running")
                .with_retry_after(Duration::from_secs(1)),
            Grant::MayHaveRun | Grant::Done => {
                let message = "a request with this key may have run; its outcome is not known";
                Refusal::may_have_run(Reason::EarlierMayHaveRun, message)
            }
            Grant::Mismatch => {
                let message = "the Idempotency-Key was used with other content";
                Refusal::not_run(Reason::KeyMismatch, message)
            }
            Grant::Full => Refusal::not_run(Reason::LedgerFull, "the ledger has no room for new keys")
                .with_retry_after(Duration::from_secs(60)),
            _ => {
                self.settle(key, false, None);
                let message = "the platform's service cannot record the request now";
                Refusal::not_run(Reason::LedgerUnavailable, message).with_retry_after(Duration::from_secs(2))
            }
        }
    }

    /// Sends a claimed request. It is retried only if the connection failed, as any other replica may have run it.
    async fn run_claimed(&mut self, key: Key) -> Result<Response, Refusal> {
        loop {
            let guard = match self.attempts.next_attempt(false).await {
                Ok(guard) => guard,
                Err(refusal) => {
                    self.settle(key, false, None);
                    return Err(refusal);
                }
            };
            let window = self.attempts.window();
            let sending = self.shared.client.send_fresh_if(self.build_request(&guard), || window.allows_run());
            match self.attempts.window().within(self.attempts.time_left(), sending).await {
                Some(Err(SendError::NotSent)) => self.attempts.record_failure(&guard, Failure::ConnectFailed).await,
                // The connection has carried nothing else, so a response without an id is the request's own.
                Some(Ok(response)) if ResponseOwner::of(response.headers(), &self.id) == ResponseOwner::Other => {
                    self.shared.metrics.dropped.with_label_values(&["crossed"]).inc();
                    return Err(self.record_unknown(key, &guard, Failure::WrongResponse).await);
                }
                Some(Ok(response)) => return self.finish_claimed(key, response, &guard).await,
                Some(Err(SendError::MaybeSent)) => {
                    return Err(self.record_unknown(key, &guard, Failure::Disconnected).await);
                }
                Some(Err(SendError::HeadTooLong(sent))) => {
                    record_long_head(&self.shared, &self.id, guard.replica(), sent);
                    return Err(self.record_unknown(key, &guard, Failure::HeadTooLong).await);
                }
                None => return Err(self.record_unknown(key, &guard, Failure::TimedOut).await),
            }
        }
    }

    async fn finish_claimed(
        &mut self,
        key: Key,
        response: Response,
        guard: &ReplicaGuard,
    ) -> Result<Response, Refusal> {
        let (mut parts, body) = response.into_parts();
        let (memory, instance) = (&self.shared.response_memory, &guard.replica().id);
        let reading = memory.collect(body, instance, MAX_RESPONSE_BYTES);
        let answer = match self.attempts.window().within(self.attempts.time_left(), reading).await {
            Some(Ok(answer)) => answer,
            Some(Err(ReadError::TooLong(error))) => {
                memory.record_too_long(&self.id, instance, "body", &error);
                return Err(self.record_unknown(key, guard, Failure::of_too_long(&error)).await);
            }
            None | Some(Err(ReadError::Broken)) => {
                return Err(self.record_unknown(key, guard, Failure::Disconnected).await);
            }
        };
        let content_type = parts.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let recorded = answer.bytes().ok().filter(|bytes| bytes.len() <= MAX_OUTCOME_BYTES);
        let (body_omitted, body) = (recorded.is_none(), recorded.map(Vec::from).unwrap_or_default());
        let status = u32::from(parts.status.as_u16());
        let outcome = pb::Outcome { status, content_type: content_type.to_owned(), body, body_omitted };
        // Recording the outcome first lets a retry at another daemon find it; the timeout limits the added latency.
        let recording = self.settle(key, true, Some(outcome));
        if self.attempts.window().within(RECORD_TIMEOUT, recording).await.is_none() {
            debug!("event=answered-before-record id={} route={}", self.id, self.route.name);
        }
        self.attempts.record_success(guard.replica());
        self.attempts.window().record_answer(parts.status, self.received);
        let sample = if parts.status.is_server_error() { Sample::Failed } else { Sample::Good };
        self.shared.observe(guard.replica(), &self.route.name, sample);
        drop_hop_by_hop(&mut parts.headers);
        let body = KeptBody::body(answer, &self.shared, &self.id, &guard.replica().id);
        Ok(Response::from_parts(parts, body))
    }

    async fn record_unknown(&mut self, key: Key, guard: &ReplicaGuard, failure: Failure) -> Refusal {
        self.settle(key, true, None);
        self.shared.observe(guard.replica(), &self.route.name, Sample::Failed);
        self.attempts.record_failure(guard, failure).await;
        if self.attempts.window().has_ended() {
            return self.attempts.window().give_up(RunState::MayHaveRun);
        }
        Refusal::may_have_run(Reason::BackendFailed, "the back end gave no whole answer; the call may have run")
    }

    fn settle(&self, key: Key, ran: bool, outcome: Option<pb::Outcome>) -> JoinHandle<()> {
        self.shared.ledger.settle(Settlement { key, request: self.id.clone(), ran, outcome })
    }
}

/// Sends a request, on an open connection only if the replica's responses bear the ids of their requests: a copy of an
/// earlier response could otherwise not be told from the request's own.
async fn send(call: OutboundCall, window: RunWindow) -> Result<Response, Failure> {
    let OutboundCall { shared, replica, id, request } = call;
    let echoes_ids = replica.echoes_ids();
    let is_own = |head: &HeaderMap| ResponseOwner::of(head, &id) == ResponseOwner::Request;
    let client = &shared.client;
    let may_send = || window.allows_run();
    let sending = async {
        match echoes_ids {
            true => client.send_owned(request, is_own, may_send).await,
            false => client.send_fresh_if(request, may_send).await,
        }
    };
    let response = match window.within(window.time_left(), sending).await {
        None => return Err(Failure::TimedOut),
        Some(Err(SendError::NotSent)) => return Err(Failure::ConnectFailed),
        Some(Err(SendError::MaybeSent)) => return Err(Failure::Disconnected),
        Some(Err(SendError::HeadTooLong(sent))) => {
            record_long_head(&shared, &id, &replica, sent);
            return Err(Failure::HeadTooLong);
        }
        Some(Ok(response)) => response,
    };
    match ResponseOwner::of(response.headers(), &id) {
        ResponseOwner::Request => replica.set_echoes_ids(true),
        ResponseOwner::Unknown if !echoes_ids => {}
        owner => {
            replica.set_echoes_ids(owner != ResponseOwner::Unknown);
            shared.metrics.dropped.with_label_values(&["crossed"]).inc();
            return Err(Failure::WrongResponse);
        }
    }
    Ok(response)
}

/// Builds a response from the recorded outcome.
///
/// # Errors
/// Returns a refusal if the body has not been recorded, as a response without it would look whole.
fn replay(outcome: &pb::Outcome) -> Result<Response, Refusal> {
    if outcome.body_omitted {
        let message = format!(
            "a request with this key has run and was answered with status {}; the answer was too long to be recorded",
            outcome.status
        );
        return Err(Refusal::may_have_run(Reason::EarlierMayHaveRun, message));
    }
    let mut response = Response::new(Body::from(outcome.body.clone()));
    if let Ok(status) = u16::try_from(outcome.status).map_err(drop).and_then(|s| s.try_into().map_err(drop)) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&outcome.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert("x-replayed", HeaderValue::from_static("true"));
    Ok(response)
}
