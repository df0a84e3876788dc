//! Requests that are passed through to backend servers, one attempt after another where that is allowed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, Request as HttpRequest, Response as HttpResponse, header, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use log::{debug, info};
use tokio::time::timeout;
use volo_http::{body::Body, response::Response};

use super::{
    crash::{CrashRecords, fingerprint, record_crash},
    headers::drop_hop_by_hop,
    numbered_events::EventSequence,
    outcome::{Exchange, Failure, MigratedRun, OpenStream, ProxyResponse},
    placement::PlacementRequest,
    proxy_body::ProxyBody,
    refusal::{Reason, Refusal, RunState},
};
use crate::{
    config::{Account, Route, RouteKind},
    connection::{BackendConnection, SendError},
    port::{AttemptMetadata, MigratedKvCache, RequestMetadata},
    process::{AttemptOutcome, Gateway, ReplicaGuard},
    version::Sample,
};

/// Bytes of an answer that is not a stream.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Servers that may turn out to be unreachable before a request is given up.
const UNREACHED: u32 = 3;
/// Least time that must be left for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Time allowed for moving a run.
const MOVE_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence after which an idempotent request is given to another server, as a multiple of its target.
const SILENCE_TARGETS: u32 = 3;
/// Bounds of that time.
const SILENCE: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(1_600));

/// The head of a request to be passed through.
pub(crate) struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}

/// Who asks, on which route, on what metadata.
pub(crate) struct AdmittedCaller {
    /// The route.
    pub route: Arc<Route>,
    /// The account, if the caller has one.
    pub account: Option<Arc<Account>>,
    /// What the request says of itself.
    pub metadata: RequestMetadata,
}

/// One request with what is known of its attempts.
pub(crate) struct ProxyCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    account: Option<Arc<Account>>,
    pub(super) metadata: RequestMetadata,
    head: RequestHead,
    body: Bytes,
    placement: PlacementRequest,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    sends: u32,
    unreached: u32,
    run: RunState,
    counted: bool,
    units: f64,
    kv_cache: Option<MigratedKvCache>,
}

impl ProxyCall {
    /// A request that has been admitted for `units` of its account's quota.
    pub fn new(
        gateway: Arc<Gateway>,
        caller: AdmittedCaller,
        mut head: RequestHead,
        body: Bytes,
        placement: PlacementRequest,
        units: f64,
    ) -> Self {
        let AdmittedCaller { route, account, metadata } = caller;
        drop_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(header::EXPECT);
        let name = account.as_ref().map_or("", |account| &account.name);
        let fingerprint = fingerprint(name, &head.path, &body);
        gateway.retries.lock().record_request(&placement.pool, gateway.shared.now());
        Self {
            gateway,
            route,
            account,
            metadata,
            head,
            body,
            placement,
            fingerprint,
            tried: Vec::new(),
            sends: 0,
            unreached: 0,
            run: RunState::NotRun,
            counted: false,
            units,
            kv_cache: None,
        }
    }

    /// Runs the request.
    ///
    /// # Errors
    /// Gives the refusal when there is no answer to pass on.
    pub async fn run(mut self) -> Result<Response, Refusal> {
        let mut order = EventSequence::new(self.metadata.resume_after);
        let answer = self.attempts(&mut order).await;
        if answer.is_err() && self.run == RunState::NotRun {
            self.give_back();
        }
        match answer? {
            ProxyResponse::Buffered(response) => Ok(*response),
            ProxyResponse::Stream(open) => {
                let OpenStream { head, body, link, guard, first } = *open;
                let kept = head.headers.clone();
                let passing = ProxyBody::new(self, order, body, link, guard, first, kept);
                Ok(Response::from_parts(outward(head), Body::from_body(passing)))
            }
        }
    }

