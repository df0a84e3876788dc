//! Runs the steps of an upgrade.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, task::JoinSet};

use super::{
    CHANGE_LIMIT,
    binaries::Binaries,
    changes::{Change, Prober},
    plan::{Phase, Step, UpgradePlan},
    promises::BrokenPromises,
    report::{StepReport, UpgradeReport},
    site::{LOAD_KEY, Site},
};
use crate::{
    error::Result,
    load::{self, LoadPlan, Workload},
};

const STREAMS_PER_SECOND: f64 = 20.0;
const KEYED_PER_SECOND: f64 = 10.0;
/// Retries of a caller, which last longer than a daemon takes to stop.
const MAX_RETRIES: u32 = 100;
/// Longest run; the load ends with the steps.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Time that the daemons have to agree on who is alive.
const AGREEMENT_LIMIT: Duration = Duration::from_secs(20);
/// Time that a daemon has to accept a change.
const ACCEPT_LIMIT: Duration = Duration::from_secs(10);

/// What an upgrade is run with.
#[derive(Clone, Debug)]
pub struct UpgradeOptions {
    /// The program that all daemons run at first.
    pub old: PathBuf,
    /// The program that replaces it.
    pub new: PathBuf,
    pub daemons: usize,
    /// Parts of the upgrade, in their order.
    pub phases: Vec<Phase>,
    pub seed: u64,
    /// Existing folder for the daemons' logs; they log nothing if absent.
    pub logs: Option<PathBuf>,
}

struct Run {
    site: Site,
    prober: Prober,
    broken: BrokenPromises,
    /// Changes that were acknowledged.
    changes: Vec<Change>,
}

/// Replaces daemons one after the other under load and checks the promises from what callers and servers see.
///
/// # Errors
/// Fails when the stand-ins or the first daemons cannot be started. Broken promises are part of the report.
pub async fn run(options: UpgradeOptions) -> Result<UpgradeReport> {
    let UpgradeOptions { old, new, daemons, phases, seed, logs } = options;
    let plan = UpgradePlan::new(daemons, &phases, seed);
    let site = Site::start(Binaries { old, new }, daemons, seed, logs).await?;
    let mut run = Run { site, prober: Prober::default(), broken: BrokenPromises::default(), changes: Vec::new() };
    run.site.wait_until_agreed(AGREEMENT_LIMIT, &mut run.broken).await;
    let (stop, stopped) = oneshot::channel::<()>();
    let load = tokio::spawn(load::run_until(run.load_plan(seed), Arc::default(), async {
        stopped.await.ok();
    }));
    let mut steps = Vec::new();
    for (number, step) in plan.steps.iter().enumerate() {
        steps.push(run.step(Change(number), step).await?);
    }
    stop.send(()).ok();
    let load = load.await.unwrap_or_default();
    run.site.replace_ended(&mut run.broken).await?;
    run.broken.check_load(&load, &run.site.killed, &run.site.executions.lock());
    Ok(UpgradeReport { seed, daemons, steps, load, broken: run.broken.into_lines() })
}

impl Run {
    fn load_plan(&self, seed: u64) -> LoadPlan {
        LoadPlan {
            targets: self.site.targets.clone(),
            key: LOAD_KEY.into(),
            workload: Workload { prefix_words: 40, suffix_words: 10, tokens: 40, ..Workload::swanvale() },
            streams_per_second: STREAMS_PER_SECOND,
            keyed_per_second: KEYED_PER_SECOND,
            duration: MAX_DURATION,
            max_retries: MAX_RETRIES,
            seed,
        }
    }

    async fn step(&mut self, change: Change, step: &Step) -> Result<StepReport> {
        let Self { site, broken, .. } = self;
        site.replace_ended(broken).await?;
        let stopped = site.daemons[step.slot].name.clone();
        let stop_s = site.stop(step.slot, broken).await;
        let ready_s = site.replace(step.slot, step.build, broken).await?;
        if step.reclaims {
            site.reclaim_engine()?;
        }
        let killed = step.killed.map(|slot| (slot, site.daemons[slot].build, site.kill(slot)));
        let in_force_s = self.change(change, step.proposer).await;
        let Self { site, broken, .. } = self;
        let mut agreed_s = site.wait_until_agreed(AGREEMENT_LIMIT, broken).await;
        if let Some((slot, build, _)) = &killed {
            site.replace(*slot, *build, broken).await?;
            let again_s = site.wait_until_agreed(AGREEMENT_LIMIT, broken).await;
            agreed_s = agreed_s.zip(again_s).map(|(first, again)| first + again);
        }
        self.check_changes().await;
        let report = StepReport {
            phase: step.phase,
            stopped,
            build: step.build,
            stop_s,
            ready_s,
            killed: killed.map(|(.., name)| name),
            reclaimed: step.reclaims,
            in_force_s,
            agreed_s,
        };
        Ok(report)
    }

    /// Makes a change and returns the time from its acknowledgement until all daemons follow.
    async fn change(&mut self, change: Change, proposer: usize) -> Option<f64> {
        let proposer_name = self.site.daemons[proposer].name.clone();
        let target = self.site.daemons[proposer].callers;
        if !self.prober.accepts_key(change, target).await {
            self.broken.push(format!("{proposer_name} refuses key {} before it is withdrawn", change.0));
        }
        let acknowledged = match self.site.propose(proposer, &change.files(), ACCEPT_LIMIT).await {
            Ok(acknowledged) => acknowledged,
            Err(error) => {
                self.broken.push(format!("{proposer_name} did not acknowledge change {}: {error}", change.0));
                return None;
            }
        };
        self.changes.push(change);
        let slots = self.site.running();
        let mut last = Some(Duration::ZERO);
        for (name, result) in self.ask(slots, change, acknowledged).await {
            last = last.zip(result.as_ref().ok().copied()).map(|(last, time)| last.max(time));
            if let Err(answers) = result {
                let limit = CHANGE_LIMIT.as_secs();
                self.broken.push(format!("{name} does not follow change {} within {limit} s: {answers}", change.0));
            }
        }
        last.map(|time| time.as_secs_f64())
    }

    async fn ask(&self, slots: Vec<usize>, change: Change, since: Instant) -> Vec<(String, Result<Duration, String>)> {
        let mut tasks = JoinSet::new();
        for slot in slots {
            let (name, target) = (self.site.daemons[slot].name.clone(), self.site.daemons[slot].callers);
            let prober = self.prober.clone();
            tasks.spawn(async move { (name, prober.time_until_in_force(change, target, since).await) });
        }
        tasks.join_all().await
    }

    /// Checks that every daemon still follows all acknowledged changes.
    async fn check_changes(&mut self) {
        for slot in self.site.running() {
            let daemon = &self.site.daemons[slot];
            for change in &self.changes {
                if let Err(answers) = self.prober.check(*change, daemon.callers).await {
                    self.broken.push(format!("{} no longer follows change {}: {answers}", daemon.name, change.0));
                }
            }
        }
    }
}
