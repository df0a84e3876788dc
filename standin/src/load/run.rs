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
    plan::{Kind, LoadPlan},
    report::{Gatherer, LoadReport},
};

/// Pause of a caller before it sends a refused request again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

struct Caller {
    plan: LoadPlan,
    client: Client,
    gatherer: Mutex<Gatherer>,
}

/// Sends the load at planned times, whatever becomes of earlier requests; `progress` counts ends.
pub async fn run(plan: LoadPlan, progress: Arc<AtomicU64>) -> LoadReport {
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let total = plan.streams_per_second + plan.keyed_per_second;
    let caller = Arc::new(Caller { client: Client::default(), gatherer: Mutex::new(Gatherer::new()), plan });
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0;
    while at < caller.plan.duration && total > 0.0 {
        tokio::time::sleep_until((start + at).into()).await;
        let keyed = random.random_bool(caller.plan.keyed_per_second / total);
        let kind = if keyed { Kind::Keyed } else { Kind::Stream };
        let prompt = caller.plan.workload.prompt(&mut random, number);
        let (caller, progress) = (caller.clone(), progress.clone());
        let planned = start + at;
        tasks.spawn(async move {
            match kind {
                Kind::Stream => caller.stream(number, &prompt, planned).await,
                Kind::Keyed => caller.keyed(number, planned).await,
            }
            progress.fetch_add(1, Ordering::Relaxed);
        });
        while tasks.try_join_next().is_some() {}
        number += 1;
        at += Duration::from_secs_f64(1.0 / total);
    }
    while tasks.join_next().await.is_some() {}
    let caller = Arc::into_inner(caller);
    caller.map(|c| c.gatherer.into_inner().finish()).unwrap_or_default()
}

impl Caller {
    async fn stream(&self, number: u64, prompt: &str, planned: Instant) {
        let workload = &self.plan.workload;
        for retry in 0..=u64::from(self.plan.max_retries) {
            let Some(target) = self.plan.targets.pick(number + retry) else { return };
            let (key, model) = (&self.plan.key, &workload.model);
            let check = self.client.stream(target, key, model, prompt, workload.tokens, planned).await;
            let again = matches!(check.outcome, RequestOutcome::Refused(..) | RequestOutcome::Unanswered);
            if again && retry < u64::from(self.plan.max_retries) {
                self.gatherer.lock().retry(&check.outcome);
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            self.gatherer.lock().stream(&check, target);
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
            let settled = matches!(&outcome, RequestOutcome::Refused(reason, _) if reason == "earlier-may-have-run");
            let again = !settled
                && matches!(
                    outcome,
                    RequestOutcome::Refused(..) | RequestOutcome::Unanswered | RequestOutcome::Truncated
                );
            if again && retry < u64::from(self.plan.max_retries) {
                self.gatherer.lock().retry(&outcome);
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            self.gatherer.lock().keyed(id, &outcome, every_not_run, planned.elapsed());
            return;
        }
    }
}
