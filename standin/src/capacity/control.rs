//! Cost of the control plane without traffic, at growing numbers of daemons.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use tokio::time::sleep;

use super::{
    fleet::{ADMIN_TOKEN, Fleet, listener},
    rows::ControlRow,
};
use crate::{error::Result, http::get, platform::Platform};

/// Time for the membership views to converge after all daemons have started at once.
const CONVERGENCE_TIME: Duration = Duration::from_secs(20);
/// Additional convergence time for each daemon.
const CONVERGENCE_TIME_PER_DAEMON: Duration = Duration::from_millis(150);
/// Time over which each cost is measured.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Rate of 76,000 configuration changes per day.
const CHANGES_PER_SECOND: f64 = 0.9;
const BURST_CHANGES: usize = 50;
/// Number of files that the changes are spread over.
const FILE_COUNT: usize = 40;

const CONFIG: &str = "zones:\n  region-0-0: { region: region-0 }\npools:\n  models: { kind: model }\nroutes:\n  chat: { pool: models, model: chat }\n";

/// Counters at one time: means of the daemons, and the calls of the whole site to the key-value
/// service.
struct Snapshot {
    at: Instant,
    cpu_seconds: f64,
    bytes: f64,
    messages: f64,
    kv_calls: f64,
}

/// Measures the control plane at each number of daemons.
pub(crate) async fn measure(daemons: &[usize], seed: u64) -> Result<Vec<ControlRow>> {
    let mut rows = Vec::new();
    for &count in daemons {
        let row = measure_one(count, seed).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    Ok(rows)
}

async fn measure_one(count: usize, seed: u64) -> Result<ControlRow> {
    let platform = Platform::start(listener().await?.0, seed)?;
    let mut fleet = Fleet::start(count, platform.address(), 1, CONFIG).await?;
    sleep(CONVERGENCE_TIME + CONVERGENCE_TIME_PER_DAEMON * count as u32).await;
    let idle_start = snapshot(&fleet, &platform).await;
    sleep(MEASURE_TIME).await;
    let idle_end = snapshot(&fleet, &platform).await;
    let rss_mb = fleet.rss_mb();
    let sent_ms = unix_ms();
    let revision = fleet.put_config("20-one.yaml", &account_config(0)).await?;
    let one_in_force_s = seconds_until_in_force(&fleet, revision, sent_ms).await;
    let changing_start = snapshot(&fleet, &platform).await;
    let mut number = 0;
    while changing_start.at.elapsed() < MEASURE_TIME {
        fleet.put_config(&format!("30-{}.yaml", number % FILE_COUNT), &account_config(number)).await?;
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / CHANGES_PER_SECOND)).await;
    }
    let changing_end = snapshot(&fleet, &platform).await;
    let sent_ms = unix_ms();
    let mut last_revision = 0;
    for burst in 0..BURST_CHANGES {
        last_revision =
            fleet.put_config(&format!("30-{}.yaml", burst % FILE_COUNT), &account_config(1000 + burst)).await?;
    }
    let burst_in_force_s = seconds_until_in_force(&fleet, last_revision, sent_ms).await;
    let detect_s = seconds_until_detected(&mut fleet).await;
    let rate =
        |a: &Snapshot, b: &Snapshot, value: fn(&Snapshot) -> f64| (value(b) - value(a)) / (b.at - a.at).as_secs_f64();
    Ok(ControlRow {
        daemons: count as u64,
        idle_cpu_percent: 100.0 * rate(&idle_start, &idle_end, |s| s.cpu_seconds),
        rss_mb,
        idle_messages_per_s: rate(&idle_start, &idle_end, |s| s.messages),
        idle_bytes_per_s: rate(&idle_start, &idle_end, |s| s.bytes),
        idle_kv_calls_per_s: rate(&idle_start, &idle_end, |s| s.kv_calls),
        watches: count.min(3) as f64,
        changing_cpu_percent: 100.0 * rate(&changing_start, &changing_end, |s| s.cpu_seconds),
        changing_bytes_per_s: rate(&changing_start, &changing_end, |s| s.bytes),
        changing_kv_calls_per_s: rate(&changing_start, &changing_end, |s| s.kv_calls),
        one_in_force_s,
        burst_in_force_s,
        detect_s,
    })
}

/// A configuration file with one account.
fn account_config(number: usize) -> String {
    format!(
        "accounts:\n  account-{number}:\n    key-sha256: {:064x}\n    requests-per-second: 20\n    weight: 2\n",
        number + 1
    )
}

async fn snapshot(fleet: &Fleet, platform: &Platform) -> Snapshot {
    let (at, cpu_seconds) = (Instant::now(), fleet.cpu_seconds());
    let kv_calls =
        platform.counters().iter().filter(|(kind, _)| !kind.starts_with("list")).map(|(_, n)| *n as f64).sum();
    let (mut bytes, mut messages) = (0.0, 0.0);
    for daemon in &fleet.daemons {
        bytes += daemon.metric_sum("peer_bytes_total", "sent").await;
        messages += daemon.metric_sum("peer_messages_total", "sent").await;
    }
    let count = fleet.daemons.len() as f64;
    Snapshot { at, cpu_seconds, bytes: bytes / count, messages: messages / count, kv_calls }
}

/// Seconds from `sent_ms` until the revision is in force on the last daemon.
async fn seconds_until_in_force(fleet: &Fleet, revision: u64, sent_ms: u64) -> f64 {
    let mut last_ms = 0.0_f64;
    for daemon in &fleet.daemons {
        while daemon.metric_sum("config_revision ", "").await < revision as f64 {
            sleep(Duration::from_millis(200)).await;
        }
        last_ms = last_ms.max(daemon.metric_sum("config_since_ms ", "").await);
    }
    (last_ms - sent_ms as f64) / 1000.0
}

/// Kills a daemon and returns the seconds until another marks it as dead. Gives up after 90 s.
async fn seconds_until_detected(fleet: &mut Fleet) -> f64 {
    let Some(mut victim) = fleet.daemons.pop() else { return f64::NAN };
    let (name, start) = (victim.name.clone(), Instant::now());
    victim.kill();
    let observer = fleet.daemons[0].admin;
    loop {
        let text = get(observer, "/admin/peers", Some(ADMIN_TOKEN)).await.unwrap_or_default();
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        let rows = value["peers"].as_array().cloned().unwrap_or_default();
        if rows.iter().any(|row| row["name"] == name && row["state"] == "dead") || start.elapsed().as_secs() > 90 {
            return start.elapsed().as_secs_f64();
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
