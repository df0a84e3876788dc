//! Rollouts of new versions: completion by their date, rollback, and failover of the holder.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use standin::{engine::EngineFaults, platform::PlatformFaults};

use crate::support::{TestSite, eventually, run_load};

/// Configuration file with a rollout of `models-2` that starts now and is due to complete after `seconds`.
fn rollout_file(seconds: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is right").as_millis() as i64;
    let time = |ms| chrono::DateTime::from_timestamp_millis(ms).expect("the time is in range").to_rfc3339();
    let (start, date) = (time(now), time(now + seconds as i64 * 1000));
    format!(
        "versions:\n  models-2:\n    pool: models\n    start: {start}\n    date: {date}\n    steps-percent: [5, 50, 100]\n    harm-percent: 20\n"
    )
}

async fn rollout_status(site: &TestSite, daemon: usize) -> Option<Value> {
    let value = site.daemons[daemon].get("/admin/rollout").await?;
    value["versions"].as_array()?.iter().find(|r| r["version"] == "models-2").cloned()
}

async fn agreed_outcome(site: &TestSite) -> String {
    let mut outcomes = Vec::new();
    for daemon in 0..site.daemons.len() {
        let has_outcome = || async { Some(rollout_status(site, daemon).await?["outcome"].as_str()?.to_owned()) };
        outcomes.push(eventually("the rollout has an outcome", has_outcome).await);
    }
    outcomes.dedup();
    assert_eq!(outcomes.len(), 1, "daemons report different outcomes");
    outcomes.remove(0)
}

async fn start_two_versions() -> TestSite {
    let mut site = TestSite::start(3, 3).await;
    for _ in 0..3 {
        site.add_engine("models-2", "north").await;
    }
    site.wait_until_serving().await;
    site
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn good_version_completes_its_rollout_by_its_date() {
    let site = start_two_versions().await;
    let load = tokio::spawn(run_load(site.load(60.0, 0.0, 26)));
    let response = site.propose(0, &[("70-rollout.yaml", Some(&rollout_file(24)))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    assert_eq!(agreed_outcome(&site).await, "full");
    let report = load.await.expect("the load runs");
    assert_eq!(report.whole, report.streams, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_version_is_rolled_back_during_an_outage() {
    let site = start_two_versions().await;
    let load = tokio::spawn(run_load(site.load(60.0, 0.0, 30)));
    let response = site.propose(0, &[("70-rollout.yaml", Some(&rollout_file(28)))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    let started = || async { (rollout_status(&site, 0).await?["step"].as_u64()? >= 1).then_some(()) };
    eventually("the rollout has started", started).await;
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    for engine in &site.engines[3..] {
        engine.set_faults(EngineFaults { fail: 1.0, ..EngineFaults::default() });
    }
    for daemon in 0..3 {
        let rolled_back = || async { (rollout_status(&site, daemon).await?["taken_back"] == true).then_some(()) };
        eventually("the version is rolled back without the platform's service", rolled_back).await;
        assert_eq!(rollout_status(&site, daemon).await.expect("the daemon lists the version")["share"], 0.0);
    }
    let before: u64 = site.engines[3..].iter().map(|e| e.counts().requests).sum();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after: u64 = site.engines[3..].iter().map(|e| e.counts().requests).sum();
    assert_eq!(before, after, "the bad version got requests after it was rolled back");
    site.platform.set_faults(PlatformFaults::default());
    assert_eq!(agreed_outcome(&site).await, "taken-back");
    let report = load.await.expect("the load runs");
    assert_eq!((report.cut, report.wrong), (0, 0), "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rollout_continues_when_its_holder_dies() {
    let mut site = start_two_versions().await;
    let plan = site.load(60.0, 0.0, 30);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let response = site.propose(0, &[("70-rollout.yaml", Some(&rollout_file(28)))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    let has_holder =
        || async { rollout_status(&site, 0).await?["holder"].as_str().filter(|h| !h.is_empty()).map(str::to_owned) };
    let holder = eventually("the rollout has a holder", has_holder).await;
    let index = site.daemons.iter().position(|d| d.name == holder).expect("the holder is a daemon");
    targets.remove(site.daemons[index].callers);
    site.daemons[index].kill();
    site.daemons.remove(index);
    assert_eq!(agreed_outcome(&site).await, "full");
    let report = load.await.expect("the load runs");
    assert_eq!((report.wrong, report.cut <= 10), (0, true), "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_version_is_rolled_back_during_an_outage_without_its_holder() {
    let mut site = start_two_versions().await;
    let plan = site.load(60.0, 0.0, 30);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let response = site.propose(0, &[("70-rollout.yaml", Some(&rollout_file(28)))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    let has_holder =
        || async { rollout_status(&site, 0).await?["holder"].as_str().filter(|h| !h.is_empty()).map(str::to_owned) };
    let holder = eventually("the rollout has a holder", has_holder).await;
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let index = site.daemons.iter().position(|d| d.name == holder).expect("the holder is a daemon");
    targets.remove(site.daemons[index].callers);
    site.daemons[index].kill();
    site.daemons.remove(index);
    for engine in &site.engines[3..] {
        engine.set_faults(EngineFaults { fail: 1.0, ..EngineFaults::default() });
    }
    for daemon in 0..2 {
        let rolled_back = || async { (rollout_status(&site, daemon).await?["taken_back"] == true).then_some(()) };
        eventually("the version is rolled back", rolled_back).await;
    }
    site.platform.set_faults(PlatformFaults::default());
    assert_eq!(agreed_outcome(&site).await, "taken-back");
    load.await.expect("the load runs");
}
