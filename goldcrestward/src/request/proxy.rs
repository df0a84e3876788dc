//! Requests that are proxied to backend servers, with retries where the route allows them.

use std::{
    iter,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request as HttpRequest, Response as HttpResponse, header, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use log::{debug, info};
use tokio::time::timeout;
use volo_http::{body::Body, response::Response};

use super::{
    admission::Admission,
    admitted_caller::AdmittedCaller,
    awaited_head::AwaitedHead,
    bounded_body::BoundedBody,
    crash::{PossibleCause, accuse_of_crash, fingerprint},
    fallback::Fallback,
    headers::drop_hop_by_hop,
    held_answer::HeldAnswer,
    migration::Migration,
    numbered_events::EventSequence,
    placement_request::PlacementRequest,
    proxy_body::ProxyBody,
    proxy_outcome::{ExchangeResult, ProxyFailure, ProxyResponse, ProxyStream},
    refusal::{Reason, Refusal, RunState},
    request_head::RequestHead,
    run_window::{Phase, RunWindow},
    send_count::SendCount,
    sent_attempt::SentAttempt,
    takeover::{Awaited as _, Waited},
};
use crate::{
    config::{Account, Route, RouteKind},
    connection::{BackendConnection, ConnectError, SendError},
    logs::is_sampled,
    port::{AttemptMetadata, MigratedKvCache, RequestMetadata},
    process::{
        AttemptOutcome, Condemned, Gateway, MemoryLimit, QuotaCharge, ReadError, Replica, ReplicaGuard, TooLong,
        part_names, record_answer, record_long_head,
    },
    version::Sample,
};

/// Size limit of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a response that is not used up to which its connection is kept.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// How often a request is retried after a connection failure; such attempts do not count as sends.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Minimum time before the deadline for another attempt.
pub(super) const MIN_RETRY_TIME: Duration = Duration::from_millis(20);
/// Idle time after which another server is sought for an idempotent request, as a multiple of the latency target.
const IDLE_TIMEOUT_TARGETS: u32 = 3;
/// Bounds of the idle timeout.
const IDLE_TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(1_600));

/// Cause of a failure: the response was too long to be kept.
const TOO_LONG: &str = "too-long";
/// Cause of a failure: the responses of all servers together left no room for the response, which says nothing of its server.
const NO_MEMORY: &str = "no-memory";

/// A proxied request and the state of its attempts.
pub(crate) struct ProxyCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    account: Option<Arc<Account>>,
    /// What the request takes from the version of the configuration that admitted it.
    admission: Admission,
    pub(super) metadata: RequestMetadata,
    head: RequestHead,
    body: Bytes,
    pub(super) placement: PlacementRequest,
    /// The time that the request has.
    pub(super) window: RunWindow,
    /// When the run began whose answer is passed on.
    pub(super) run_started: Instant,
    /// Whether the caller has got the beginning of a stream, so that the request can no longer be refused.
    pub(super) is_answering: bool,
    fingerprint: u64,
    /// Ids of the parts of its prompt that other requests may have in common.
    parts: Vec<u64>,
    pub(super) tried: Vec<Arc<str>>,
    /// Servers to which the way has failed since the request last waited for one.
    pub(super) unreached: Vec<Arc<str>>,
    /// The servers that it has been sent to.
    pub(super) sends: SendCount,
    pub(super) connect_failures: u32,
    pub(super) run_state: RunState,
    usage_counted: bool,
    charge: Option<QuotaCharge>,
    pub(super) kv_cache: Option<MigratedKvCache>,
    /// The last server's whole answer, an error, until a repeat is answered.
    pub(super) held: Option<Box<HeldAnswer>>,
    /// Why the next attempt is made, until it is sent.
    pub(super) retry_cause: Option<&'static str>,
    /// Whether the next attempt is still to be paid for from the retry budget, when it is sent.
    owes_retry: bool,
    /// State of the run's migration to another server.
    pub(super) migration: Migration,
    /// The place at another server than a silent one, paid for from the retry budget.
    pub(super) fallback: Option<Fallback>,
    /// When the silence of the present server began, if another one has been asked in vain.
    pub(super) silent_since: Option<Instant>,
    /// The silent server that was given up for another place, until another one has answered.
    pub(super) silent: Option<Arc<str>>,
    /// Whether the next attempt is made beside a server that is silent and kept.
    pub(super) is_second: bool,
    /// The connection for the next attempt, if there is one already.
    pub(super) connection: Option<BackendConnection>,
    /// What log lines say of the connection of the last attempt.
    pub(super) connection_label: String,
    /// The peer by way of which that connection goes; `None` if it is direct.
    pub(super) via: Option<Arc<str>>,
}

