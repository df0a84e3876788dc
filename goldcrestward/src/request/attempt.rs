//! The attempts of one request: replica selection, retry limits and whether the request may have run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    admission::Admission,
    crash::{CrashRecords, PossibleCause, record_crash},
    refusal::{Reason, Refusal, RunState},
    run_window::{Phase, RunWindow},
};
use crate::{
    config::Route,
    process::{MemoryLimit, NoReplica, Replica, ReplicaGuard, ReplicaQuery, Shared, TooLong},
};

/// How often one stream may be resumed at another replica.
const MAX_RESUMES: u32 = 8;
/// Delay before replicas that have failed are tried again, multiplied by the number of the round.
const ROUND_BACKOFF: Duration = Duration::from_millis(60);
/// How often the list of failed replicas may be cleared.
const MAX_ROUNDS: u32 = 3;

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was closed or reset before the response was complete.
    Disconnected,
    /// The response head exceeded its bounds, and the connection was closed.
    HeadTooLong,
    /// The back end returned an error status, which is passed on only if no other attempt is answered.
    ErrorStatus,
    /// The response belongs to another request or attempt, is malformed or lacks a token.
    WrongResponse,
    /// The response was too long to be kept.
    TooLong,
    /// The responses of all servers together left no room for the response, which says nothing of its server.
    NoMemory,
    /// The back end timed out.
    TimedOut,
    /// The replica is leaving, so its stream continues elsewhere.
    Leaving,
}

impl Failure {
    /// The failure of a response that could not be kept.
    pub fn of_too_long(error: &TooLong) -> Self {
        if error.limit == MemoryLimit::Daemon { Self::NoMemory } else { Self::TooLong }
    }

    /// Metric label of the failure.
    pub fn label(self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreached",
            Self::Disconnected => "cut",
            Self::HeadTooLong => "head-too-long",
            Self::ErrorStatus => "status",
            Self::WrongResponse => "crossed",
            Self::TooLong => "too-long",
            Self::NoMemory => "no-memory",
            Self::TimedOut => "silent",
            Self::Leaving => "leaving",
        }
    }

    /// Records the failure in the replica's health.
    pub fn record_at(self, replica: &Replica, now: u64) {
        match self {
            Self::Leaving | Self::NoMemory => {}
            Self::ConnectFailed => replica.eject(now),
            Self::HeadTooLong
            | Self::WrongResponse
            | Self::ErrorStatus
            | Self::TooLong
            | Self::TimedOut
            | Self::Disconnected => replica.update_ejection(false, now),
        }
    }
}

/// The attempts of one request.
pub(crate) struct Attempts {
    shared: Arc<Shared>,
    /// The request's id, for log lines.
    id: Arc<str>,
    route: Arc<Route>,
    /// What the request takes from the version of the configuration that admitted it.
    admission: Admission,
    fingerprint: u64,
    affinity_key: u64,
    version: Option<Arc<str>>,
    window: RunWindow,
    tried: Vec<Arc<str>>,
    rounds: u32,
    number: u32,
    resumes: u32,
    run_state: RunState,
    crashes: u32,
    last_failure: Option<Failure>,
}

impl Attempts {
    /// Starts with no attempt made. Requests with the same `affinity_key` prefer the same replica.
    pub fn new(
        shared: Arc<Shared>,
        id: Arc<str>,
        admission: Admission,
        fingerprint: u64,
        affinity_key: u64,
        version: Option<Arc<str>>,
    ) -> Self {
        let route = admission.route.clone();
        let window =
            RunWindow::new(shared.clone(), id.clone(), route.clone(), Instant::now() + route.timeout).unbuffered();
        shared.route_retry_budgets.deposit(&route.name, route.retry_share);
        Self {
            shared,
            id,
            route,
            admission,
            fingerprint,
            affinity_key,
            version,
            window,
            tried: Vec::new(),
            rounds: 0,
            number: 0,
            resumes: 0,
            run_state: RunState::NotRun,
            crashes: 0,
            last_failure: None,
        }
    }

    /// Sets how many tokens the answer may have; `None` if there is no limit.
    pub fn with_tokens(self, tokens: Option<u32>) -> Self {
        Self { window: self.window.with_tokens(tokens), ..self }
    }

    /// Marks an answer that the caller gets as it comes, and that only has to begin by the deadline.
    pub fn passed_on(self) -> Self {
        Self { window: self.window.passed_on(), ..self }
    }

    /// Number of the current attempt, counted from 1; 0 before the first.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// The time that the request has.
    pub fn window(&self) -> &RunWindow {
        &self.window
    }

    /// Time until the request's deadline or the daemon's end.
    pub fn time_left(&self) -> Duration {
        self.window.time_left()
    }

    /// Records that the current attempt may have reached the back end.
    pub fn mark_sent(&mut self) {
        self.run_state = RunState::MayHaveRun;
    }

    /// Builds a refusal with the run state of the attempts so far.
    pub fn refuse(&self, reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { run: self.run_state, ..Refusal::not_run(reason, message) }
    }

    /// The final answer to a request at the end of the daemon.
    pub fn give_up(&self) -> Refusal {
        self.window.give_up(self.run_state)
    }

