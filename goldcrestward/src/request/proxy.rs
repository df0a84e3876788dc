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
    crash::{CrashRecords, fingerprint, note_crash},
    headers::drop_hop_by_hop,
    numbered_events::EventOrder,
    outcome::{Answer, Exchanged, Failure, Moved, OpenStream},
    placement::Placing,
    proxy_body::Passing,
    refusal::{Reason, Refusal, RunState},
};
use crate::{
    config::{Account, Route, RouteKind},
    connection::{BackendLink, Sent},
    port::{AttemptMetadata, MigratedKvCache, RequestMetadata},
    process::{Gateway, ReplicaGuard, Verdict},
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
pub(crate) struct Head {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}

/// Who asks, on which route, on what metadata.
pub(crate) struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The account, if the caller has one.
    pub account: Option<Arc<Account>>,
    /// What the request says of itself.
    pub metadata: RequestMetadata,
}

/// One request with what is known of its attempts.
pub(crate) struct Forward {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    account: Option<Arc<Account>>,
    pub(super) metadata: RequestMetadata,
    head: Head,
    body: Bytes,
    placing: Placing,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    sends: u32,
    unreached: u32,
    run: RunState,
    counted: bool,
    units: f64,
    kv_cache: Option<MigratedKvCache>,
}

impl Forward {
    /// A request that has been admitted for `units` of its account's quota.
    pub fn new(
        gateway: Arc<Gateway>,
        caller: Admitted,
        mut head: Head,
        body: Bytes,
        placing: Placing,
        units: f64,
    ) -> Self {
        let Admitted { route, account, metadata } = caller;
        drop_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(header::EXPECT);
        let name = account.as_ref().map_or("", |account| &account.name);
        let fingerprint = fingerprint(name, &head.path, &body);
        gateway.retries.lock().request(&placing.pool, gateway.shared.now());
        Self {
            gateway,
            route,
            account,
            metadata,
            head,
            body,
            placing,
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
        let mut order = EventOrder::new(self.metadata.resume_after);
        let answer = self.attempts(&mut order).await;
        if answer.is_err() && self.run == RunState::NotRun {
            self.give_back();
        }
        match answer? {
            Answer::Whole(response) => Ok(*response),
            Answer::Stream(open) => {
                let OpenStream { head, body, link, guard, first } = *open;
                let kept = head.headers.clone();
                let passing = Passing::new(self, order, body, link, guard, first, kept);
                Ok(Response::from_parts(outward(head), Body::from_body(passing)))
            }
        }
    }

    /// Makes attempts until one gives an answer. A stream goes on after the events that `order` has seen.
    pub(super) async fn attempts(&mut self, order: &mut EventOrder) -> Result<Answer, Refusal> {
        loop {
            let points = self.points()?;
            let found = self.placing.find(&self.gateway, &self.tried, points).await;
            let guard = found.map_err(|refusal| Refusal { run: self.run, ..refusal })?;
            let instance = guard.replica().id.clone();
            match self.attempt(guard, order).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    let repeat = self.may_repeat(&failure);
                    let (id, label, sends) = (&self.metadata.id, failure.label(), self.sends);
                    info!(
                        "event=attempt-failed id={id} instance={instance} cause={label} sends={sends} repeat={repeat}"
                    );
                    self.tried.push(instance);
                    if !repeat {
                        return self.give_up(failure);
                    }
                    self.gateway.shared.metrics.retries.with_label_values(&[label]).inc();
                }
            }
        }
    }

    /// Time that is left for the request.
    pub(super) fn left(&self) -> Duration {
        self.placing.deadline.saturating_duration_since(Instant::now())
    }

    /// Time without a byte after which another server is asked, where that is allowed.
    pub(super) fn silence(&self) -> Duration {
        if !self.route.kind.is_idempotent() || self.sends > self.route.attempts {
            return self.left();
        }
        (self.route.target * SILENCE_TARGETS).clamp(SILENCE.0, SILENCE.1).min(self.left())
    }

    /// Counts the request as begun at a server.
    pub(super) fn began(&mut self) {
        if let (false, Some(account)) = (self.counted, &self.account) {
            self.gateway.began(account);
        }
        self.counted = true;
    }

    /// Counts how the request went, as evidence on the server's version.
    pub(super) fn observe(&self, guard: &ReplicaGuard, sample: Sample) {
        self.gateway.shared.observe(guard.replica(), &self.route.name, sample);
    }

    fn observe_time(&self, guard: &ReplicaGuard, began: Instant) {
        if began.elapsed() > self.route.target {
            self.observe(guard, Sample::Slow);
        }
    }

    pub(super) fn judge(&self, guard: &ReplicaGuard, verdict: Verdict) {
        guard.replica().judge(verdict, self.gateway.shared.now());
    }

    fn points(&self) -> Result<u64, Refusal> {
        let view = self.gateway.shared.view.lock();
        let points = CrashRecords::points(view.facts(), self.fingerprint);
        if CrashRecords::is_condemned(view.facts(), self.fingerprint) {
            let message = "requests with this content have crashed backend servers";
            return Err(Refusal { run: self.run, ..Refusal::not_run(Reason::CrashesBackends, message) });
        }
        Ok(points)
    }

    fn give_back(&mut self) {
        if let (true, Some(account)) = (self.units > 0.0, &self.account) {
            self.gateway.quotas.lock().give_back(&account.name, self.units);
            self.units = 0.0;
        }
    }

    fn may_repeat(&mut self, failure: &Failure) -> bool {
        if self.left() < LEAST_LEFT {
            return false;
        }
        let allowed = match failure {
            Failure::Unreached => {
                self.unreached += 1;
                return self.unreached <= UNREACHED;
            }
            Failure::NotRun => true,
            Failure::Own(_) | Failure::Lost(_) => self.route.kind.is_idempotent(),
        };
        let gateway = &self.gateway;
        let (daemons, now) = (gateway.shared.present(), gateway.shared.now());
        allowed && self.sends < self.route.attempts && gateway.retries.lock().take(&self.placing.pool, daemons, now)
    }

    fn give_up(&self, failure: Failure) -> Result<Answer, Refusal> {
        let refusal = |reason, message: &str| Err(Refusal { run: self.run, ..Refusal::not_run(reason, message) });
        match failure {
            Failure::Own(response) => Ok(Answer::Whole(response)),
            Failure::Unreached => refusal(Reason::NoReplica, "no backend server could be reached"),
            Failure::NotRun => {
                let full = refusal(Reason::Overloaded, "the backend server had no room");
                full.map_err(|refusal| refusal.with_retry_after(Duration::from_millis(200)))
            }
            Failure::Lost(_) if self.left() < LEAST_LEFT => refusal(Reason::Deadline, "the request's time is over"),
            Failure::Lost(_) => refusal(Reason::BackendFailed, "the backend server gave no whole answer"),
        }
    }

    async fn attempt(&mut self, guard: ReplicaGuard, order: &mut EventOrder) -> Result<Answer, Failure> {
        let began = Instant::now();
        let result = self.exchange(&guard, order).await;
        match result {
            Ok(Exchanged::Whole(response)) => {
                self.observe(&guard, Sample::Good);
                self.observe_time(&guard, began);
                self.judge(&guard, Verdict::Good);
                Ok(Answer::Whole(Box::new(response)))
            }
            Ok(Exchanged::Stream(head, body, link, first)) => {
                guard.advance();
                self.observe(&guard, Sample::Good);
                self.observe_time(&guard, began);
                self.judge(&guard, Verdict::Good);
                Ok(Answer::Stream(Box::new(OpenStream { head, body, link, guard, first })))
            }
            Err(failure) => {
                match &failure {
                    Failure::NotRun => {}
                    Failure::Own(_) => {
                        self.observe(&guard, Sample::Failed);
                        self.judge(&guard, Verdict::OwnFailure);
                    }
                    Failure::Lost(_) => {
                        self.observe(&guard, Sample::Failed);
                        self.judge(&guard, Verdict::Failure);
                    }
                    Failure::Unreached => self.judge(&guard, Verdict::Failure),
                }
                if matches!(failure, Failure::Unreached) {
                    guard.replica().rest(self.gateway.shared.now());
                }
                if matches!(failure, Failure::Lost("cut")) {
                    note_crash(&self.gateway.shared, &guard, self.fingerprint).await;
                }
                Err(failure)
            }
        }
    }

    async fn exchange(&mut self, guard: &ReplicaGuard, order: &mut EventOrder) -> Result<Exchanged, Failure> {
        let replica = guard.replica().clone();
        let opened = self.gateway.links.open(replica.address, &replica.id, self.left()).await;
        let mut link = opened.ok_or(Failure::Unreached)?;
        // The server may have begun to leave while the connection was opened.
        if replica.is_leaving() {
            return Err(Failure::Unreached);
        }
        let request = self.request(&replica.id, order.last());
        let (before, silence) = (self.run, self.silence());
        self.sends += 1;
        self.run = RunState::MayHaveRun;
        let sent = timeout(silence, link.send(request)).await;
        let response = match sent {
            Err(_) => return Err(Failure::Lost("silent")),
            Ok(Err(Sent::Maybe)) => return Err(Failure::Lost("cut")),
            Ok(Err(Sent::No)) => {
                self.run = before;
                self.sends -= 1;
                return Err(Failure::Unreached);
            }
            Ok(Ok(response)) => response,
        };
        let metadata =
            self.gateway.header_codec.decode_response(response.status(), response.headers(), &self.metadata.id);
        if let Some(load) = metadata.load {
            replica.report(load, self.gateway.shared.now());
        }
        if metadata.not_run {
            self.run = before;
            self.discard(response, link).await;
            return Err(Failure::NotRun);
        }
        if !metadata.matches_request {
            return Err(Failure::Lost("crossed"));
        }
        self.read(response, link, metadata.sealed && metadata.unencoded, order).await
    }

    async fn read(
        &mut self,
        response: HttpResponse<Incoming>,
        link: BackendLink,
        trusted: bool,
        order: &mut EventOrder,
    ) -> Result<Exchanged, Failure> {
        let (head, body) = response.into_parts();
        if !trusted {
            return Err(Failure::Lost("unsealed"));
        }
        if head.status.is_success() && self.route.kind.is_stream() {
            return self.first_event(head, body, link, order).await;
        }
        let limited = Limited::new(body, ANSWER_BYTES).collect();
        let whole = match timeout(self.left(), limited).await {
            Err(_) => return Err(Failure::Lost("silent")),
            Ok(Err(_)) => return Err(Failure::Lost("cut")),
            Ok(Ok(whole)) => whole.to_bytes(),
        };
        self.began();
        link.keep(&head.headers);
        let failed = head.status.is_server_error();
        let response = Response::from_parts(outward(head), Body::from(whole));
        if failed { Err(Failure::Own(Box::new(response))) } else { Ok(Exchanged::Whole(response)) }
    }

    /// Waits for the first event, since before it another server may still be asked.
    async fn first_event(
        &mut self,
        head: Parts,
        mut body: Incoming,
        link: BackendLink,
        order: &mut EventOrder,
    ) -> Result<Exchanged, Failure> {
        order.restart();
        let limit = self.silence();
        let first = async {
            while let Some(frame) = body.frame().await {
                let Ok(data) = frame.map_err(drop).and_then(|frame| frame.into_data().map_err(drop)) else {
                    return Err(Failure::Lost("cut"));
                };
                let (events, disorder) = order.read(&data);
                if disorder.is_some() {
                    return Err(Failure::Lost("disorder"));
                }
                if !events.is_empty() {
                    return Ok(events);
                }
            }
            Err(Failure::Lost("empty"))
        };
        let first = timeout(limit, first).await.unwrap_or(Err(Failure::Lost("silent")))?;
        self.began();
        Ok(Exchanged::Stream(head, body, link, first))
    }

    /// Reads a refusal to its end, so that its connection can be used again.
    async fn discard(&self, response: HttpResponse<Incoming>, link: BackendLink) {
        let (head, body) = response.into_parts();
        let limited = Limited::new(body, ANSWER_BYTES).collect();
        if matches!(timeout(LEAST_LEFT, limited).await, Ok(Ok(_))) {
            link.keep(&head.headers);
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
            time_left: self.left(),
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
        Some(u8::try_from(self.placing.rank.priority.clamp(0, 3)).unwrap_or(3) + 3)
    }

    /// Moves the run to another server before its own is gone.
    ///
    /// # Errors
    /// Says why it was not moved.
    pub(super) fn move_away(&self, guard: &ReplicaGuard) -> BoxFuture<'static, Result<Moved, String>> {
        let gateway = self.gateway.clone();
        let (id, source) = (self.metadata.id.clone(), guard.replica().clone());
        let offer = self.placing.offer(&gateway, std::slice::from_ref(&source.id), 0);
        Box::pin(async move {
            let target = offer.ok_or("there is no other server")?.take();
            let address = target.replica().address;
            let moving = gateway.engines.migrate_run(source.address, &id, address);
            let kv_cache = timeout(MOVE_TIMEOUT, moving).await.map_err(|_| "no answer in time")??;
            let (from, to) = (&source.id, &target.replica().id);
            info!("event=run-moved id={id} from={from} to={to} handle={}", kv_cache.handle);
            Ok(Moved { target, kv_cache })
        })
    }

    /// Goes on at the server to which the run was moved.
    ///
    /// # Errors
    /// Gives the refusal when there is no answer to pass on.
    pub(super) async fn go_on(&mut self, moved: Moved, order: &mut EventOrder) -> Result<Answer, Refusal> {
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
                    return self.give_up(failure);
                }
                self.attempts(order).await
            }
        }
    }

    /// Whether a stream that broke off may go on at another server.
    pub(super) fn may_resume(&mut self, cause: &'static str) -> bool {
        let resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true, .. });
        resumable && self.may_repeat(&Failure::Lost(cause))
    }

    /// Leaves out a server at which the request failed.
    pub(super) async fn failed_midway(&mut self, guard: &ReplicaGuard, cause: &'static str) {
        self.observe(guard, Sample::Failed);
        self.judge(guard, Verdict::Failure);
        self.tried.push(guard.replica().id.clone());
        if cause == "cut" {
            note_crash(&self.gateway.shared, guard, self.fingerprint).await;
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
