//! The time that a request has: until its deadline, and until the end of a daemon that is being stopped.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use log::info;
use tokio::time::timeout;

use super::refusal::{Reason, Refusal, RunState};
use crate::{
    config::Route,
    process::{Basis, RunForecast, RunKind, Shared, WorkTime},
};

/// Time for the refusal of a request to reach a caller that still writes its body.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// `Retry-After` of what a stopping daemon refuses; the other daemons can take it at once.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// What a request was waiting for when it was refused, in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing: it came when the daemon took no more requests.
    Arrival,
    /// The rest of its body.
    Body,
    /// Its account's quota, or a place at a server.
    Place,
    /// An attempt, all else being ready.
    Send,
    /// The ledger's answer to a claim.
    Claim,
}

impl Phase {
    fn label(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::Body => "body",
            Self::Place => "place",
            Self::Send => "send",
            Self::Claim => "claim",
        }
    }
}

/// The time that one request has. Work that can't be expected to end in it is not begun.
#[derive(Clone)]
pub(crate) struct RunWindow {
    shared: Arc<Shared>,
    id: Arc<str>,
    /// `None` before the route is known.
    route: Option<Arc<Route>>,
    run: RunForecast,
}

impl RunWindow {
    pub fn new(shared: Arc<Shared>, id: Arc<str>, route: Arc<Route>, deadline: Instant) -> Self {
        let run = RunForecast {
            kind: Some(RunKind::new(route.name.clone(), Some(0))),
            deadline,
            is_idempotent: route.kind.is_idempotent(),
            is_buffered: !route.kind.is_stream(),
            outlasts_deadline: false,
        };
        Self { shared, id, route: Some(route), run }
    }

    /// The time of a request whose route is only known from its body.
    pub fn unrouted(shared: Arc<Shared>, id: Arc<str>, deadline: Instant) -> Self {
        let run =
            RunForecast { kind: None, deadline, is_idempotent: false, is_buffered: false, outlasts_deadline: false };
        Self { shared, id, route: None, run }
    }

    /// Marks an answer that the caller gets as it comes.
    pub fn unbuffered(self) -> Self {
        let run = RunForecast { is_buffered: false, ..self.run };
        Self { run, ..self }
    }

    /// Marks an answer that the caller gets as it comes, and that only has to begin by the deadline.
    pub fn passed_on(self) -> Self {
        let run = RunForecast { is_buffered: false, outlasts_deadline: true, ..self.run };
        Self { run, ..self }
    }

    /// Sets how many tokens the answer may have; `None` if there is no limit.
    pub fn with_tokens(self, tokens: Option<u32>) -> Self {
        let kind = self.route.as_ref().map(|route| RunKind::new(route.name.clone(), tokens));
        let run = RunForecast { kind, ..self.run };
        Self { run, ..self }
    }

    /// Time until the request's deadline or the daemon's end.
    pub fn time_left(&self) -> Duration {
        self.time_until(Instant::now() + self.run.time_left(Instant::now()))
    }

    /// Time until a deadline or the daemon's end.
    pub fn time_until(&self, deadline: Instant) -> Duration {
        let left = deadline.saturating_duration_since(Instant::now());
        self.shared.lifetime.time_left().map_or(left, |end| left.min(end))
    }

    /// Whether the daemon has to end the request now.
    pub fn has_ended(&self) -> bool {
        self.shared.lifetime.has_ended()
    }

    /// Time that the request needs. Only one that can be repeated, and whose answer has not begun, may turn out to take
    /// longer. Nothing is known of one without a route.
    pub fn needed(&self) -> Duration {
        self.estimate().0
    }

    /// The time that the request needs, and what it is known from.
    fn estimate(&self) -> (Duration, Basis) {
        self.run.needed(&self.shared.run_times, Instant::now())
    }

    /// How long a run takes that begins now.
    pub fn work_time(&self) -> WorkTime {
        self.run.work_time(&self.shared.run_times, Instant::now())
    }

    /// Whether most runs of this kind take longer than `elapsed`.
    pub fn is_usual(&self, elapsed: Duration) -> bool {
        let Some(kind) = &self.run.kind else { return false };
        self.shared.run_times.usual(kind, Instant::now()).is_some_and(|usual| elapsed <= usual)
    }

    /// Whether most runs of this kind that are as far as others after `elapsed` end before the request's deadline and the
    /// daemon.
    pub fn allows_rest(&self, elapsed: Duration) -> bool {
        let (left, Some(kind)) = (self.time_left(), &self.run.kind) else { return true };
        let usual = self.shared.run_times.usual(kind, Instant::now());
        usual.is_none_or(|usual| usual.saturating_sub(elapsed) < left)
    }

    fn work_time_for(&self, phase: Phase) -> WorkTime {
        let work = self.work_time();
        match phase {
            Phase::Body => WorkTime { expected: work.expected.max(REFUSAL_TIME), ..work },
            _ => work,
        }
    }

    /// Whether a run may be begun now.
    pub fn allows_run(&self) -> bool {
        self.shared.lifetime.allows(self.work_time())
    }

    /// Refuses the request if it may not be begun any more.
    pub fn check(&self, phase: Phase) -> Result<(), Refusal> {
        if self.shared.lifetime.time_left().is_none() {
            return Ok(());
        }
        let work = self.work_time_for(phase);
        if self.shared.lifetime.allows(work) { Ok(()) } else { Err(self.refuse(work, phase)) }
    }

