//! Non-idempotent requests run at most once while back ends, daemons or the platform's service fail.

use rustix::process::Signal;
use standin::{
    load::{Client, RequestOutcome},
    platform::PlatformFaults,
    service::ServiceFaults,
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    task::JoinSet,
    time::{Duration, sleep},
};

use crate::support::{KEY, RawBackEnd, RawEnd, RawReply, TestSite, eventually, run_load};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_with_truncated_responses_run_once() {
    let site = TestSite::start(3, 0).await;
    site.set_service_faults(&ServiceFaults { cut_after: 0.3, ..ServiceFaults::default() });
    let report = run_load(site.load(0.0, 40.0, 4)).await;
    site.check_keyed(&report);
    let unknown: u64 =
        report.refused.iter().filter(|(reason, _)| reason.ends_with("may-have-run")).map(|(_, n)| n).sum();
    assert!(unknown > 0, "no response was truncated, so the test proves nothing: {report:?}");
    assert_eq!(report.whole + unknown, report.keyed, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn retried_keyed_request_gets_recorded_outcome_from_any_daemon() {
    let site = TestSite::start(3, 0).await;
    assert_eq!(site.confirm(0, "order-1").await, RequestOutcome::Complete);
    for daemon in [1, 2, 0] {
        assert_eq!(site.confirm(daemon, "order-1").await, RequestOutcome::Complete);
    }
    assert_eq!(site.executions.lock().get("order-1"), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_run_once_when_daemons_are_killed() {
    let mut site = TestSite::start(4, 0).await;
    site.platform.set_faults(PlatformFaults { lost_answers: 0.1, ..PlatformFaults::default() });
    site.set_service_faults(&ServiceFaults { delay_ms: 30, cut_after: 0.05, ..ServiceFaults::default() });
    let plan = site.load(0.0, 40.0, 10);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    for number in [0, 1] {
        sleep(Duration::from_secs(3)).await;
        let daemon = &mut site.daemons[number];
        daemon.kill();
        targets.remove(daemon.callers);
    }
    let report = load.await.expect("the load runs");
    site.check_keyed(&report);
    assert!(report.whole * 2 > report.keyed, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_run_once_when_slot_owners_are_paused() {
    let site = TestSite::start(3, 0).await;
    site.set_service_faults(&ServiceFaults { delay_ms: 20, ..ServiceFaults::default() });
    let load = tokio::spawn(run_load(site.load(0.0, 40.0, 14)));
    for daemon in &site.daemons[..2] {
        sleep(Duration::from_secs(1)).await;
        daemon.signal(Signal::STOP);
        // The other daemons declare it dead and take over its slots within this time.
        sleep(Duration::from_secs(5)).await;
        daemon.signal(Signal::CONT);
    }
    let report = load.await.expect("the load runs");
    site.check_keyed(&report);
    assert!(report.whole * 2 > report.keyed, "{report:?}");
}

/// Time for which the owner of some keys is silent.
const OWNER_SILENCE: Duration = Duration::from_millis(1_500);

/// Guards against LOST: calls whose owner of the key was silent for a second or so, and then got the same claim on two
/// connections, were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_beside_a_silent_owner_are_answered_once() {
    let site = TestSite::start(3, 0).await;
    // The claim that was sent first is still being written when its copy arrives.
    site.platform.set_faults(PlatformFaults { delay_ms: 150, ..PlatformFaults::default() });
    let client = Client::default();
    let target = site.daemons[0].callers;
    let mut wrong = Vec::new();
    for round in 0..6 {
        let owner = &site.daemons[1 + round % 2];
        owner.signal(Signal::STOP);
        let keys: Vec<String> = (0..24).map(|number| format!("silent-owner-{round}-{number}")).collect();
        let mut calls = JoinSet::new();
        for key in keys {
            let client = client.clone();
            calls.spawn(async move {
                let answer = client.keyed(target, KEY, "/orders/confirm", &key).await;
                (key, answer)
            });
        }
        sleep(OWNER_SILENCE).await;
        owner.signal(Signal::CONT);
        for (key, answer) in calls.join_all().await {
            let runs = site.executions.lock().get(&key).copied();
            if (&answer, runs) != (&RequestOutcome::Complete, Some(1)) {
                wrong.push((key, answer, runs));
            }
        }
        // The owner is found alive again before the next silence.
        sleep(Duration::from_secs(2)).await;
    }
    assert!(wrong.is_empty(), "{} of 144: {wrong:?}", wrong.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_in_outage_are_refused_as_not_run() {
    let site = TestSite::start(2, 1).await;
    assert_eq!(site.confirm(0, "before").await, RequestOutcome::Complete);
    site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let ended = site.confirm(1, "during").await;
    let refusal = RequestOutcome::Refused("ledger-unavailable".into(), "not-run".into());
    assert_eq!(ended, refusal);
    assert_eq!(site.stream(0, "a stream needs no ledger", 10).await.outcome, RequestOutcome::Complete);
    assert_eq!(site.executions.lock().get("during"), None);
    site.platform.set_faults(PlatformFaults::default());
    let runs_again = || async { (site.confirm(1, "after").await == RequestOutcome::Complete).then_some(()) };
    eventually("keyed requests run again", runs_again).await;
    assert_eq!(site.executions.lock().get("after"), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_request_on_closing_connection_is_sent_once() {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    // A back end that reads each request and closes the connection without a response.
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    site.register_service(address, "closing");
    let (sender, mut requests) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let mut buffer = [0; 4096];
            if stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
                sender.send(()).ok();
            }
        }
    });
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains("closing").then_some(())
    };
    eventually("the daemon lists the back end", listed).await;
    site.services.clear();
    let ended = site.confirm(0, "closing-1").await;
    assert_eq!(ended, RequestOutcome::Refused("back-end-failed".into(), "may-have-run".into()));
    let again = site.confirm(0, "closing-1").await;
    assert_eq!(again, RequestOutcome::Refused("earlier-may-have-run".into(), "may-have-run".into()));
    requests.close();
    let mut count = 0;
    while requests.recv().await.is_some() {
        count += 1;
    }
    assert_eq!(count, 1, "the request was sent more than once");
}

/// Sends keyed requests to a daemon, pauses the owner of some of the keys while they run, and stops the daemon once all
/// have been answered. Returns how a retry of each by way of a third daemon ends, and how often each has run.
async fn retry_after_stop_beside_paused_owner(resumes: bool) -> Vec<(RequestOutcome, Option<u64>)> {
    let mut site = TestSite::start(3, 0).await;
    site.set_service_faults(&ServiceFaults { delay_ms: 1_000, ..ServiceFaults::default() });
    let keys: Vec<String> = (0..24).map(|number| format!("paused-owner-{number}")).collect();
    let target = site.daemons[0].callers;
    let calls: JoinSet<RequestOutcome> = keys
        .iter()
        .cloned()
        .map(|key| async move { Client::default().keyed(target, KEY, "/orders/confirm", &key).await })
        .collect();
    let running = || async { (site.executions.lock().len() == keys.len()).then_some(()) };
    eventually("all requests run", running).await;
    site.daemons[1].signal(Signal::STOP);
    let answers = calls.join_all().await;
    assert!(answers.iter().all(|answer| *answer == RequestOutcome::Complete), "{answers:?}");
    site.daemons[0].signal(Signal::TERM);
    let stopped = std::cell::RefCell::new(&mut site.daemons[0]);
    let status = eventually("the daemon exits", || async { stopped.borrow_mut().exit_status() }).await;
    assert!(status.success(), "{status}");
    let alive = if resumes { 1.0 } else { 0.0 };
    if resumes {
        site.daemons[1].signal(Signal::CONT);
    }
    let listed = || async { (site.daemons[2].counter("members", "alive").await == alive).then_some(()) };
    eventually("the third daemon knows which others are there", listed).await;
    let mut retries = Vec::new();
    for key in &keys {
        let retry = site.confirm(2, key).await;
        retries.push((retry, site.executions.lock().get(key).copied()));
    }
    retries
}

/// Guards against an outcome that only a stopped daemon knew: a caller that had its answer was told on a retry that the
/// request may have run, as the daemon did not wait for the slow owner of the key to record it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcomes_are_recorded_before_a_daemon_ends_beside_a_paused_owner() {
    let retries = tokio::join!(retry_after_stop_beside_paused_owner(true), retry_after_stop_beside_paused_owner(false));
    for (case, retries) in [("the owner goes on", retries.0), ("the owner is gone", retries.1)] {
        let wrong: Vec<_> = retries.iter().filter(|retry| **retry != (RequestOutcome::Complete, Some(1))).collect();
        assert!(wrong.is_empty(), "{case}: {} of {}: {wrong:?}", wrong.len(), retries.len());
    }
}

/// Guards against MIXED: a call whose answer was too long for the ledger was answered again by an empty 200, framed as
/// whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcome_without_its_body_is_not_replayed_as_whole() {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    let back_end = RawBackEnd::start(|request, _| {
        let length = request.split_once("length=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        let body = "x".repeat(length.unwrap_or(0));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        (answer.into_bytes(), RawEnd::Close)
    })
    .await;
    site.register_service(back_end.address, "long-answers");
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains("long-answers").then_some(())
    };
    eventually("the daemon lists the back end", listed).await;
    for (length, is_kept) in [(0, true), (4_096, true), (4_097, false), (100_000, false)] {
        let (path, key) = (format!("/orders/confirm?length={length}"), format!("idempotency-key: of-{length}\r\n"));
        let daemon = site.daemons[0].callers;
        let first = RawReply::post(daemon, &path, &key, "order").await;
        assert_eq!((first.status, first.body.len(), first.complete), (200, length, true), "{}", first.head);
        let again = RawReply::post(daemon, &path, &key, "order").await;
        if is_kept {
            assert_eq!((again.status, again.body == first.body, again.header("x-replayed")), (200, true, "true"));
        } else {
            let refusal = (again.status, again.header("x-refusal"), again.header("x-run-state"));
            assert_eq!(refusal, (409, "earlier-may-have-run", "may-have-run"), "{again:?}");
            assert!(again.body.contains("200"), "the status is not told: {again:?}");
        }
    }
}
