//! What happens in the demonstration: traffic of both users, a zone reclaimed, a daemon
//! stopped, and a move to a new version.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use standin::load::{self, LoadPlan, LoadReport, Targets, Workload};
use tokio::time::sleep;

use super::{
    error::{ConfigurationSnafu, DaemonSnafu, Result},
    site::{DemoSite, Place, configure, propose},
    summary::Summary,
};
use crate::{process::Daemon, util::unix_ms};
use snafu::{OptionExt, ResultExt};

/// How long requests are begun.
const TRAFFIC: Duration = Duration::from_secs(26);
/// Streamed requests a second of Swanvale and of Klaasvikat.
const STREAMS: [f64; 2] = [30.0, 12.0];
/// Keyed calls a second of each user.
const KEYED: f64 = 4.0;
/// Times that a caller sends a refused request again.
const MAX_RETRIES: u32 = 20;
/// Time that the new version has for its move.
const MOVE: Duration = Duration::from_secs(20);
/// When the zone gets its reclaim notice.
const NOTICE_AT: Duration = Duration::from_secs(7);
/// Time from the notice to the end of the zone's instances.
const NOTICE: Duration = Duration::from_secs(2);
/// When a daemon is stopped.
const STOP_AT: Duration = Duration::from_secs(12);
/// Time until the platform's list shows the first instances.
const LIST_LAG: Duration = Duration::from_millis(400);
/// Regions of the daemons.
const REGIONS: [&str; 7] = ["perth-metro", "wheatbelt", "south-west", "pohja", "louna", "laane", "perth-metro"];
/// The zone that is reclaimed.
const ZONE: &str = "perth-metro-a";
/// The version that traffic moves to.
const VERSION: &str = "planner-2";

