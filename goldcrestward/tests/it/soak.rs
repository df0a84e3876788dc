//! Traffic under a random sequence of faults, with a fixed seed.
//!
//! CI runs the short form. The long form is:
//! `GOLDCRESTWARD_SOAK_SECONDS=340 cargo test --release -p goldcrestward --test it soak -- --nocapture`.

use std::{collections::BTreeSet, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustix::process::Signal;
use standin::{
    engine::EngineFaults,
    load::LoadReport,
    platform::{InstanceState, PlatformFaults},
    service::ServiceFaults,
};
use tokio::time::{Instant, sleep};

use crate::support::{TestSite, eventually, run_load};

const SEED: u64 = 42;
const SHORT_SECONDS: u64 = 40;
/// Rate of streams and, separately, of keyed requests.
const REQUESTS_PER_SECOND: f64 = 60.0;
const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Fraction of the run during which the platform's service is unavailable; the outage lasts 120 s at most.
const OUTAGE_FRACTION: f64 = 0.35;

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillDaemon,
    StopDaemon,
    PauseDaemon,
    ReclaimRegion,
    KillEngine,
    LoseAnswers,
    CutAnswers,
}

const FAULTS: [Fault; 7] = [
    Fault::KillDaemon,
    Fault::StopDaemon,
    Fault::PauseDaemon,
    Fault::ReclaimRegion,
    Fault::KillEngine,
    Fault::LoseAnswers,
    Fault::CutAnswers,
];

struct Soak {
    site: TestSite,
    targets: standin::load::Targets,
    rng: SmallRng,
    /// Number of the next daemon to start.
    next_daemon: usize,
    /// Caller addresses of the daemons that were killed.
    killed: BTreeSet<std::net::SocketAddr>,
    /// Region of each engine by number; empty once the engine is gone.
    regions: Vec<&'static str>,
    log: Vec<String>,
}

impl Soak {
    async fn inject(&mut self, fault: Fault) {
        self.log.push(format!("{fault:?}"));
        match fault {
            Fault::KillDaemon | Fault::StopDaemon => self.replace_daemon(matches!(fault, Fault::KillDaemon)).await,
            Fault::PauseDaemon => {
                let daemon = &self.site.daemons[self.rng.random_range(0..self.site.daemons.len())];
                daemon.signal(Signal::STOP);
                sleep(Duration::from_secs(6)).await;
                daemon.signal(Signal::CONT);
            }
            Fault::ReclaimRegion => self.reclaim_region().await,
            Fault::KillEngine => {
                let live: Vec<usize> = (0..self.regions.len()).filter(|n| !self.regions[*n].is_empty()).collect();
                let victim = live[self.rng.random_range(0..live.len())];
                let region = self.regions[victim];
                self.site.engines[victim].kill();
                self.site.register_engine(victim, "models-1", region, InstanceState::Gone);
                self.regions[victim] = "";
                self.add_engine(region).await;
            }
            Fault::LoseAnswers => {
                self.site.platform.set_faults(PlatformFaults { lost_answers: 0.2, ..PlatformFaults::default() });
                sleep(Duration::from_secs(4)).await;
                self.site.platform.set_faults(PlatformFaults::default());
            }
            Fault::CutAnswers => {
                self.site.set_engine_faults(&EngineFaults {
                    cut: 0.05,
                    crossed: 0.02,
                    doubled: 0.1,
                    ..EngineFaults::default()
                });
                self.site.set_service_faults(&ServiceFaults {
                    cut_after: 0.05,
                    delay_ms: 10,
                    ..ServiceFaults::default()
                });
                sleep(Duration::from_secs(4)).await;
                self.site.set_engine_faults(&EngineFaults::default());
                self.site.set_service_faults(&ServiceFaults::default());
            }
        }
    }

    async fn add_engine(&mut self, region: &'static str) {
        self.site.add_engine("models-1", region).await;
        self.regions.push(region);
    }

    /// Starts a daemon, then kills or gracefully stops the oldest one.
    async fn replace_daemon(&mut self, kill: bool) {
        let region = REGIONS[self.next_daemon % REGIONS.len()];
        self.site.add_daemon(self.next_daemon, region).await;
        self.next_daemon += 1;
        let newcomer = self.site.daemons.last().expect("a daemon was added");
        eventually("the new daemon is ready", || async { newcomer.is_ready().await.then_some(()) }).await;
        self.targets.add(newcomer.callers);
        let mut old = self.site.daemons.remove(0);
        if kill {
            self.killed.insert(old.callers);
            old.kill();
            self.targets.remove(old.callers);
            return;
        }
        self.targets.remove(old.callers);
        old.signal(Signal::TERM);
        let cell = std::cell::RefCell::new(&mut old);
        let status = eventually("the old daemon exits", || async { cell.borrow_mut().exit_status() }).await;
        assert!(status.success(), "{status}");
    }