impl ProxyCall {
    /// Creates a call that has been charged units of its account's quota, if the account has one.
    pub fn new(
        gateway: Arc<Gateway>,
        caller: AdmittedCaller,
        mut head: RequestHead,
        body: Bytes,
        placement: PlacementRequest,
        charge: Option<QuotaCharge>,
    ) -> Self {
        let AdmittedCaller { admission, metadata } = caller;
        let (route, account) = (admission.route.clone(), admission.account.clone());
        drop_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(header::EXPECT);
        let name = account.as_ref().map_or("", |account| &account.name);
        let fingerprint = fingerprint(name, &head.path, &body);
        let parts = metadata.shared_parts().iter().map(|part| part.id).collect();
        gateway.retry_budget.lock().record_request(&placement.pool, gateway.shared.now());
        let (shared, id) = (gateway.shared.clone(), metadata.id.clone());
        let window =
            RunWindow::new(shared, id, route.clone(), placement.deadline).with_tokens(Some(metadata.max_tokens()));
        Self {
            gateway,
            route,
            account,
            admission,
            metadata,
            head,
            body,
            placement,
            window,
            run_started: Instant::now(),
            is_answering: false,
            fingerprint,
            parts,
            tried: Vec::new(),
            unreached: Vec::new(),
            sends: SendCount::default(),
            connect_failures: 0,
            run_state: RunState::NotRun,
            usage_counted: false,
            charge,
            kv_cache: None,
            held: None,
            retry_cause: None,
            owes_retry: false,
            migration: Migration::Idle,
            fallback: None,
            silent_since: None,
            silent: None,
            is_second: false,
            connection: None,
            connection_label: String::new(),
            via: None,
        }
    }

    /// Runs the request and returns the response, whose body may still be streaming.
    ///
    /// # Errors
    /// Returns a refusal if there is no response to pass on.
    pub async fn run(mut self) -> Result<Response, Refusal> {
        let mut sequence = EventSequence::new(self.metadata.resume_after, &self.gateway.shared.response_memory);
        match self.attempts(&mut sequence).await? {
            ProxyResponse::Buffered(response) => Ok(*response),
            ProxyResponse::Stream(open) => {
                let ProxyStream { head, body, connection, guard, first } = *open;
                let headers = head.headers.clone();
                self.is_answering = true;
                let window = self.window.clone();
                let body = ProxyBody::new(self, sequence, body, connection, guard, first, headers);
                let response = Response::from_parts(caller_head(head), Body::from_body(body));
                Ok(BoundedBody::bound(response, window, None))
            }
        }
    }

    /// Makes attempts until one returns a response. A stream is resumed after the last event of `sequence`.
    pub(super) async fn attempts(&mut self, sequence: &mut EventSequence) -> Result<ProxyResponse, Refusal> {
        loop {
            let guard = match self.next_place().await {
                Ok(guard) => guard,
                Err(refusal) => return self.pass_held(refusal.reason.label()).ok_or(refusal),
            };
            let instance = guard.replica().id.clone();
            let result = self.attempt_in_time(guard, sequence).await;
            if let Some(response) = self.conclude(&instance, result, sequence).await {
                return response;
            }
        }
    }