/// The demonstration.
pub(crate) struct Scenario {
    site: DemoSite,
    daemons: Vec<Daemon>,
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
                    let letter = ['a', 'b', 'c'][number % 3];
                    let version = format!("{pool}-1");
                    site.start_engine(&Place { pool, version: &version, region, letter }).await?;
                }
            }
        }
        sleep(LIST_LAG).await;
        let first = site.settings("daemon-0", REGIONS[0]).await?;
        let admin = first.admin.context(ConfigurationSnafu { reason: "the daemon has no address for operators" })?;
        let (daemon, accepted) = tokio::join!(Daemon::start(first, None), wait_and_configure(admin));
        accepted?;
        let mut daemons = vec![daemon.context(DaemonSnafu)?];
        for (number, region) in REGIONS.iter().enumerate().skip(1) {
            daemons.push(site.start_daemon(&format!("daemon-{number}"), region).await?);
        }
        let targets = Targets::new(daemons.iter().map(|d| d.settings().callers).collect());
        Ok(Self { site, daemons, targets, seed })
    }

    /// A daemon's addresses for callers and for operators.
    pub fn first_daemon(&self) -> Option<(SocketAddr, SocketAddr)> {
        self.daemons.first().and_then(|d| Some((d.settings().callers, d.settings().admin?)))
    }

    /// Plays the whole scenario and sums it up.
    pub async fn run(&mut self, quiet: bool) -> Result<Summary> {
        let ended = Arc::new(AtomicU64::new(0));
        let swanvale = self.load(Workload::swanvale(), "demo-kitchens", &ended, 0);
        let klaasvikat = self.load(Workload::klaasvikat(), "demo-tallinn-studio", &ended, 1);
        let start = Instant::now();
        let show = |event: &str| {
            if !quiet {
                let mut out = io::stderr().lock();
                let (seconds, ended) = (start.elapsed().as_secs(), ended.load(Ordering::Relaxed));
                write!(out, "\r{seconds:3} s  {ended:5} requests ended  {event:<60}").ok();
                out.flush().ok();
            }
        };
        show("traffic of both users begins");
        self.begin_move().await?;
        show("a move to version planner-2 begins");
        sleep_until(start, NOTICE_AT).await;
        let noticed = self.site.notify(ZONE);
        show(&format!("zone {ZONE}: reclaim notice for {noticed} instances"));
        sleep(NOTICE).await;
        self.site.reclaim(ZONE);
        show(&format!("zone {ZONE}: instances reclaimed"));
        sleep_until(start, STOP_AT).await;
        if let Some(daemon) = self.daemons.pop() {
            self.targets.remove(daemon.settings().callers);
            show("a daemon stops gracefully");
            daemon.stop().await;
        }
        while !(swanvale.is_finished() && klaasvikat.is_finished()) {
            show("traffic goes on");
            sleep(Duration::from_millis(500)).await;
        }
        if !quiet {
            eprintln!();
        }
        let reports = [swanvale.await.unwrap_or_default(), klaasvikat.await.unwrap_or_default()];
        self.sum_up(&reports).await
    }

    fn load(
        &self,
        workload: Workload,
        key: &str,
        progress: &Arc<AtomicU64>,
        number: u64,
    ) -> tokio::task::JoinHandle<LoadReport> {
        let plan = LoadPlan {
            targets: self.targets.clone(),
            key: key.into(),
            workload,
            streams_per_second: STREAMS[number as usize],
            keyed_per_second: KEYED,
            duration: TRAFFIC,
            max_retries: MAX_RETRIES,
            seed: self.seed * 2 + number,
        };
        tokio::spawn(load::run(plan, progress.clone()))
    }

    /// Starts servers of the new version beside the old and tells the site when to move.
    async fn begin_move(&self) -> Result<()> {
        for region in ["perth-metro", "wheatbelt", "south-west"] {
            for letter in ['a', 'b', 'c', 'c'] {
                self.site.start_engine(&Place { pool: "planner", version: VERSION, region, letter }).await?;
            }
        }
        let Some((_, admin)) = self.first_daemon() else { return Ok(()) };
        let start = unix_ms() + 1_000;
        let date = start + MOVE.as_millis() as u64;
        let text = format!(
            "versions:\n  {VERSION}:\n    pool: planner\n    start: {}\n    date: {}\n    steps-percent: [5, 30, 100]\n    harm-percent: 50\n",
            rfc3339(start),
            rfc3339(date)
        );
        propose(admin, vec![json!({ "name": "70-move.yaml", "text": text })]).await
    }

    async fn sum_up(&self, reports: &[LoadReport; 2]) -> Result<Summary> {
        let mut summary = Summary::of(reports);
        summary.doubles = self.site.doubles();
        let not_run: Vec<_> = reports.iter().flat_map(|r| r.said_not_run.clone()).collect();
        summary.false_not_run = self.site.executed(&not_run);
        for daemon in &self.daemons {
            let metrics = daemon.counts();
            summary.resumed += metrics.resumed;
            summary.recomputed += metrics.recomputed;
        }
        let Some((_, admin)) = self.first_daemon() else { return Ok(summary) };
        let args = crate::args::AdminArgs { admin, token: super::site::TOKEN.into(), json: true };
        if let Ok((_, value)) = crate::cmd::send_request(&args, http::Method::GET, "/admin/rollout", None).await {
            let rows = value["versions"].as_array().cloned().unwrap_or_default();
            let row = rows.into_iter().find(|row| row["version"] == VERSION).unwrap_or_default();
            summary.outcome = row["outcome"].as_str().unwrap_or("none yet").to_owned();
            summary.reason = row["reason"].as_str().unwrap_or_default().to_owned();
        }
        Ok(summary)
    }
}

async fn wait_and_configure(admin: SocketAddr) -> Result<()> {
    /// Tries until the daemon listens.
    const TRIES: u32 = 50;

    for _ in 0..TRIES {
        sleep(Duration::from_millis(50)).await;
        if tokio::net::TcpStream::connect(admin).await.is_ok() {
            break;
        }
    }
    configure(admin).await
}

async fn sleep_until(start: Instant, at: Duration) {
    tokio::time::sleep_until((start + at).into()).await;
}

fn rfc3339(ms: u64) -> String {
    let time = i64::try_from(ms).ok().and_then(chrono::DateTime::from_timestamp_millis);
    time.unwrap_or_default().to_rfc3339()
}