    /// Chooses a replica for the next attempt. `resuming` means that the caller has already received tokens.
    /// Until then, a request that has failed is retried at the pool's current version, whichever version failed.
    ///
    /// # Errors
    /// Returns a refusal if no further attempt is allowed.
    pub async fn next_attempt(&mut self, resuming: bool) -> Result<ReplicaGuard, Refusal> {
        self.check_allowed(resuming)?;
        if self.is_paid_retry(resuming) {
            self.version = self.shared.base_version(&self.route.pool);
        }
        let guard = self.choose().await?;
        if self.is_paid_retry(resuming) && !self.shared.route_retry_budgets.withdraw(&self.route.name) {
            return Err(self.refuse(Reason::BackendFailed, "back ends failed and no retry is left"));
        }
        if !resuming {
            // The choice may have waited for a replica.
            self.check_time()?;
            if self.run_state == RunState::NotRun {
                self.admission.check_withdrawn(&self.shared.in_force.load())?;
            }
            self.window.record_taken();
        }
        if self.number > 0 {
            let label = self.last_failure.map_or("first", Failure::label);
            self.shared.metrics.retries.with_label_values(&[label]).inc();
        }
        self.number += 1;
        Ok(guard)
    }

    /// Chooses a replica other than `first`, for a hedged request within the same attempt or a run that is to migrate.
    pub fn choose_hedge(&self, first: &Replica) -> Option<ReplicaGuard> {
        let mut tried = self.tried.clone();
        tried.push(first.id.clone());
        self.try_choose(&tried).ok()
    }

    /// Records the failure of the current attempt, in the replica's health too.
    pub async fn record_failure(&mut self, guard: &ReplicaGuard, failure: Failure) {
        let replica = guard.replica();
        self.last_failure = Some(failure);
        self.tried.push(replica.id.clone());
        failure.record_at(replica, self.shared.now());
        if failure == Failure::Disconnected {
            self.check_crash(guard).await;
        }
    }

    /// Records a success and clears the crash records of requests like this one, if there are any.
    pub fn record_success(&self, replica: &Replica) {
        replica.update_ejection(true, self.shared.now());
        if self.crashes > 0 || CrashRecords::score(self.shared.view.lock().facts(), self.fingerprint) > 0 {
            self.shared.publish_fact(CrashRecords::clear(self.fingerprint, "answered"));
        }
    }

    /// Counts a crash if the replica no longer accepts connections.
    async fn check_crash(&mut self, guard: &ReplicaGuard) {
        let request = PossibleCause { id: &self.id, fingerprint: self.fingerprint, parts: &[] };
        let Some(is_suspect) = record_crash(&self.shared, guard, request).await else { return };
        self.crashes += 1;
        if is_suspect {
            // Spread suspected requests over replicas, so that one that crashes its replica does not fail the others.
            self.affinity_key = self.fingerprint.rotate_left(self.crashes);
        }
    }

    fn check_time(&self) -> Result<(), Refusal> {
        self.window.check(Phase::Send).map_err(|refusal| Refusal { run: self.run_state, ..refusal })
    }

    fn check_allowed(&mut self, resuming: bool) -> Result<(), Refusal> {
        if self.window.has_ended() {
            return Err(self.give_up());
        }
        if !resuming {
            self.check_time()?;
        }
        if self.time_left().is_zero() {
            return Err(self.refuse(Reason::Deadline, "the request's time is over"));
        }
        if CrashRecords::is_blocked(self.shared.view.lock().facts(), self.fingerprint) {
            let message = "requests with this content have crashed back ends";
            return Err(self.refuse(Reason::CrashesBackends, message));
        }
        let is_allowed = match self.is_retry() {
            false => true,
            true if resuming => {
                self.resumes += 1;
                self.resumes <= MAX_RESUMES
            }
            true => self.shared.route_retry_budgets.allows(&self.route.name),
        };
        if is_allowed {
            return Ok(());
        }
        Err(self.refuse(Reason::BackendFailed, "back ends failed and no retry is left"))
    }

    /// Whether a back end has got the request in an earlier attempt.
    fn is_retry(&self) -> bool {
        self.number > 0 && self.last_failure != Some(Failure::ConnectFailed)
    }

    /// Whether the next attempt is paid for from the route's retry budget.
    fn is_paid_retry(&self, resuming: bool) -> bool {
        !resuming && self.is_retry()
    }

    async fn choose(&mut self) -> Result<ReplicaGuard, Refusal> {
        loop {
            match self.try_choose(&self.tried) {
                Ok(guard) => return Ok(guard),
                Err(NoReplica::Overloaded) => {
                    let message = format!("all replicas of pool {} are busy", self.route.pool);
                    return Err(self.refuse(Reason::Overloaded, message).with_retry_after(Duration::from_secs(1)));
                }
                Err(NoReplica::None | NoReplica::RateLimited(_) | NoReplica::Held(_)) => {}
            }
            self.rounds += 1;
            if self.rounds > MAX_ROUNDS || self.tried.is_empty() {
                let message = format!("no replica of pool {} can take the request", self.route.pool);
                return Err(self.refuse(Reason::NoReplica, message).with_retry_after(Duration::from_secs(1)));
            }
            self.tried.clear();
            tokio::time::sleep(ROUND_BACKOFF * self.rounds).await;
        }
    }

    fn crash_score(&self) -> u64 {
        if self.crashes == 0 {
            return 0;
        }
        CrashRecords::score(self.shared.view.lock().facts(), self.fingerprint)
    }

    fn try_choose(&self, tried: &[Arc<str>]) -> Result<ReplicaGuard, NoReplica> {
        self.shared.replicas.choose(&ReplicaQuery {
            pool: &self.route.pool,
            key: self.affinity_key,
            version: self.version.as_deref(),
            region: &self.shared.settings.region,
            concurrency: self.admission.concurrency,
            crash_score: self.crash_score(),
            tried,
            now: self.shared.now(),
        })
    }
}