    /// The place for the next attempt.
    async fn next_place(&mut self) -> Result<ReplicaGuard, Refusal> {
        loop {
            if self.connect_failures > MAX_CONNECT_FAILURES && self.may_await_way() {
                self.await_way().await;
            }
            let excluded = self.excluded();
            let acquired = self.placement.acquire(&self.gateway, &excluded, self.run_state, || self.crash_score());
            let acquired = match self.is_answering {
                true => acquired.await,
                false => self.window.wait_for(Phase::Place, acquired).await.and_then(|acquired| acquired),
            };
            match acquired {
                Err(refusal) if self.prefers_way(&refusal) => self.await_way().await,
                acquired => return acquired.map_err(|refusal| Refusal { run: self.run_state, ..refusal }),
            }
        }
    }

    /// Time until the request's deadline or the daemon's end.
    pub(super) fn time_left(&self) -> Duration {
        self.window.time_left()
    }

    /// Time until the request's deadline.
    pub(super) fn time_to_deadline(&self) -> Duration {
        self.admission.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that a server has: a whole answer is passed on when it has come, a stream meanwhile.
    fn run_time(&self) -> Duration {
        if self.route.kind.is_stream() { self.window.time_until(self.admission.deadline) } else { self.time_left() }
    }

    /// Silence after which another server is sought; `None` if the request cannot be sent to another one.
    pub(super) fn idle_timeout(&self) -> Option<Duration> {
        let may_repeat = self.route.kind.is_idempotent() && self.has_attempt();
        let (min, max) = IDLE_TIMEOUT_RANGE;
        may_repeat.then(|| (self.route.latency_target * IDLE_TIMEOUT_TARGETS).clamp(min, max))
    }

    /// Counts the request once in its account's usage, when a server has started to respond.
    pub(super) fn count_started(&mut self) {
        if let (false, Some(account)) = (self.usage_counted, &self.account) {
            self.gateway.count_started(account);
        }
        self.usage_counted = true;
    }

    /// Records a sample as evidence on the server's version.
    pub(super) fn observe(&self, guard: &ReplicaGuard, sample: Sample) {
        if sample != Sample::Good && self.has_no_path(guard) {
            return;
        }
        self.gateway.shared.observe(guard.replica(), &self.route.name, sample);
    }

    fn observe_latency(&self, guard: &ReplicaGuard, started: Instant) {
        if started.elapsed() > self.route.latency_target {
            self.observe(guard, Sample::Slow);
        }
    }

    /// Closes the idle connections by way of the peer whose connection has broken off, as the peer may have ended.
    fn close_idle_carried(&self) {
        if let Some(peer) = &self.via {
            self.gateway.backend_connections.close_idle_via(peer);
        }
    }

    fn possible_cause(&self) -> PossibleCause<'_> {
        PossibleCause { id: &self.metadata.id, fingerprint: self.fingerprint, parts: &self.parts }
    }

    /// Whether an attempt that begins now can be expected to end before the daemon.
    pub(super) fn may_send(&self) -> bool {
        self.is_answering || self.window.allows_run()
    }

    /// Whether the run has begun whose answer is passed on, so that the attempt only continues it.
    fn has_begun(&self) -> bool {
        self.is_answering || self.kv_cache.is_some()
    }

    /// Whether the run resumes at the server that has stopped it.
    fn resumes_at_source(&self, replica: &Replica) -> bool {
        self.kv_cache.as_ref().is_some_and(|kv_cache| kv_cache.source == replica.address)
    }

    /// Records that the request was answered completely, which speaks for it and for the parts of its prompt.
    pub(super) fn record_answer(&self) {
        record_answer(&self.gateway.shared, self.fingerprint, &self.parts);
    }

    /// Whether the path of the last attempt has failed, which says nothing about its server.
    pub(super) fn has_no_path(&self, guard: &ReplicaGuard) -> bool {
        self.gateway.has_no_path(guard.replica(), self.via.as_ref())
    }

    /// Whether this daemon can find out if the server has crashed, which it does by a connection of its own.
    fn may_judge_crash(&self, guard: &ReplicaGuard) -> bool {
        !self.has_no_path(guard) && !self.gateway.has_lost_link(guard.replica()) && !self.has_carrier_left()
    }

    pub(super) fn record_outcome(&self, guard: &ReplicaGuard, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Failure && self.has_no_path(guard) {
            return;
        }
        guard.replica().update_failure_score(outcome, self.gateway.shared.now());
    }

