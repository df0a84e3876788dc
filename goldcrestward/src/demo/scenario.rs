//! Scenario of the demonstration: traffic of both users, during which a new version is rolled
//! out, a zone is reclaimed and a daemon is stopped.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use log::warn;
use serde_json::{Value, json};
use standin::load::{self, LoadPlan, LoadReport, Targets, Workload};
use tokio::time::sleep;

use super::{
    daemon::DemoDaemon,
    error::{ConfigurationSnafu, Result},
    progress::{Progress, ProgressDetail},
    site::{DemoSite, InstanceSpec, propose_changes, propose_config},
    summary::Summary,
};
use crate::util::unix_ms;
use snafu::OptionExt;

/// Time during which new requests are sent.
const TRAFFIC_DURATION: Duration = Duration::from_secs(26);
/// Streamed requests per second of Swanvale and of Klaasvikat.
const STREAMS_PER_SECOND: [f64; 2] = [30.0, 12.0];
/// Requests with an idempotency key per second, of each user.
const KEYED_PER_SECOND: f64 = 4.0;
/// Maximum retries of a request that was refused or got no complete response.
const MAX_RETRIES: u32 = 20;
/// Time from the start of the rollout to its date.
const ROLLOUT_DURATION: Duration = Duration::from_secs(20);
/// Time from the start of the traffic to the zone's reclaim notice.
const NOTICE_AT: Duration = Duration::from_secs(7);
/// Time from the reclaim notice to the end of the zone's instances.
const NOTICE_PERIOD: Duration = Duration::from_secs(2);
/// Time from the start of the traffic to the stop of a daemon.
const DAEMON_STOP_AT: Duration = Duration::from_secs(12);
/// Time to wait until the platform's list shows the first instances.
const LIST_WAIT: Duration = Duration::from_millis(400);
const DAEMON_REGIONS: [&str; 7] = ["perth-metro", "wheatbelt", "south-west", "pohja", "louna", "laane", "perth-metro"];
/// The zone that is reclaimed.
const ZONE: &str = "perth-metro-a";
/// The version that is rolled out.
const VERSION: &str = "planner-2";

pub(crate) struct Scenario {
    site: DemoSite,
    daemons: Vec<DemoDaemon>,
    targets: Targets,
    seed: u64,
}

impl Scenario {
    /// Starts the site with its configuration in force.
    pub async fn start(seed: u64) -> Result<Self> {
        let site = DemoSite::start(seed).await?;
        for (pool, regions, count) in
            [("planner", ["perth-metro", "wheatbelt", "south-west"], 4), ("drafter", ["pohja", "louna", "laane"], 6)]
        {
            for region in regions {
                for number in 0..count {
                    let zone_letter = ['a', 'b', 'c'][number % 3];
                    let version = format!("{pool}-1");
                    site.start_engine(&InstanceSpec { pool, version: &version, region, zone_letter }).await?;
                }
            }
        }
        sleep(LIST_WAIT).await;
        let first = site.settings("daemon-0", DAEMON_REGIONS[0])?;
        let admin = first.admin.context(ConfigurationSnafu { reason: "the daemon has no address for operators" })?;
        let (daemon, accepted) = tokio::join!(DemoDaemon::start(first), wait_and_configure(admin));
        accepted?;
        let mut daemons = vec![daemon?];
        for (number, region) in DAEMON_REGIONS.iter().enumerate().skip(1) {
            daemons.push(site.start_daemon(&format!("daemon-{number}"), region).await?);
        }
        let targets = Targets::new(daemons.iter().map(|d| d.settings().callers).collect());
        Ok(Self { site, daemons, targets, seed })
    }

    /// Addresses of the first daemon for callers and for operators, `None` if there is none.
    pub fn first_daemon(&self) -> Option<(SocketAddr, SocketAddr)> {
        self.daemons.first().and_then(|d| Some((d.settings().callers, d.settings().admin?)))
    }

