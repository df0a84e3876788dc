//! Migration of runs off servers that are leaving.

use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use log::info;
use tokio::time::timeout;

use super::{
    numbered_events::EventSequence,
    proxy::ProxyCall,
    proxy_outcome::{MigratedRun, ProxyResponse},
    refusal::Refusal,
};
use crate::{
    port::{MigratedKvCache, MigrationOutcome},
    process::{Gateway, Offer, Replica, ReplicaGuard},
};

/// Time for all calls that migrate one run.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Servers to which a run is offered. Each call stops it until it resumes.
const MAX_TARGETS: usize = 2;

impl ProxyCall {
    /// Migrates the run to another server before its own terminates. A run that no other server has room for resumes
    /// at its own.
    ///
    /// # Errors
    /// Returns the reason if it is not known that the run has been stopped.
    pub(super) fn migrate(&self, guard: &ReplicaGuard) -> BoxFuture<'static, Result<MigratedRun, String>> {
        let gateway = self.gateway.clone();
        let (id, source) = (self.metadata.id.clone(), guard.replica().clone());
        let offers = self.migration_offers(&source);
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
                let time_left = MIGRATION_TIMEOUT.saturating_sub(started.elapsed());
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

    /// Resumes a stream whose run has been stopped to migrate it; `source` is the server that ran it.
    ///
    /// # Errors
    /// Returns a refusal if there is no response to pass on.
    pub(super) async fn resume_migrated(
        &mut self,
        migrated: MigratedRun,
        source: ReplicaGuard,
        sequence: &mut EventSequence,
    ) -> Result<ProxyResponse, Refusal> {
        self.crash_score()?;
        self.kv_cache = Some(migrated.kv_cache);
        let guard = migrated.target.unwrap_or(source);
        let instance = guard.replica().id.clone();
        let response = self.attempt(guard, sequence).await;
        self.kv_cache = None;
        match response {
            Ok(response) => Ok(response),
            Err(failure) => {
                let (id, label) = (&self.metadata.id, failure.label());
                info!("event=moved-run-failed id={id} instance={instance} cause={label}");
                if !self.may_resume("moved") {
                    return self.final_result(failure);
                }
                self.attempts(sequence).await
            }
        }
    }
}

/// Charges a move to the rate limit that its target has named.
async fn admit(gateway: &Gateway, id: &str, target: &Replica) -> Result<(), &'static str> {
    gateway.admit_to_server(id, target).await.map_err(|_| "the other server has got what it takes")?;
    if target.is_leaving() { Err("the other server is leaving too") } else { Ok(()) }
}