    /// Records the failure of an attempt, unless the server has no part in it.
    pub(super) fn record_failure(&self, guard: &ReplicaGuard, cause: &str) {
        if cause == NO_MEMORY || self.is_carriers_end(cause) {
            return;
        }
        self.observe(guard, failure_sample(cause));
        self.record_outcome(guard, AttemptOutcome::Failure);
    }

    /// What can be accused of crashes: the request as a whole and the parts of its prompt.
    fn crash_suspects(&self) -> impl Iterator<Item = u64> + Clone {
        iter::once(self.fingerprint).chain(self.parts.iter().copied())
    }

    /// The number of crashes of which requests like this one are accused.
    ///
    /// # Errors
    /// Returns a refusal if they crash servers.
    pub(super) fn crash_score(&self) -> Result<u64, Refusal> {
        let evidence = self.gateway.shared.crash_evidence.lock();
        let Some(Condemned { parts, crashes }) = evidence.refusal(self.crash_suspects()) else {
            return Ok(evidence.crash_count(self.fingerprint) as u64);
        };
        let message = match parts.contains(&self.fingerprint) {
            true => format!("requests with this content have crashed {crashes} backend servers"),
            false => format!("prompt part {} has crashed {crashes} backend servers", part_names(parts)),
        };
        Err(Refusal { run: self.run_state, ..Refusal::not_run(Reason::CrashesBackends, message) })
    }

    fn set_run_state(&mut self, run: RunState) {
        self.run_state = run;
        if let Some(charge) = &mut self.charge {
            charge.set_used(run == RunState::MayHaveRun);
        }
    }

    /// Whether the request or a part of its prompt is suspected to crash servers.
    pub(super) fn is_suspect(&self) -> bool {
        self.gateway.shared.crash_evidence.lock().is_suspect(self.crash_suspects())
    }

    /// Records that a server has not run the request. The silent server that was given up for it may be sound.
    pub(super) fn record_unserved(&mut self, failure: &ProxyFailure) {
        if !failure.is_unserved() {
            return;
        }
        if matches!(failure, ProxyFailure::NotRun) {
            self.sends.record_refusal();
        }
        if let Some(silent) = self.silent.take() {
            self.tried.retain(|instance| *instance != silent);
        }
    }

    /// Whether the route allows another attempt.
    pub(super) fn has_attempt(&self) -> bool {
        self.sends.attempts(self.run_state) < self.route.attempt_limit
    }

    /// Whether the request may be sent again after another instance has answered. That costs nothing but, at another
    /// address, an attempt.
    fn may_redirect(&self) -> bool {
        if self.has_attempt() {
            return self.sends.may_redirect();
        }
        let (addresses, now) = (self.sends.addresses_to_name(), self.gateway.shared.now());
        let pool = self.gateway.shared.replicas.pool(&self.placement.pool);
        pool.iter().any(|replica| {
            addresses.contains(&replica.address)
                && !replica.is_leaving()
                && !replica.is_false(now)
                && !self.tried.contains(&replica.id)
        })
    }

    pub(super) fn may_retry(&mut self, failure: &ProxyFailure) -> bool {
        if self.time_left() < MIN_RETRY_TIME || self.is_suspect() {
            return false;
        }
        let allowed = match failure {
            ProxyFailure::TooLate(_)
            | ProxyFailure::OverBudget
            | ProxyFailure::Stopped
            | ProxyFailure::Migrated(_)
            | ProxyFailure::TakenOver(_) => return false,
            ProxyFailure::ConnectFailed | ProxyFailure::NoPath | ProxyFailure::Withdrawn => {
                self.connect_failures += 1;
                return self.connect_failures <= MAX_CONNECT_FAILURES || self.may_await_way();
            }
            ProxyFailure::Misdirected => return self.may_redirect(),
            ProxyFailure::NotRun => true,
            ProxyFailure::ErrorResponse(_) | ProxyFailure::Indeterminate(_) => self.route.kind.is_idempotent(),
        };
        let may_retry = allowed && self.has_attempt() && self.allows_retry();
        self.owes_retry |= may_retry;
        may_retry
    }