    /// Runs the whole scenario, shows its progress and returns its summary.
    pub async fn run(&mut self, detail: ProgressDetail) -> Result<Summary> {
        let ended = Arc::new(AtomicU64::new(0));
        let swanvale = self.spawn_load(Workload::swanvale(), "demo-kitchens", &ended, 0);
        let klaasvikat = self.spawn_load(Workload::klaasvikat(), "demo-tallinn-studio", &ended, 1);
        let start = Instant::now();
        let progress = Progress::start(detail, ended);
        progress.event(&format!("Traffic of two users starts on {} daemons.", self.daemons.len()));
        self.start_rollout().await?;
        progress.event(&format!("The rollout of version {VERSION} is ordered."));
        sleep_until(start, NOTICE_AT).await;
        let notified = self.site.send_reclaim_notice(ZONE);
        progress.event(&format!("Zone {ZONE} is about to be reclaimed: notice for {notified} instances."));
        sleep(NOTICE_PERIOD).await;
        self.site.reclaim(ZONE);
        progress.event(&format!("Zone {ZONE} is reclaimed: its instances are gone."));
        sleep_until(start, DAEMON_STOP_AT).await;
        if let Some(daemon) = self.daemons.pop() {
            self.targets.remove(daemon.settings().callers);
            let name = daemon.settings().name.clone();
            progress.event(&format!("Daemon {name} is told to stop."));
            daemon.stop().await?;
            progress.event(&format!("Daemon {name} has stopped."));
        }
        let mut is_moved = false;
        while !(swanvale.is_finished() && klaasvikat.is_finished()) {
            if !is_moved && let Some((outcome, reason)) = self.rollout_outcome().await {
                is_moved = true;
                progress.event(&format!("The rollout of version {VERSION} has ended: {outcome}, {reason}."));
            }
            sleep(Duration::from_millis(500)).await;
        }
        progress.event("All requests have ended.");
        drop(progress);
        let reports = [swanvale.await.unwrap_or_default(), klaasvikat.await.unwrap_or_default()];
        self.summarize(&reports).await
    }

    fn spawn_load(
        &self,
        workload: Workload,
        key: &str,
        progress: &Arc<AtomicU64>,
        user: u64,
    ) -> tokio::task::JoinHandle<LoadReport> {
        let plan = LoadPlan {
            targets: self.targets.clone(),
            key: key.into(),
            workload,
            streams_per_second: STREAMS_PER_SECOND[user as usize],
            keyed_per_second: KEYED_PER_SECOND,
            duration: TRAFFIC_DURATION,
            max_retries: MAX_RETRIES,
            seed: self.seed * 2 + user,
        };
        tokio::spawn(load::run(plan, progress.clone()))
    }

    /// Starts engines of the new version beside those of the old one and proposes the rollout.
    async fn start_rollout(&self) -> Result<()> {
        for region in ["perth-metro", "wheatbelt", "south-west"] {
            for zone_letter in ['a', 'b', 'c', 'c'] {
                self.site
                    .start_engine(&InstanceSpec { pool: "planner", version: VERSION, region, zone_letter })
                    .await?;
            }
        }
        let Some((_, admin)) = self.first_daemon() else { return Ok(()) };
        let start = unix_ms() + 1_000;
        let date = start + ROLLOUT_DURATION.as_millis() as u64;
        let text = format!(
            "versions:\n  {VERSION}:\n    pool: planner\n    start: {}\n    date: {}\n    steps-percent: [5, 30, 100]\n    harm-percent: 50\n",
            rfc3339(start),
            rfc3339(date)
        );
        propose_changes(admin, vec![json!({ "name": "70-move.yaml", "text": text })]).await
    }

    async fn summarize(&self, reports: &[LoadReport; 2]) -> Result<Summary> {
        let mut summary = Summary::from_reports(reports);
        summary.doubles = self.site.count_double_executions();
        let not_run: Vec<_> = reports.iter().flat_map(|r| r.said_not_run.clone()).collect();
        summary.false_not_run = self.site.count_executed(&not_run);
        for daemon in &self.daemons {
            let counts = daemon.counts().unwrap_or_default();
            summary.resumed += counts.resumed;
            summary.recomputed += counts.recomputed;
        }
        let (outcome, reason) = self.rollout_outcome().await.unwrap_or_else(|| ("none yet".into(), String::new()));
        summary.outcome = outcome;
        summary.reason = reason;
        Ok(summary)
    }

    /// Outcome of the rollout and the reason for it, `None` until it has ended.
    async fn rollout_outcome(&self) -> Option<(String, String)> {
        let (_, admin) = self.first_daemon()?;
        let args = crate::args::AdminArgs { admin, token: super::site::ADMIN_TOKEN.into(), json: true };
        let response = crate::cmd::send_request(&args, http::Method::GET, "/admin/rollout", None).await;
        let (_, value) =
            response.inspect_err(|error| warn!("event=rollout-unread error={:?}", error.to_string())).ok()?;
        let row = value["versions"].as_array()?.iter().find(|row| row["version"] == VERSION)?;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        Some((row["outcome"].as_str()?.to_owned(), text(&row["reason"])))
    }
}

async fn wait_and_configure(admin: SocketAddr) -> Result<()> {
    /// Attempts to connect before the configuration is proposed anyway.
    const ATTEMPT_LIMIT: u32 = 50;

    for _ in 0..ATTEMPT_LIMIT {
        sleep(Duration::from_millis(50)).await;
        if tokio::net::TcpStream::connect(admin).await.is_ok() {
            break;
        }
    }
    propose_config(admin).await
}

async fn sleep_until(start: Instant, at: Duration) {
    tokio::time::sleep_until((start + at).into()).await;
}

fn rfc3339(ms: u64) -> String {
    let time = i64::try_from(ms).ok().and_then(chrono::DateTime::from_timestamp_millis);
    time.unwrap_or_default().to_rfc3339()
}