    /// Refuses a request that has come while the daemon takes none.
    pub fn refuse_arrival(&self) -> Refusal {
        self.record_refusal(Duration::ZERO, Basis::Assumed, Phase::Arrival);
        Refusal::not_run(Reason::Stopping, "this daemon is stopping")
    }

    /// Waits for `step`, until the request may no longer be begun.
    ///
    /// # Errors
    /// Returns the refusal of the request, which has not run.
    pub async fn wait_for<T>(&self, phase: Phase, step: impl Future<Output = T>) -> Result<T, Refusal> {
        let mut step = pin!(step);
        loop {
            self.check(phase)?;
            let too_late = async {
                self.shared.lifetime.stopping().await;
                self.shared.lifetime.too_late_for(self.work_time_for(phase)).await;
            };
            // Runs that have ended meanwhile may show that the request needs less.
            tokio::select! {
                biased;
                output = &mut step => return Ok(output),
                () = too_late => {}
            }
        }
    }

    /// Waits for `step`; `None` if it takes longer than `limit` or the daemon ends meanwhile.
    pub async fn within<T>(&self, limit: Duration, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = timeout(limit, step) => output.ok(),
            () = self.shared.lifetime.ended() => None,
        }
    }

    /// Waits for the daemon's end.
    pub async fn ended(&self) {
        self.shared.lifetime.ended().await;
    }

    /// Records how long a run took that was answered with `status`. An error of the back end says nothing about the time
    /// that a run takes.
    pub fn record_answer(&self, status: StatusCode, started: Instant) {
        if !is_error(status) {
            self.record_run(started);
        }
    }

    /// Records how long a run took.
    pub fn record_run(&self, started: Instant) {
        let now = Instant::now();
        self.run.record(&self.shared.run_times, now - started, now);
    }

    /// The final answer to a request that runs, or may have run, at the end of the daemon.
    pub fn give_up(&self, run: RunState) -> Refusal {
        let (id, route, label) = (&self.id, self.route_label(), run.label());
        let left = self.run.time_left(Instant::now()).as_millis();
        info!("event=stop-given-up id={id} route={route} run={label} left_ms={left}");
        self.shared.metrics.stop_outcomes.with_label_values(&["given-up"]).inc();
        let refusal = Refusal::not_run(Reason::Stopping, "this daemon ends before the request");
        match run {
            RunState::NotRun => refusal.with_retry_after(RETRY_AFTER),
            RunState::MayHaveRun => Refusal { run, ..refusal },
        }
    }

    /// Records that the answer is cut off by the end of the daemon, `silent` after what came of it last.
    pub fn record_cut(&self, bytes: u64, silent: Duration) {
        let (left, silent) = (self.run.time_left(Instant::now()).as_millis(), silent.as_millis());
        let (id, route) = (&self.id, self.route_label());
        info!("event=stop-cut id={id} route={route} bytes={bytes} left_ms={left} silent_ms={silent}");
        self.shared.metrics.stop_outcomes.with_label_values(&["cut"]).inc();
    }

    fn route_label(&self) -> &str {
        self.route.as_ref().map_or("-", |route| &route.name)
    }

    /// Records that the request is sent to a server, if the daemon is being stopped: which estimate allows it to run.
    pub fn record_taken(&self) {
        let lifetime = &self.shared.lifetime;
        let (Some(left), Some(since)) = (lifetime.time_left(), lifetime.stopping_since()) else { return };
        if !self.shared.stop_lines.take() {
            return;
        }
        let (needed, basis) = self.deciding_time(self.work_time());
        let (runs, known) = self.run.known_runs(&self.shared.run_times, Instant::now());
        let (id, route, since, needed, left) =
            (&self.id, self.route_label(), since.as_millis(), needed.as_millis(), left.as_millis());
        let (basis, known) = (basis.label(), known.label());
        info!(
            "event=stop-taken id={id} route={route} since_ms={since} needed_ms={needed} left_ms={left} by={basis} runs={runs} known={known}"
        );
    }

    fn record_refusal(&self, needed: Duration, basis: Basis, phase: Phase) {
        let left = self.shared.lifetime.time_left().map_or_else(|| "-".to_owned(), |left| left.as_millis().to_string());
        let (id, route, phase, needed) = (&self.id, self.route_label(), phase.label(), needed.as_millis());
        let (runs, known) = self.run.known_runs(&self.shared.run_times, Instant::now());
        let (basis, known) = (basis.label(), known.label());
        info!(
            "event=stop-refused id={id} route={route} needed_ms={needed} left_ms={left} phase={phase} by={basis} runs={runs} known={known}"
        );
        self.shared.metrics.stop_outcomes.with_label_values(&["refused"]).inc();
    }

    /// The time that decides in a stop whether the request may be begun, and what it is known from.
    fn deciding_time(&self, work: WorkTime) -> (Duration, Basis) {
        let basis = self.estimate().1;
        if !self.shared.lifetime.needs_certainty() {
            return (work.expected, basis);
        }
        match work.at_most {
            Some(at_most) if at_most > work.expected => (at_most, Basis::Deadline),
            Some(_) => (work.expected, basis),
            None => (work.expected, Basis::Unbounded),
        }
    }

    fn refuse(&self, work: WorkTime, phase: Phase) -> Refusal {
        let (needed, basis) = self.deciding_time(work);
        self.record_refusal(needed, basis, phase);
        let (left, needed) = (self.shared.lifetime.time_left().unwrap_or_default().as_millis(), needed.as_millis());
        let message = format!("this daemon ends in {left} ms, and the request may take {needed} ms");
        Refusal::not_run(Reason::Stopping, message).with_retry_after(RETRY_AFTER)
    }
}

fn is_error(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}