    /// Whether a retry is left in the budget.
    pub(super) fn allows_retry(&self) -> bool {
        let gateway = &self.gateway;
        let (daemons, now) = (gateway.shared.daemon_count(), gateway.shared.now());
        gateway.retry_budget.lock().allows(&self.placement.pool, daemons, now)
    }

    /// Pays for the next attempt from the retry budget; false if nothing is left.
    pub(super) fn withdraw_retry(&mut self) -> bool {
        let gateway = &self.gateway;
        let (daemons, now) = (gateway.shared.daemon_count(), gateway.shared.now());
        let is_paid = gateway.retry_budget.lock().withdraw(&self.placement.pool, daemons, now);
        self.owes_retry &= !is_paid;
        is_paid
    }

    /// Makes an attempt, which ends with the daemon.
    pub(super) async fn attempt_in_time(
        &mut self,
        guard: ReplicaGuard,
        sequence: &mut EventSequence,
    ) -> Result<ProxyResponse, ProxyFailure> {
        let window = self.window.clone();
        tokio::select! {
            biased;
            () = window.ended() => Err(ProxyFailure::Stopped),
            result = self.attempt(guard, sequence) => result,
        }
    }

    async fn attempt(
        &mut self,
        guard: ReplicaGuard,
        sequence: &mut EventSequence,
    ) -> Result<ProxyResponse, ProxyFailure> {
        let started = Instant::now();
        self.silent_since = None;
        if !self.has_begun() {
            self.run_started = started;
        }
        let resumes_at_source = self.resumes_at_source(guard.replica());
        self.migration = if resumes_at_source { Migration::Failed } else { Migration::Idle };
        let result = self.exchange(&guard, sequence).await;
        // A server may say so of a run that it has handed over.
        if matches!(result, Err(ProxyFailure::Indeterminate(_) | ProxyFailure::NotRun | ProxyFailure::Misdirected))
            && let Some(migrated) = self.migrated_run().await
        {
            self.set_run_state(RunState::MayHaveRun);
            return Err(ProxyFailure::Migrated(Box::new((migrated, guard))));
        }
        match result {
            Ok(ExchangeResult::Buffered(response)) => {
                self.observe(&guard, Sample::Good);
                self.observe_latency(&guard, started);
                self.record_outcome(&guard, AttemptOutcome::Success);
                self.window.record_answer(response.status(), started);
                if response.status().is_success() {
                    self.record_answer();
                }
                Ok(ProxyResponse::Buffered(Box::new(response)))
            }
            Ok(ExchangeResult::Elsewhere(response)) => Ok(response),
            Ok(ExchangeResult::Stream(head, body, connection, first)) => {
                guard.record_first_token(self.gateway.shared.now());
                self.observe(&guard, Sample::Good);
                self.observe_latency(&guard, started);
                self.record_outcome(&guard, AttemptOutcome::Success);
                Ok(ProxyResponse::Stream(Box::new(ProxyStream { head, body, connection, guard, first })))
            }
            Err(failure) => {
                match &failure {
                    ProxyFailure::NotRun
                    | ProxyFailure::Misdirected
                    | ProxyFailure::NoPath
                    | ProxyFailure::Withdrawn
                    | ProxyFailure::TooLate(_)
                    | ProxyFailure::OverBudget
                    | ProxyFailure::Stopped
                    | ProxyFailure::Migrated(_)
                    | ProxyFailure::TakenOver(_) => {}
                    ProxyFailure::ErrorResponse(_) => {
                        self.observe(&guard, Sample::Failed);
                        self.record_outcome(&guard, AttemptOutcome::ErrorResponse);
                    }
                    ProxyFailure::Indeterminate(cause) if self.is_carriers_end(cause) => {}
                    ProxyFailure::Indeterminate(cause) => {
                        self.observe(&guard, failure_sample(cause));
                        if !self.is_at_work(&guard, cause, started) {
                            self.record_outcome(&guard, AttemptOutcome::Failure);
                        }
                    }
                    ProxyFailure::ConnectFailed => self.record_outcome(&guard, AttemptOutcome::Failure),
                }
                if matches!(failure, ProxyFailure::ConnectFailed | ProxyFailure::NoPath) {
                    guard.replica().eject_briefly(self.gateway.shared.now());
                }
                if matches!(failure, ProxyFailure::Indeterminate("cut")) {
                    self.close_idle_carried();
                }
                // A response without a length ends with its connection, also when the server has crashed.
                if matches!(failure, ProxyFailure::Indeterminate("cut" | "empty")) && self.may_judge_crash(&guard) {
                    accuse_of_crash(&self.gateway.shared, &guard, self.possible_cause()).await;
                }
                Err(failure)
            }
        }
    }

