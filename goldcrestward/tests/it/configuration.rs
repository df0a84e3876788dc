//! Configuration changes: validation, concurrent proposals, propagation to every daemon, and no reverts.

use std::{collections::BTreeSet, time::Duration};

use serde_json::Value;
use standin::{fault_proxy::LinkFaults, platform::PlatformFaults};
use tokio::time::{Instant, sleep};

use crate::support::{TestSite, eventually, propose};

async fn wait_for_revision(site: &TestSite, revision: u64) {
    for daemon in &site.daemons {
        let in_force = || async { (daemon.revision().await? >= revision).then_some(()) };
        eventually("the revision is in force", in_force).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_is_in_force_on_every_daemon() {
    let site = TestSite::start(5, 0).await;
    let response = site.propose(3, &[("20-zone.yaml", Some("zones: { east-a: { region: east } }"))]).await;
    let revision = response["revision"].as_u64().expect("the change is accepted");
    wait_for_revision(&site, revision).await;
    let status = site.daemons[1].get("/admin/status").await.expect("the daemon responds");
    assert_eq!((&status["everywhere"], status["daemons"].as_array().map(Vec::len)), (&Value::Bool(true), Some(5)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_file_is_refused_with_file_line_and_field() {
    let site = TestSite::start(1, 0).await;
    let before = site.daemons[0].revision().await;
    let cases = [
        ("zones:\n  a:\n    regoin: north\n", 3, "regoin"),
        ("pools:\n  p: { kind: modle }\n", 2, "modle"),
        ("routes:\n  r:\n    pool: nowhere\n    prefix: /r\n", 3, "routes.r.pool"),
        ("accounts:\n  a:\n    key-sha256: short\n", 3, "accounts.a.key-sha256"),
        ("routes:\n  r:\n    pool: orders\n    prefix: /r\n    timeout-seconds: -1\n", 5, "routes.r.timeout-seconds"),
        (
            "versions:\n  v:\n    pool: models\n    start: today\n    date: 2027-01-01T00:00:00Z\n",
            4,
            "versions.v.start",
        ),
        (
            "versions:\n  v:\n    pool: models\n    start: 2027-01-02T00:00:00Z\n    date: 2027-01-01T00:00:00Z\n",
            5,
            "versions.v.date",
        ),
        ("zones: [\n", 1, "zones"),
    ];
    for (text, line, field) in cases {
        let response = site.propose(0, &[("50-bad.yaml", Some(text))]).await;
        assert_eq!(response["result"], "invalid", "{text}: {response}");
        let problem = &response["problems"][0];
        assert_eq!(problem["file"], "50-bad.yaml", "{response}");
        assert_eq!(problem["line"], line, "{text}: {response}");
        let description = format!("{} {}", problem["field"], problem["message"]);
        assert!(description.contains(field), "{text}: {response}");
    }
    assert_eq!(site.daemons[0].revision().await, before, "an invalid file changed the configuration");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_proposals_get_accurate_results() {
    let site = TestSite::start(3, 0).await;
    site.platform.set_faults(PlatformFaults { lost_answers: 0.3, ..PlatformFaults::default() });
    let base = site.daemons[0].revision().await;
    for daemon in &site.daemons {
        let same = || async { (daemon.revision().await == base).then_some(()) };
        eventually("all daemons have the same revision", same).await;
    }
    let texts: Vec<_> = (0..9).map(|n| format!("zones: {{ race-{n}: {{ region: north }} }}")).collect();
    let names: Vec<_> = (0..9).map(|n| format!("60-race-{n}.yaml")).collect();
    let tasks: Vec<_> = (0..9)
        .map(|n| {
            let (admin, name, text) = (site.daemons[n % 3].admin, names[n].clone(), texts[n].clone());
            tokio::spawn(async move { propose(admin, &[(&name, Some(&text))], base).await })
        })
        .collect();
    let mut accepted = Vec::new();
    let mut unknown = 0;
    for (name, task) in names.iter().zip(tasks) {
        let response = task.await.expect("the operator task completes");
        match response["result"].as_str() {
            Some("accepted") => accepted.push((name.clone(), response["revision"].as_u64().unwrap_or(0))),
            Some("unknown") => unknown += 1,
            Some("conflict" | "unavailable") => {}
            _ => panic!("{response}"),
        }
    }
    site.platform.set_faults(PlatformFaults::default());
    assert!(accepted.len() <= 1, "more than one change was accepted on the same base revision: {accepted:?}");
    assert!(accepted.len() + unknown >= 1);
    if let Some((name, revision)) = accepted.first() {
        wait_for_revision(&site, *revision).await;
        let files = site.daemons[2].get("/admin/config").await.expect("the daemon responds");
        let races: BTreeSet<_> = files["files"]
            .as_array()
            .expect("files")
            .iter()
            .filter_map(|f| f["name"].as_str())
            .filter(|n| n.starts_with("60-race"))
            .collect();
        assert_eq!(races, BTreeSet::from([name.as_str()]));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_started_in_outage_gets_configuration_from_peers() {
    let mut site = TestSite::start(2, 1).await;
    let revision = site.daemons[0].revision().await;
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    site.add_daemon(2, "north").await;
    let newcomer = &site.daemons[2];
    let up_to_date = || async { (newcomer.is_ready().await && newcomer.revision().await == revision).then_some(()) };
    eventually("the new daemon is ready with the revision of its peers", up_to_date).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_daemon_is_reported_and_catches_up() {
    let site = TestSite::start(4, 0).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    let (isolated, connected) = (&site.daemons[3], &site.daemons[0]);
    isolated.set_platform_faults(cut);
    isolated.set_peer_faults(cut);
    // One-way loss: the isolated daemon's own datagrams still reach its peers, but nothing reaches it.
    let response = site.propose(0, &[("20-zone.yaml", Some("zones: { east-a: { region: east } }"))]).await;
    let revision = response["revision"].as_u64().expect("the change is accepted");
    let reported = || async {
        let status = connected.get("/admin/status").await?;
        let rows = status["daemons"].as_array()?.clone();
        let row = rows.into_iter().find(|r| r["name"] == "daemon-3")?;
        (status["everywhere"] == false && row["in_force"] == false && row["note"] != "").then_some(())
    };
    eventually("the status lists the isolated daemon as not in force", reported).await;
    isolated.set_platform_faults(LinkFaults::default());
    isolated.set_peer_faults(LinkFaults::default());
    wait_for_revision(&site, revision).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_never_reverts_across_restarts() {
    let mut site = TestSite::start(3, 0).await;
    let mut highest = 0;
    for round in 0..4 {
        let text = format!("zones: {{ round-{round}: {{ region: north }} }}");
        let response = site.propose(0, &[("20-round.yaml", Some(&text))]).await;
        highest = response["revision"].as_u64().unwrap_or(highest);
        site.daemons[2].kill();
        site.daemons.truncate(2);
        site.add_daemon(2, "north").await;
        let newcomer = &site.daemons[2];
        let ready = || async { newcomer.is_ready().await.then_some(()) };
        eventually("the new daemon is ready", ready).await;
        let seen = newcomer.revision().await.unwrap_or(0);
        assert!(seen > 0);
        wait_for_revision(&site, highest).await;
    }
}

/// Guards against CONFIG: daemons that did not read the store relied on peers of which they heard nothing, or which had
/// nothing new, until those counted as dead.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_is_in_force_in_time_on_daemons_that_hear_no_peer() {
    /// Time within which users require a change to be in force on all daemons.
    const LIMIT: Duration = Duration::from_secs(6);
    /// Time for the daemons to find each other, after which those that need not read the store have stopped doing so.
    const SETTLE_TIME: Duration = Duration::from_secs(4);

    let site = TestSite::start(5, 0).await;
    sleep(SETTLE_TIME).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    site.daemons.iter().for_each(|daemon| daemon.set_peer_faults(cut));
    for round in 0..2 {
        let text = format!("zones: {{ round-{round}: {{ region: north }} }}");
        let response = site.propose(0, &[("20-zone.yaml", Some(&text))]).await;
        let accepted = Instant::now();
        let revision = response["revision"].as_u64().expect("the change is accepted");
        for daemon in &site.daemons {
            while daemon.revision().await.is_none_or(|known| known < revision) {
                assert!(accepted.elapsed() < LIMIT, "{} is behind after {:?}", daemon.name, accepted.elapsed());
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