    /// Reclaims all engines of a region: marks them as leaving, starts replacements, and kills them 3 s later.
    async fn reclaim_region(&mut self) {
        let region = REGIONS[self.rng.random_range(0..REGIONS.len())];
        let leaving: Vec<usize> = (0..self.regions.len()).filter(|n| self.regions[*n] == region).collect();
        for number in &leaving {
            self.site.register_engine(*number, "models-1", region, InstanceState::Leaving);
        }
        for _ in &leaving {
            self.add_engine(region).await;
        }
        sleep(Duration::from_secs(3)).await;
        for number in leaving {
            self.site.register_engine(number, "models-1", region, InstanceState::Gone);
            self.site.engines[number].kill();
            self.regions[number] = "";
        }
    }

    fn check(&self, report: &LoadReport) {
        self.site.check_keyed(report);
        assert_eq!(report.wrong, 0, "{report:?}");
        // Only a daemon killed without notice may truncate streams, as its callers' connections break.
        let others: Vec<_> = report.cut_at.iter().filter(|target| !self.killed.contains(target)).collect();
        assert!(others.is_empty(), "streams truncated at daemons that were not killed: {others:?}; {report:?}");
        assert!(report.whole * 2 > report.streams + report.keyed, "{report:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_under_random_faults_runs_nothing_twice_and_mixes_no_responses() {
    let seconds = std::env::var("GOLDCRESTWARD_SOAK_SECONDS").ok().and_then(|s| s.parse().ok());
    let seconds: u64 = seconds.unwrap_or(SHORT_SECONDS);
    let mut site = TestSite::start(3, 0).await;
    let mut regions = Vec::new();
    for number in 0..9 {
        site.add_engine("models-1", REGIONS[number % 3]).await;
        regions.push(REGIONS[number % 3]);
    }
    for number in 3..7 {
        site.add_daemon(number, REGIONS[number % 3]).await;
    }
    site.wait_until_serving().await;
    let plan = site.load(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, seconds);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let rng = SmallRng::seed_from_u64(SEED);
    let mut soak = Soak { site, targets, rng, next_daemon: 7, killed: BTreeSet::new(), regions, log: Vec::new() };
    let end = Instant::now() + Duration::from_secs(seconds);
    let outage = Duration::from_secs_f64(seconds as f64 * OUTAGE_FRACTION);
    let outage_at = end - Duration::from_secs_f64(seconds as f64 * 0.6);
    let mut outage_start = None;
    let mut remaining: Vec<Fault> = FAULTS.to_vec();
    while Instant::now() + Duration::from_secs(8) < end {
        sleep(Duration::from_secs(soak.rng.random_range(1..3))).await;
        if outage_start.is_none() && Instant::now() >= outage_at {
            soak.log.push("Outage".into());
            soak.site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
            outage_start = Some(Instant::now());
        }
        if outage_start.is_some_and(|since| since.elapsed() >= outage.min(Duration::from_secs(120))) {
            soak.site.platform.set_faults(PlatformFaults::default());
        }
        // Injects every kind of fault once before any is repeated.
        if remaining.is_empty() {
            remaining = FAULTS.to_vec();
        }
        let fault = remaining.remove(soak.rng.random_range(0..remaining.len()));
        let in_outage = outage_start.is_some_and(|since| since.elapsed() < outage.min(Duration::from_secs(120)));
        if !(in_outage && matches!(fault, Fault::LoseAnswers)) {
            soak.inject(fault).await;
        }
    }
    soak.site.platform.set_faults(PlatformFaults::default());
    let report = load.await.expect("the load runs");
    let resumed = soak.site.counter("resumed_total", "").await;
    let recomputed = soak.site.counter("recomputed_tokens_total", "").await;
    println!("faults: {:?}", soak.log);
    println!("resumed {resumed}, tokens recomputed {recomputed} (daemons that still run)");
    println!("service calls: {:?}", soak.site.platform.counters());
    println!(
        "streams {} keyed {} whole {} cut {} wrong {} unanswered {} refused {:?} sent again {:?}",
        report.streams,
        report.keyed,
        report.whole,
        report.cut,
        report.wrong,
        report.unanswered,
        report.refused,
        report.retried
    );
    soak.check(&report);
}