    /// Refuses a request that may not be begun any more: not before the daemon's end, or, if nothing has been sent yet, not
    /// by the configuration in force.
    fn check_send(&self) -> Result<(), Refusal> {
        self.window.check(Phase::Send)?;
        if self.sends.servers() > 0 {
            return Ok(());
        }
        self.admission.check_withdrawn(&self.gateway.shared.in_force.load())
    }

    async fn exchange(
        &mut self,
        guard: &ReplicaGuard,
        sequence: &mut EventSequence,
    ) -> Result<ExchangeResult, ProxyFailure> {
        loop {
            if let Some(result) = self.exchange_on_connection(guard, sequence).await? {
                return Ok(result);
            }
        }
    }

    /// Returns `None` if nothing was sent, as an idle connection had been closed: that says nothing about the server, and
    /// the next connection is another one.
    async fn exchange_on_connection(
        &mut self,
        guard: &ReplicaGuard,
        sequence: &mut EventSequence,
    ) -> Result<Option<ExchangeResult>, ProxyFailure> {
        let replica = guard.replica().clone();
        "via=- idle_ms=-".clone_into(&mut self.connection_label);
        let acquired = match self.connection.take() {
            Some(connection) => Ok(connection),
            None => self.gateway.connect(&self.metadata.id, &replica, &self.window).await,
        };
        let connection = acquired.map_err(|error| {
            let (id, instance, why) = (&self.metadata.id, &replica.id, error.label());
            info!("event=connect-failed id={id} instance={instance} why={why}");
            match error {
                ConnectError::Refused => ProxyFailure::ConnectFailed,
                ConnectError::Silent => ProxyFailure::NoPath,
            }
        })?;
        self.connection_label = connection.label();
        self.via = connection.via().cloned();
        if let Some(peer) = connection.via().filter(|_| is_sampled(&self.metadata.id)) {
            info!("event=relayed id={} instance={} peer={peer}", self.metadata.id, replica.id);
        }
        // The server may have started to leave while the connection was being opened. A run that it has stopped itself
        // resumes there.
        if replica.is_leaving() && !self.resumes_at_source(&replica) {
            return Err(ProxyFailure::ConnectFailed);
        }
        // A run that has been migrated to the server has nowhere else to go.
        let sent_at = self.gateway.shared.now();
        let is_held = self.kv_cache.is_none() && replica.is_held(sent_at);
        let checked = if self.has_begun() { Ok(()) } else { self.check_send() };
        if is_held || checked.is_err() {
            if connection.is_unused() {
                connection.keep();
            }
            return Err(
                checked.map_or_else(|refusal| ProxyFailure::TooLate(Box::new(refusal)), |()| ProxyFailure::Withdrawn)
            );
        }
        if self.owes_retry && !self.withdraw_retry() {
            if connection.is_unused() {
                connection.keep();
            }
            return Err(ProxyFailure::OverBudget);
        }
        if !self.has_begun() {
            self.window.record_taken();
        }
        let attempt = SentAttempt {
            gateway: self.gateway.clone(),
            id: self.metadata.id.clone(),
            pool: self.placement.pool.clone(),
            replica: replica.clone(),
            is_first: connection.is_unused(),
            sent: Instant::now(),
            sent_at,
            sent_ms: self.gateway.shared.agreed_ms(),
        };
        // A run that has been stopped goes on exactly where it was.
        let resume_after = if self.kv_cache.is_some() { sequence.last() } else { sequence.resume_point() };
        let request = self.build_request(&replica.id, resume_after);
        let previous = self.run_state;
        if replica.limit().per_second.is_some() {
            self.gateway.shared.metrics.limited_sends.inc();
        }
        if let Some(cause) = self.retry_cause.take() {
            self.gateway.shared.metrics.retries.with_label_values(&[cause]).inc();
        }
        let begun = self.sends.begin(replica.address);
        self.set_run_state(RunState::MayHaveRun);
        let mut head = AwaitedHead::new(attempt, self.window.clone(), connection, request, self.is_second);
        let mut other = sequence.fork(&self.gateway.shared.response_memory);
        let (connection, response) = match self.wait_or_take_over(guard, &mut head, &mut other).await {
            Waited::Output(received) => received,
            Waited::TakenOver(result) => {
                *sequence = other;
                return (*result).map(Some);
            }
            Waited::Ended => {
                head.close();
                return Err(ProxyFailure::Indeterminate("silent"));
            }
        };
        let response = match response {
            Err(SendError::MaybeSent) => return Err(ProxyFailure::Indeterminate("cut")),
            Err(SendError::HeadTooLong(sent)) => {
                record_long_head(&self.gateway.shared, &self.metadata.id, &replica, sent);
                return Err(ProxyFailure::Indeterminate("head-too-long"));
            }
            Err(SendError::NotSent) => {
                self.set_run_state(previous);
                self.sends.take_back(begun);
                if connection.was_idle() {
                    let (id, label) = (&self.metadata.id, &self.connection_label);
                    info!("event=idle-connection-closed id={id} instance={} {label}", replica.id);
                    return Ok(None);
                }
                // The end of a connection by way of a peer may be the carrier's own.
                let is_direct = self.via.is_none();
                return Err(if is_direct { ProxyFailure::ConnectFailed } else { ProxyFailure::NoPath });
            }
            Ok(response) => response,
        };
        self.gateway.record_path_answer(&replica, self.via.as_ref());
        let metadata = head.attempt().read_head(&response).inspect_err(|failure| {
            if matches!(failure, ProxyFailure::NotRun | ProxyFailure::Misdirected) {
                self.set_run_state(previous);
            }
            if matches!(failure, ProxyFailure::Misdirected) {
                self.sends.record_misdirected(begun);
            }
        })?;
        if metadata.misdirected {
            self.set_run_state(previous);
            self.sends.record_misdirected(begun);
            return Err(ProxyFailure::Misdirected);
        }
        if metadata.not_run {
            self.set_run_state(previous);
            self.discard(response, connection).await;
            return Err(ProxyFailure::NotRun);
        }
        self.read(guard, response, connection, metadata.sealed && metadata.unencoded, sequence).await.map(Some)
    }

