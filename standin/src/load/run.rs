//! Runs a load.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::task::JoinSet;

use super::{
    client::{Client, RequestOutcome},
    plan::{LoadPlan, RequestKind},
    report::{LoadReport, ReportBuilder},
};

const RETRY_DELAY: Duration = Duration::from_millis(300);

struct LoadRunner {
    plan: LoadPlan,
    client: Client,
    report: Mutex<ReportBuilder>,
}

/// Sends requests at planned times, without waiting for earlier ones, and returns the report once
/// all have ended. `progress` counts the requests that have ended.
pub async fn run(plan: LoadPlan, progress: Arc<AtomicU64>) -> LoadReport {
    run_until(plan, progress, std::future::pending()).await
}

/// Like [`run`], but sends no further requests once `stop` has completed.
pub async fn run_until(plan: LoadPlan, progress: Arc<AtomicU64>, stop: impl Future<Output = ()>) -> LoadReport {
    let mut stop = std::pin::pin!(stop);
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let total = plan.streams_per_second + plan.keyed_per_second;
    let runner = Arc::new(LoadRunner { client: Client::default(), report: Mutex::new(ReportBuilder::new()), plan });
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut number = 0;
    while offset < runner.plan.duration && total > 0.0 {
        tokio::select! {
            () = tokio::time::sleep_until((start + offset).into()) => {}
            () = &mut stop => break,
        }
        let keyed = random.random_bool(runner.plan.keyed_per_second / total);
        let kind = if keyed { RequestKind::Keyed } else { RequestKind::Stream };
        let prompt = runner.plan.workload.prompt(&mut random, number);
        let (runner, progress) = (runner.clone(), progress.clone());
        let planned = start + offset;
        tasks.spawn(async move {
            match kind {
                RequestKind::Stream => runner.stream(number, &prompt, planned).await,
                RequestKind::Keyed => runner.keyed(number, planned).await,
            }
            progress.fetch_add(1, Ordering::Relaxed);
        });
        while tasks.try_join_next().is_some() {}
        number += 1;
        offset += Duration::from_secs_f64(1.0 / total);
    }
    while tasks.join_next().await.is_some() {}
    let runner = Arc::into_inner(runner);
    runner.map(|r| r.report.into_inner().finish()).unwrap_or_default()
}

impl LoadRunner {
    async fn stream(&self, number: u64, prompt: &str, planned: Instant) {
        let workload = &self.plan.workload;
        for retry in 0..=u64::from(self.plan.max_retries) {
            let Some(target) = self.plan.targets.pick(number + retry) else { return };
            let (key, model) = (&self.plan.key, &workload.model);
            let result = self.client.stream(target, key, model, prompt, workload.tokens, planned).await;
            let should_retry = matches!(
                result.outcome,
                RequestOutcome::Refused(..) | RequestOutcome::Unreached | RequestOutcome::Unanswered
            );
            if should_retry && retry < u64::from(self.plan.max_retries) {
                self.report.lock().add_retry(&result.outcome, target);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            self.report.lock().add_stream(&result, target);
            return;
        }
    }

    async fn keyed(&self, number: u64, planned: Instant) {
        let id = format!("key-{}-{number}", self.plan.seed);
        let mut every_not_run = true;
        for retry in 0..=u64::from(self.plan.max_retries) {
            let Some(target) = self.plan.targets.pick(number + retry) else { return };
            let outcome = self.client.keyed(target, &self.plan.key, &self.plan.workload.keyed_path, &id).await;
            every_not_run &= matches!(&outcome, RequestOutcome::Refused(_, run) if run == "not-run");
            let is_final = matches!(&outcome, RequestOutcome::Refused(reason, _) if reason == "earlier-may-have-run");
            let should_retry = !is_final
                && matches!(
                    outcome,
                    RequestOutcome::Refused(..)
                        | RequestOutcome::Unreached
                        | RequestOutcome::Unanswered
                        | RequestOutcome::Truncated
                );
            if should_retry && retry < u64::from(self.plan.max_retries) {
                self.report.lock().add_retry(&outcome, target);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            self.report.lock().add_keyed(id, &outcome, every_not_run, planned.elapsed());
            return;
        }
    }
}
