//! Migration of runs off servers that are leaving.

use std::{
    future::{Future, poll_fn},
    mem,
    pin::pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use log::info;
use parking_lot::Mutex;
use tokio::time::{sleep, timeout};

use super::{
    numbered_events::EventSequence,
    proxy::ProxyCall,
    proxy_outcome::{MigratedRun, ProxyFailure, ProxyResponse},
    refusal::Refusal,
};
use crate::{
    port::{MigratedKvCache, MigrationOutcome},
    process::{Gateway, Offer, Replica, ReplicaGuard},
};

/// Time for all calls that migrate a run which may be repeated instead.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Servers to which a run is offered. Each call stops it until it resumes.
const MAX_TARGETS: usize = 2;
/// Longest time until a request notices that its server is leaving, as that wakes no request.
pub(super) const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Migration of a run whose server is leaving.
#[derive(Default)]
pub(super) enum Migration {
    /// Not requested.
    #[default]
    Idle,
    /// Requested but not answered. The mutex is never contended; it makes the state `Sync`.
    Pending(Mutex<BoxFuture<'static, Result<MigratedRun, String>>>),
    /// The run has stopped and resumes with its KV cache.
    Done(MigratedRun),
    /// The run could not be migrated and continues where it is, or has resumed there.
    Failed,
}

impl ProxyCall {
    /// Waits for a step of the exchange like [`wait_for`](Self::wait_for), and requests the migration of the run meanwhile
    /// if its server is about to terminate. Returns `None` also once the run has been migrated.
    pub(super) async fn wait_or_migrate<T>(
        &mut self,
        guard: &ReplicaGuard,
        step: impl Future<Output = T>,
    ) -> Option<T> {
        let mut step = pin!(step);
        if self.route.kind.is_stream() && matches!(self.migration, Migration::Idle) {
            let due = migration_due(self.gateway.clone(), guard.replica().clone());
            tokio::select! {
                biased;
                output = self.wait_for(guard, step.as_mut()) => return output,
                () = due => self.request_migration(guard),
            }
        }
        if matches!(self.migration, Migration::Pending(_)) {
            let time_left = self.time_left();
            tokio::select! {
                biased;
                output = step.as_mut() => return Some(output),
                () = self.finish_migration() => {}
                () = sleep(time_left) => return None,
            }
        }
        if matches!(self.migration, Migration::Done(_)) {
            return None;
        }
        self.wait_for(guard, step).await
    }

    /// Requests the migration of the run if its server is about to terminate.
    pub(super) fn request_migration(&mut self, guard: &ReplicaGuard) {
        if matches!(self.migration, Migration::Idle) && guard.replica().must_migrate(self.gateway.shared.now()) {
            self.migration = Migration::Pending(Mutex::new(self.migrate(guard)));
        }
    }

    /// Becomes ready when no answer to the request to migrate is awaited.
    pub(super) fn poll_migration(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Migration::Pending(pending) = &mut self.migration else { return Poll::Ready(()) };
        self.migration = match ready!(pending.get_mut().as_mut().poll(context)) {
            Ok(migrated) => Migration::Done(migrated),
            Err(error) => {
                info!("event=move-failed id={} error={error:?}", self.metadata.id);
                Migration::Failed
            }
        };
        Poll::Ready(())
    }

    async fn finish_migration(&mut self) {
        poll_fn(|context| self.poll_migration(context)).await;
    }

    /// The run, if it has been migrated: the stream of a stopped run ends before the migration is answered.
    pub(super) async fn migrated_run(&mut self) -> Option<MigratedRun> {
        timeout(self.time_left(), self.finish_migration()).await.ok();
        match mem::take(&mut self.migration) {
            Migration::Done(migrated) => Some(migrated),
            other => {
                self.migration = other;
                None
            }
        }
    }

    /// Migrates the run to another server before its own terminates. A run that no other server has room for resumes
    /// at its own. One that may not be repeated is lost without the server's answer, which is awaited for as long as the
    /// request has time: a server that pauses may stop the run later.
    ///
    /// # Errors
    /// Returns the reason if it is not known that the run has been stopped.
    fn migrate(&self, guard: &ReplicaGuard) -> BoxFuture<'static, Result<MigratedRun, String>> {
        let gateway = self.gateway.clone();
        let (id, source) = (self.metadata.id.clone(), guard.replica().clone());
        let offers = self.migration_offers(&source);
        let may_run_again = self.route.kind.is_idempotent() && self.has_attempt();
        let limit = if may_run_again { MIGRATION_TIMEOUT } else { self.time_left() };
        Box::pin(async move {
            let started = Instant::now();
            let mut kept: Option<MigratedKvCache> = None;
            let mut failure = "no other server takes requests".to_owned();
            for offer in offers {
                let target = offer.accept();
                if let Err(reason) = admit(&gateway, &id, target.replica()).await {
                    failure = reason.to_owned();
                    continue;
                }
                let time_left = limit.saturating_sub(started.elapsed());
                let migration = gateway.engines.migrate_run(source.address, &id, target.replica().address);
                let outcome =
                    timeout(time_left, migration).await.unwrap_or_else(|_| Err("no answer in time".to_owned()));
                let (from, to) = (&source.id, &target.replica().id);
                match outcome {
                    Ok(MigrationOutcome::Migrated(kv_cache)) => {
                        info!("event=run-moved id={id} from={from} to={to} handle={}", kv_cache.handle);
                        return Ok(MigratedRun { target: Some(target), kv_cache });
                    }
                    Ok(MigrationOutcome::KeptAtSource(kv_cache)) => {
                        info!("event=move-refused id={id} from={from} to={to} handle={}", kv_cache.handle);
                        kept = Some(kv_cache);
                        failure = "no other server has room".to_owned();
                    }
                    // The run has been stopped if it was before, and the handle of that call is still good.
                    Err(error) => {
                        failure = error;
                        break;
                    }
                }
            }
            let Some(kv_cache) = kept else { return Err(failure) };
            info!("event=run-stays id={id} instance={} handle={} error={failure:?}", source.id, kv_cache.handle);
            Ok(MigratedRun { target: None, kv_cache })
        })
    }

    /// Servers that the run could be migrated to, the best first.
    fn migration_offers(&self, source: &Replica) -> Vec<Offer> {
        let mut excluded = vec![source.id.clone()];
        let mut offers = Vec::new();
        while offers.len() < MAX_TARGETS {
            let Ok(offer) = self.placement.offer(&self.gateway, &excluded, 0) else { break };
            excluded.push(offer.replica().id.clone());
            offers.push(offer);
        }
        offers
    }

    /// Resumes a stream whose run has been stopped to migrate it; `source` is the server that ran it. The run goes on there if
    /// the other server does not take it.
    ///
    /// # Errors
    /// Returns a refusal if there is no response to pass on.
    pub(super) fn resume_migrated<'a>(
        &'a mut self,
        mut migrated: MigratedRun,
        mut source: ReplicaGuard,
        sequence: &'a mut EventSequence,
    ) -> BoxFuture<'a, Result<ProxyResponse, Refusal>> {
        Box::pin(async move {
            loop {
                let way = if migrated.target.is_some() { "import" } else { "source" };
                self.gateway.shared.metrics.resumed.with_label_values(&[way]).inc();
                sequence.restart();
                self.crash_score()?;
                self.kv_cache = Some(migrated.kv_cache);
                let (guard, left) = match migrated.target {
                    Some(target) => (target, Some(source)),
                    None => (source, None),
                };
                let instance = guard.replica().id.clone();
                let response = self.attempt_in_time(guard, sequence).await;
                let kv_cache = self.kv_cache.take();
                let (instance, failure) = match response {
                    Ok(response) => return Ok(response),
                    Err(failure) => failure.locate(instance),
                };
                let failure = match failure {
                    ProxyFailure::Migrated(run) => {
                        (migrated, source) = *run;
                        continue;
                    }
                    failure => failure,
                };
                let (id, label) = (&self.metadata.id, failure.label());
                info!("event=moved-run-failed id={id} instance={instance} cause={label}");
                self.record_unserved(&failure);
                if failure.is_unserved()
                    && let (Some(left), Some(kv_cache)) = (left, kv_cache)
                {
                    (migrated, source) = (MigratedRun { target: None, kv_cache }, left);
                    continue;
                }
                if !self.may_resume("moved") {
                    return self.final_result(failure);
                }
                return self.attempts(sequence).await;
            }
        })
    }
}

/// Waits until the replica is about to terminate.
async fn migration_due(gateway: Arc<Gateway>, replica: Arc<Replica>) {
    while !replica.must_migrate(gateway.shared.now()) {
        sleep(LEAVING_CHECK_INTERVAL).await;
    }
}

/// Charges a move to the rate limit that its target has named.
async fn admit(gateway: &Gateway, id: &str, target: &Replica) -> Result<(), &'static str> {
    gateway.admit_to_server(id, target).await.map_err(|_| "the other server has got what it takes")?;
    if target.is_leaving() { Err("the other server is leaving too") } else { Ok(()) }
}