    async fn read(
        &mut self,
        guard: &ReplicaGuard,
        response: HttpResponse<Incoming>,
        connection: BackendConnection,
        is_trusted: bool,
        sequence: &mut EventSequence,
    ) -> Result<ExchangeResult, ProxyFailure> {
        let (head, body) = response.into_parts();
        if !is_trusted {
            return Err(ProxyFailure::Indeterminate("unsealed"));
        }
        if head.status.is_success() && self.route.kind.is_stream() {
            return self.first_event(guard, head, body, connection, sequence).await;
        }
        let failed = head.status.is_server_error();
        let (memory, instance) = (&self.gateway.shared.response_memory, &guard.replica().id);
        let reading = memory.collect(body, instance, MAX_RESPONSE_BYTES);
        let collected = match timeout(self.time_left(), reading).await {
            Err(_) => return Err(ProxyFailure::Indeterminate("silent")),
            Ok(Err(ReadError::Broken)) => return Err(ProxyFailure::Indeterminate("cut")),
            Ok(Err(ReadError::TooLong(error))) => {
                let kind = if failed { "error-body" } else { "body" };
                return Err(ProxyFailure::Indeterminate(self.record_too_long(guard, kind, &error)));
            }
            Ok(Ok(collected)) => collected,
        };
        let instance = instance.clone();
        self.count_started();
        connection.release(&head.headers);
        let answer = HeldAnswer::new(caller_head(head), collected, instance);
        if failed {
            return Err(ProxyFailure::ErrorResponse(Box::new(answer)));
        }
        Ok(ExchangeResult::Buffered(answer.into_response(&self.gateway.shared, &self.metadata.id)))
    }

