//! Traffic under a sequence of faults drawn from a seed.
//!
//! The short form runs in CI. The long one:
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
const PER_SECOND: f64 = 60.0;
const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Part of the time for which the service is away.
const OUTAGE_PART: f64 = 0.35;

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
    random: SmallRng,
    next: usize,
    killed: BTreeSet<std::net::SocketAddr>,
    regions: Vec<&'static str>,
    log: Vec<String>,
}

impl Soak {
    async fn fault(&mut self, fault: Fault) {
        self.log.push(format!("{fault:?}"));
        match fault {
            Fault::KillDaemon | Fault::StopDaemon => self.replace_daemon(matches!(fault, Fault::KillDaemon)).await,
            Fault::PauseDaemon => {
                let daemon = &self.site.daemons[self.random.random_range(0..self.site.daemons.len())];
                daemon.signal(Signal::STOP);
                sleep(Duration::from_secs(6)).await;
                daemon.signal(Signal::CONT);
            }
            Fault::ReclaimRegion => self.reclaim().await,
            Fault::KillEngine => {
                let live: Vec<usize> = (0..self.regions.len()).filter(|n| !self.regions[*n].is_empty()).collect();
                let victim = live[self.random.random_range(0..live.len())];
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

    /// Starts a daemon, then kills or stops the oldest one.
    async fn replace_daemon(&mut self, kill: bool) {
        let region = REGIONS[self.next % REGIONS.len()];
        self.site.add_daemon(self.next, region).await;
        self.next += 1;
        let newcomer = self.site.daemons.last().expect("a daemon was added");
        eventually("the new daemon serves", || async { newcomer.is_ready().await.then_some(()) }).await;
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
        let status = eventually("the old daemon ends", || async { cell.borrow_mut().exit_status() }).await;
        assert!(status.success(), "{status}");
    }

    /// A region's engines get two seconds of notice; others take their place.
    async fn reclaim(&mut self) {
        let region = REGIONS[self.random.random_range(0..REGIONS.len())];
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
        // A daemon that is killed without notice breaks its callers' connections; nothing else may.
        let others: Vec<_> = report.cut_at.iter().filter(|target| !self.killed.contains(target)).collect();
        assert!(others.is_empty(), "cut at daemons that were not killed: {others:?}; {report:?}");
        assert!(report.whole * 2 > report.streams + report.keyed, "{report:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_under_drawn_faults_doubles_and_mixes_nothing() {
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
    let plan = site.load(PER_SECOND, PER_SECOND, seconds);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let random = SmallRng::seed_from_u64(SEED);
    let mut soak = Soak { site, targets, random, next: 7, killed: BTreeSet::new(), regions, log: Vec::new() };
    let end = Instant::now() + Duration::from_secs(seconds);
    let outage = Duration::from_secs_f64(seconds as f64 * OUTAGE_PART);
    let outage_at = end - Duration::from_secs_f64(seconds as f64 * 0.6);
    let mut away = None;
    let mut order: Vec<Fault> = FAULTS.to_vec();
    while Instant::now() + Duration::from_secs(8) < end {
        sleep(Duration::from_secs(soak.random.random_range(1..3))).await;
        if away.is_none() && Instant::now() >= outage_at {
            soak.log.push("Outage".into());
            soak.site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
            away = Some(Instant::now());
        }
        if away.is_some_and(|since| since.elapsed() >= outage.min(Duration::from_secs(120))) {
            soak.site.platform.set_faults(PlatformFaults::default());
        }
        // Every kind comes before any comes again.
        if order.is_empty() {
            order = FAULTS.to_vec();
        }
        let fault = order.remove(soak.random.random_range(0..order.len()));
        let in_outage = away.is_some_and(|since| since.elapsed() < outage.min(Duration::from_secs(120)));
        if !(in_outage && matches!(fault, Fault::LoseAnswers)) {
            soak.fault(fault).await;
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
