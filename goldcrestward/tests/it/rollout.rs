//! Moves to new versions with real processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use standin::{engine::EngineFaults, platform::PlatformFaults};

use crate::support::{TestSite, eventually, run_load};

/// A file that moves all traffic to `models-2` from now on within `seconds`.
fn move_file(seconds: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is right").as_millis() as i64;
    let time = |ms| chrono::DateTime::from_timestamp_millis(ms).expect("a time").to_rfc3339();
    let (start, date) = (time(now), time(now + seconds as i64 * 1000));
    format!(
        "versions:\n  models-2:\n    pool: models\n    start: {start}\n    date: {date}\n    steps-percent: [5, 50, 100]\n    harm-percent: 20\n"
    )
}

async fn row(site: &TestSite, daemon: usize) -> Option<Value> {
    let value = site.daemons[daemon].get("/admin/rollout").await?;
    value["versions"].as_array()?.iter().find(|r| r["version"] == "models-2").cloned()
}

async fn outcome_everywhere(site: &TestSite) -> String {
    let mut outcomes = Vec::new();
    for daemon in 0..site.daemons.len() {
        let ended = || async { Some(row(site, daemon).await?["outcome"].as_str()?.to_owned()) };
        outcomes.push(eventually("the move has an outcome", ended).await);
    }
    outcomes.dedup();
    assert_eq!(outcomes.len(), 1, "daemons tell different outcomes");
    outcomes.remove(0)
}

async fn two_versions() -> TestSite {
    let mut site = TestSite::start(3, 3).await;
    for _ in 0..3 {
        site.add_engine("models-2", "north").await;
    }
    site.wait_until_serving().await;
    site
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn good_version_is_full_by_its_date() {
    let site = two_versions().await;
    let load = tokio::spawn(run_load(site.load(60.0, 0.0, 26)));
    let answer = site.propose(0, &[("70-move.yaml", Some(&move_file(24)))]).await;
    assert_eq!(answer["result"], "accepted", "{answer}");
    assert_eq!(outcome_everywhere(&site).await, "full");
    let report = load.await.expect("the load runs");
    assert_eq!(report.whole, report.streams, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_version_is_taken_back_even_in_an_outage() {
    let site = two_versions().await;
    let load = tokio::spawn(run_load(site.load(60.0, 0.0, 30)));
    let answer = site.propose(0, &[("70-move.yaml", Some(&move_file(28)))]).await;
    assert_eq!(answer["result"], "accepted", "{answer}");
    let begun = || async { (row(&site, 0).await?["step"].as_u64()? >= 1).then_some(()) };
    eventually("the move has begun", begun).await;
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    for engine in &site.engines[3..] {
        engine.set_faults(EngineFaults { fail: 1.0, ..EngineFaults::default() });
    }
    for daemon in 0..3 {
        let back = || async { (row(&site, daemon).await?["taken_back"] == true).then_some(()) };
        eventually("the version is taken back without the service", back).await;
        assert_eq!(row(&site, daemon).await.expect("a row")["share"], 0.0);
    }
    let before: u64 = site.engines[3..].iter().map(|e| e.counts().requests).sum();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after: u64 = site.engines[3..].iter().map(|e| e.counts().requests).sum();
    assert_eq!(before, after, "the bad version got requests after it was taken back");
    site.platform.set_faults(PlatformFaults::default());
    assert_eq!(outcome_everywhere(&site).await, "taken-back");
    let report = load.await.expect("the load runs");
    assert_eq!((report.cut, report.wrong), (0, 0), "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn move_goes_on_when_its_holder_dies() {
    let mut site = two_versions().await;
    let plan = site.load(60.0, 0.0, 30);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let answer = site.propose(0, &[("70-move.yaml", Some(&move_file(28)))]).await;
    assert_eq!(answer["result"], "accepted", "{answer}");
    let held = || async { row(&site, 0).await?["holder"].as_str().filter(|h| !h.is_empty()).map(str::to_owned) };
    let holder = eventually("the move has a holder", held).await;
    let place = site.daemons.iter().position(|d| d.name == holder).expect("the holder is a daemon");
    targets.remove(site.daemons[place].callers);
    site.daemons[place].kill();
    site.daemons.remove(place);
    assert_eq!(outcome_everywhere(&site).await, "full");
    let report = load.await.expect("the load runs");
    assert_eq!((report.wrong, report.cut <= 10), (0, true), "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_version_is_taken_back_with_holder_dead_in_an_outage() {
    let mut site = two_versions().await;
    let plan = site.load(60.0, 0.0, 30);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    let answer = site.propose(0, &[("70-move.yaml", Some(&move_file(28)))]).await;
    assert_eq!(answer["result"], "accepted", "{answer}");
    let held = || async { row(&site, 0).await?["holder"].as_str().filter(|h| !h.is_empty()).map(str::to_owned) };
    let holder = eventually("the move has a holder", held).await;
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let place = site.daemons.iter().position(|d| d.name == holder).expect("the holder is a daemon");
    targets.remove(site.daemons[place].callers);
    site.daemons[place].kill();
    site.daemons.remove(place);
    for engine in &site.engines[3..] {
        engine.set_faults(EngineFaults { fail: 1.0, ..EngineFaults::default() });
    }
    for daemon in 0..2 {
        let back = || async { (row(&site, daemon).await?["taken_back"] == true).then_some(()) };
        eventually("the version is taken back", back).await;
    }
    site.platform.set_faults(PlatformFaults::default());
    assert_eq!(outcome_everywhere(&site).await, "taken-back");
    load.await.expect("the load runs");
}