    /// Reads a response to its end, so that the connection can be reused.
    async fn discard(&self, response: HttpResponse<Incoming>, connection: BackendConnection) {
        let (head, mut body) = response.into_parts();
        let reading = async {
            let mut length = 0;
            while let Some(frame) = body.frame().await {
                length += frame.ok()?.data_ref().map_or(0, Bytes::len);
                if length > MAX_DISCARDED_BYTES {
                    return None;
                }
            }
            Some(())
        };
        if timeout(MIN_RETRY_TIME, reading).await.is_ok_and(|whole| whole.is_some()) {
            connection.release(&head.headers);
        }
    }

    /// Records that a response was too long to be kept; returns the cause of the failure.
    pub(super) fn record_too_long(&self, guard: &ReplicaGuard, kind: &str, error: &TooLong) -> &'static str {
        let memory = &self.gateway.shared.response_memory;
        memory.record_too_long(&self.metadata.id, &guard.replica().id, kind, error);
        if error.limit == MemoryLimit::Daemon { NO_MEMORY } else { TOO_LONG }
    }

    fn build_request(&self, instance: &str, resume_after: Option<u64>) -> HttpRequest<Full<Bytes>> {
        let mut request = HttpRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        if let Ok(path) = self.head.path.parse() {
            *request.uri_mut() = path;
        }
        let mut headers = self.head.headers.clone();
        let metadata = AttemptMetadata {
            time_left: self.run_time(),
            account: self.account.as_ref().map(|account| &*account.name),
            instance,
            urgency: self.urgency(),
            resume_after,
            kv_cache: self.kv_cache.as_ref(),
        };
        self.gateway.header_codec.encode_attempt(&mut headers, &metadata);
        *request.headers_mut() = headers;
        debug!("event=attempt id={} instance={instance} left_ms={}", self.metadata.id, metadata.time_left.as_millis());
        request
    }

    /// Urgency at the engine, from 3 (first) to 6; `None` if the route does not stream. Streams that have started go
    /// first; after them the request's priority decides.
    fn urgency(&self) -> Option<u8> {
        if !self.route.kind.is_stream() {
            return None;
        }
        Some(u8::try_from(self.placement.rank.priority.clamp(0, 3)).unwrap_or(3) + 3)
    }

    /// Whether an interrupted stream may be resumed at another server.
    pub(super) fn may_resume(&mut self, cause: &'static str) -> bool {
        let resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true, .. });
        resumable && self.may_retry(&ProxyFailure::Indeterminate(cause))
    }

    /// Records the failure of a stream and excludes its server from further attempts.
    pub(super) async fn record_stream_failure(&mut self, guard: &ReplicaGuard, cause: &'static str) {
        self.exclude(guard.replica().id.clone(), &ProxyFailure::Indeterminate(cause));
        self.record_failure(guard, cause);
        self.record_break(guard, cause).await;
    }

    /// Looks whether a server that has broken off has crashed, and closes the other connections of its way.
    pub(super) async fn record_break(&mut self, guard: &ReplicaGuard, cause: &'static str) {
        if cause == "cut" {
            self.close_idle_carried();
        }
        if cause == "cut" && self.may_judge_crash(guard) {
            accuse_of_crash(&self.gateway.shared, guard, self.possible_cause()).await;
        }
    }
}

/// What a failure says of its server's version.
pub(super) fn failure_sample(cause: &str) -> Sample {
    if cause == "silent" { Sample::GivenUp } else { Sample::Failed }
}

/// The response head without the fields that apply only to the connection to the server.
fn caller_head(mut head: Parts) -> Parts {
    drop_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.extensions.clear();
    head
}