    /// Makes attempts until one gives an answer. A stream goes on after the events that `order` has seen.
    pub(super) async fn attempts(&mut self, order: &mut EventSequence) -> Result<ProxyResponse, Refusal> {
        loop {
            let points = self.points()?;
            let found = self.placement.find(&self.gateway, &self.tried, points).await;
            let guard = found.map_err(|refusal| Refusal { run: self.run, ..refusal })?;
            let instance = guard.replica().id.clone();
            match self.attempt(guard, order).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    let repeat = self.may_retry(&failure);
                    let (id, label, sends) = (&self.metadata.id, failure.label(), self.sends);
                    info!(
                        "event=attempt-failed id={id} instance={instance} cause={label} sends={sends} repeat={repeat}"
                    );
                    self.tried.push(instance);
                    if !repeat {
                        return self.final_result(failure);
                    }
                    self.gateway.shared.metrics.retries.with_label_values(&[label]).inc();
                }
            }
        }
    }

    /// Time that is left for the request.
    pub(super) fn time_left(&self) -> Duration {
        self.placement.deadline.saturating_duration_since(Instant::now())
    }

    /// Time without a byte after which another server is asked, where that is allowed.
    pub(super) fn idle_timeout(&self) -> Duration {
        if !self.route.kind.is_idempotent() || self.sends > self.route.max_attempts {
            return self.time_left();
        }
        (self.route.latency_target * SILENCE_TARGETS).clamp(SILENCE.0, SILENCE.1).min(self.time_left())
    }

    /// Counts the request as begun at a server.
    pub(super) fn began(&mut self) {
        if let (false, Some(account)) = (self.counted, &self.account) {
            self.gateway.count_started(account);
        }
        self.counted = true;
    }

    /// Counts how the request went, as evidence on the server's version.
    pub(super) fn observe(&self, guard: &ReplicaGuard, sample: Sample) {
        self.gateway.shared.observe(guard.replica(), &self.route.name, sample);
    }

    fn observe_time(&self, guard: &ReplicaGuard, began: Instant) {
        if began.elapsed() > self.route.latency_target {
            self.observe(guard, Sample::Slow);
        }
    }

    pub(super) fn judge(&self, guard: &ReplicaGuard, verdict: AttemptOutcome) {
        guard.replica().record_verdict(verdict, self.gateway.shared.now());
    }

    fn points(&self) -> Result<u64, Refusal> {
        let view = self.gateway.shared.view.lock();
        let points = CrashRecords::score(view.facts(), self.fingerprint);
        if CrashRecords::is_blocked(view.facts(), self.fingerprint) {
            let message = "requests with this content have crashed backend servers";
            return Err(Refusal { run: self.run, ..Refusal::not_run(Reason::CrashesBackends, message) });
        }
        Ok(points)
    }

    fn give_back(&mut self) {
        if let (true, Some(account)) = (self.units > 0.0, &self.account) {
            self.gateway.quotas.lock().refund(&account.name, self.units);
            self.units = 0.0;
        }
    }

    fn may_retry(&mut self, failure: &Failure) -> bool {
        if self.time_left() < LEAST_LEFT {
            return false;
        }
        let allowed = match failure {
            Failure::ConnectFailed => {
                self.unreached += 1;
                return self.unreached <= UNREACHED;
            }
            Failure::NotRun => true,
            Failure::ErrorResponse(_) | Failure::Indeterminate(_) => self.route.kind.is_idempotent(),
        };
        let gateway = &self.gateway;
        let (daemons, now) = (gateway.shared.daemon_count(), gateway.shared.now());
        allowed
            && self.sends < self.route.max_attempts
            && gateway.retries.lock().take(&self.placement.pool, daemons, now)
    }

    fn final_result(&self, failure: Failure) -> Result<ProxyResponse, Refusal> {
        let refusal = |reason, message: &str| Err(Refusal { run: self.run, ..Refusal::not_run(reason, message) });
        match failure {
            Failure::ErrorResponse(response) => Ok(ProxyResponse::Buffered(response)),
            Failure::ConnectFailed => refusal(Reason::NoReplica, "no backend server could be reached"),
            Failure::NotRun => {
                let full = refusal(Reason::Overloaded, "the backend server had no room");
                full.map_err(|refusal| refusal.with_retry_after(Duration::from_millis(200)))
            }
            Failure::Indeterminate(_) if self.time_left() < LEAST_LEFT => {
                refusal(Reason::Deadline, "the request's time is over")
            }
            Failure::Indeterminate(_) => refusal(Reason::BackendFailed, "the backend server gave no whole answer"),
        }
    }

    async fn attempt(&mut self, guard: ReplicaGuard, order: &mut EventSequence) -> Result<ProxyResponse, Failure> {
        let began = Instant::now();
        let result = self.exchange(&guard, order).await;
        match result {
            Ok(Exchange::Buffered(response)) => {
                self.observe(&guard, Sample::Good);
                self.observe_time(&guard, began);
                self.judge(&guard, AttemptOutcome::Success);
                Ok(ProxyResponse::Buffered(Box::new(response)))
            }
            Ok(Exchange::Stream(head, body, link, first)) => {
                guard.record_first_token();
                self.observe(&guard, Sample::Good);
                self.observe_time(&guard, began);
                self.judge(&guard, AttemptOutcome::Success);
                Ok(ProxyResponse::Stream(Box::new(OpenStream { head, body, link, guard, first })))
            }
            Err(failure) => {
                match &failure {
                    Failure::NotRun => {}
                    Failure::ErrorResponse(_) => {
                        self.observe(&guard, Sample::Failed);
                        self.judge(&guard, AttemptOutcome::ErrorResponse);
                    }
                    Failure::Indeterminate(_) => {
                        self.observe(&guard, Sample::Failed);
                        self.judge(&guard, AttemptOutcome::Failure);
                    }
                    Failure::ConnectFailed => self.judge(&guard, AttemptOutcome::Failure),
                }
                if matches!(failure, Failure::ConnectFailed) {
                    guard.replica().eject_briefly(self.gateway.shared.now());
                }
                if matches!(failure, Failure::Indeterminate("cut")) {
                    record_crash(&self.gateway.shared, &guard, self.fingerprint).await;
                }
                Err(failure)
            }
        }
    }

    async fn exchange(&mut self, guard: &ReplicaGuard, order: &mut EventSequence) -> Result<Exchange, Failure> {
        let replica = guard.replica().clone();
        let opened = self.gateway.backend_connections.acquire(replica.address, &replica.id, self.time_left()).await;
        let mut link = opened.ok_or(Failure::ConnectFailed)?;
        // The server may have begun to leave while the connection was opened.
        if replica.is_leaving() {
            return Err(Failure::ConnectFailed);
        }
        let request = self.request(&replica.id, order.last());
        let (before, silence) = (self.run, self.idle_timeout());
        self.sends += 1;
        self.run = RunState::MayHaveRun;
        let sent = timeout(silence, link.send(request)).await;
        let response = match sent {
            Err(_) => return Err(Failure::Indeterminate("silent")),
            Ok(Err(SendError::MaybeSent)) => return Err(Failure::Indeterminate("cut")),
            Ok(Err(SendError::NotSent)) => {
                self.run = before;
                self.sends -= 1;
                return Err(Failure::ConnectFailed);
            }
            Ok(Ok(response)) => response,
        };
        let metadata =
            self.gateway.header_codec.decode_response(response.status(), response.headers(), &self.metadata.id);
        if let Some(load) = metadata.load {
            replica.set_reported_load(load, self.gateway.shared.now());
        }
        if metadata.not_run {
            self.run = before;
            self.discard(response, link).await;
            return Err(Failure::NotRun);
        }
        if !metadata.matches_request {
            return Err(Failure::Indeterminate("crossed"));
        }
        self.read(response, link, metadata.sealed && metadata.unencoded, order).await
    }

    async fn read(
        &mut self,
        response: HttpResponse<Incoming>,
        link: BackendConnection,
        trusted: bool,
        order: &mut EventSequence,
    ) -> Result<Exchange, Failure> {
        let (head, body) = response.into_parts();
        if !trusted {
            return Err(Failure::Indeterminate("unsealed"));
        }
        if head.status.is_success() && self.route.kind.is_stream() {
            return self.first_event(head, body, link, order).await;
        }
        let limited = Limited::new(body, ANSWER_BYTES).collect();
        let whole = match timeout(self.time_left(), limited).await {
            Err(_) => return Err(Failure::Indeterminate("silent")),
            Ok(Err(_)) => return Err(Failure::Indeterminate("cut")),
            Ok(Ok(whole)) => whole.to_bytes(),
        };
        self.began();
        link.release(&head.headers);
        let failed = head.status.is_server_error();
        let response = Response::from_parts(outward(head), Body::from(whole));
        if failed { Err(Failure::ErrorResponse(Box::new(response))) } else { Ok(Exchange::Buffered(response)) }
    }

    /// Waits for the first event, since before it another server may still be asked.
    async fn first_event(
        &mut self,
        head: Parts,
        mut body: Incoming,
        link: BackendConnection,
        order: &mut EventSequence,
    ) -> Result<Exchange, Failure> {
        order.restart();
        let limit = self.idle_timeout();
        let first = async {
            while let Some(frame) = body.frame().await {
                let Ok(data) = frame.map_err(drop).and_then(|frame| frame.into_data().map_err(drop)) else {
                    return Err(Failure::Indeterminate("cut"));
                };
                let (events, disorder) = order.read(&data);
                if disorder.is_some() {
                    return Err(Failure::Indeterminate("disorder"));
                }
                if !events.is_empty() {
                    return Ok(events);
                }
            }
            Err(Failure::Indeterminate("empty"))
        };
        let first = timeout(limit, first).await.unwrap_or(Err(Failure::Indeterminate("silent")))?;
        self.began();
        Ok(Exchange::Stream(head, body, link, first))
    }

    /// Reads a refusal to its end, so that its connection can be used again.
    async fn discard(&self, response: HttpResponse<Incoming>, link: BackendConnection) {
        let (head, body) = response.into_parts();
        let limited = Limited::new(body, ANSWER_BYTES).collect();
        if matches!(timeout(LEAST_LEFT, limited).await, Ok(Ok(_))) {
            link.release(&head.headers);
        }
    }

    fn request(&self, instance: &str, last: Option<u64>) -> HttpRequest<Full<Bytes>> {
        let mut request = HttpRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        if let Ok(path) = self.head.path.parse() {
            *request.uri_mut() = path;
        }
        let mut headers = self.head.headers.clone();
        let metadata = AttemptMetadata {
            time_left: self.time_left(),
            account: self.account.as_ref().map(|account| &*account.name),
            instance,
            urgency: self.urgency(),
            resume_after: last,
            kv_cache: self.kv_cache.as_ref(),
        };
        self.gateway.header_codec.encode_attempt(&mut headers, &metadata);
        *request.headers_mut() = headers;
        debug!("event=attempt id={} instance={instance} left_ms={}", self.metadata.id, metadata.time_left.as_millis());
        request
    }

    /// Streams that have begun go first, then the request's rank decides.
    fn urgency(&self) -> Option<u8> {
        if !self.route.kind.is_stream() {
            return None;
        }
        Some(u8::try_from(self.placement.rank.priority.clamp(0, 3)).unwrap_or(3) + 3)
    }

    /// Moves the run to another server before its own is gone.
    ///
    /// # Errors
    /// Says why it was not moved.
    pub(super) fn migrate(&self, guard: &ReplicaGuard) -> BoxFuture<'static, Result<MigratedRun, String>> {
        let gateway = self.gateway.clone();
        let (id, source) = (self.metadata.id.clone(), guard.replica().clone());
        let offer = self.placement.offer(&gateway, std::slice::from_ref(&source.id), 0);
        Box::pin(async move {
            let target = offer.ok_or("there is no other server")?.take();
            let address = target.replica().address;
            let moving = gateway.engines.migrate_run(source.address, &id, address);
            let kv_cache = timeout(MOVE_TIMEOUT, moving).await.map_err(|_| "no answer in time")??;
            let (from, to) = (&source.id, &target.replica().id);
            info!("event=run-moved id={id} from={from} to={to} handle={}", kv_cache.handle);
            Ok(MigratedRun { target, kv_cache })
        })
    }

    /// Goes on at the server to which the run was moved.
    ///
    /// # Errors
    /// Gives the refusal when there is no answer to pass on.
    pub(super) async fn resume_migrated(
        &mut self,
        moved: MigratedRun,
        order: &mut EventSequence,
    ) -> Result<ProxyResponse, Refusal> {
        self.kv_cache = Some(moved.kv_cache);
        let instance = moved.target.replica().id.clone();
        let answer = self.attempt(moved.target, order).await;
        self.kv_cache = None;
        match answer {
            Ok(answer) => Ok(answer),
            Err(failure) => {
                let (id, label) = (&self.metadata.id, failure.label());
                info!("event=moved-run-failed id={id} instance={instance} cause={label}");
                if !self.may_resume("moved") {
                    return self.final_result(failure);
                }
                self.attempts(order).await
            }
        }
    }

    /// Whether a stream that broke off may go on at another server.
    pub(super) fn may_resume(&mut self, cause: &'static str) -> bool {
        let resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true, .. });
        resumable && self.may_retry(&Failure::Indeterminate(cause))
    }

    /// Leaves out a server at which the request failed.
    pub(super) async fn record_stream_failure(&mut self, guard: &ReplicaGuard, cause: &'static str) {
        self.observe(guard, Sample::Failed);
        self.judge(guard, AttemptOutcome::Failure);
        self.tried.push(guard.replica().id.clone());
        if cause == "cut" {
            record_crash(&self.gateway.shared, guard, self.fingerprint).await;
        }
    }
}

/// An answer's head without what concerned the connection to the server.
fn outward(mut head: Parts) -> Parts {
    drop_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.extensions.clear();
    head
}
