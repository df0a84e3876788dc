//! A request at a plain service whose answer is awaited.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use log::info;
use tokio::time::timeout;
use volo_http::response::Response;

use super::{
    attempt::Failure,
    crash::{PossibleCause, record_crash},
    run_window::RunWindow,
};
use crate::{
    config::Route,
    process::{ReplicaGuard, Shared},
    version::Sample,
};

/// Time for which a sound server may be silent beside another one that answers.
const SOUND_SILENCE: Duration = Duration::from_secs(2);

/// A request that has been sent, with its place at the server.
pub(crate) struct PendingAnswer {
    pub guard: ReplicaGuard,
    pub answer: BoxFuture<'static, Result<Response, Failure>>,
    pub sent_at: Instant,
}

/// Treats an error of the back end as a failure, as nobody waits for this answer.
fn reject_error(response: Response) -> Result<Response, Failure> {
    if response.status().is_server_error() { Err(Failure::ErrorStatus) } else { Ok(response) }
}

/// The request to whose answer another server was faster.
pub(crate) struct OvertakenRequest {
    pub shared: Arc<Shared>,
    pub route: Arc<Route>,
    pub id: Arc<str>,
    pub fingerprint: u64,
    pub window: RunWindow,
}

impl OvertakenRequest {
    /// Waits in a task of its own for the server's answer, whose body is not read. The server keeps the place meanwhile, and
    /// has failed once it is silent for longer than runs of the route usually take and sound servers may be silent.
    pub fn follow(self, pending: PendingAnswer) {
        tokio::spawn(async move {
            let PendingAnswer { guard, mut answer, sent_at } = pending;
            let mut result = timeout(SOUND_SILENCE.saturating_sub(sent_at.elapsed()), &mut answer).await;
            if result.is_err() {
                // What runs usually take may only be known by now.
                result = timeout(self.window.needed().saturating_sub(sent_at.elapsed()), answer).await;
            }
            if !self.window.has_ended() {
                self.record(&guard, result.unwrap_or(Err(Failure::TimedOut)), sent_at).await;
            }
        });
    }

    async fn record(&self, guard: &ReplicaGuard, result: Result<Response, Failure>, sent_at: Instant) {
        let replica = guard.replica();
        let Err(failure) = result.and_then(reject_error) else {
            replica.update_ejection(true, self.shared.now());
            return self.shared.observe(replica, &self.route.name, Sample::Good);
        };
        let (id, route, cause, took) = (&self.id, &self.route.name, failure.label(), sent_at.elapsed().as_millis());
        info!("event=overtaken-failed id={id} route={route} instance={} cause={cause} took_ms={took}", replica.id);
        self.shared.observe(replica, &self.route.name, Sample::Failed);
        failure.record_at(replica, self.shared.now());
        if failure == Failure::Disconnected {
            record_crash(&self.shared, guard, PossibleCause { id, fingerprint: self.fingerprint, parts: &[] }).await;
        }
    }
}
