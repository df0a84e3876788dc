//! Requests whose configuration changes while they are read, wait or are answered.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::support::{CONFIG, RawReply, SlowReply, SlowRequest, TestSite, eventually};

/// Time between the heads of the requests and the change, and between the change and the ends of their bodies.
const HEAD_START: Duration = Duration::from_millis(500);
const BODY_TIME: Duration = Duration::from_secs(2);
/// Path and idempotency key of a request of each kind.
const KINDS: [(&str, Option<&str>); 4] = [
    ("/v1/chat/completions", None),
    ("/orders/lookup", None),
    ("/orders/new", None),
    ("/orders/confirm", Some("withdrawn")),
];

/// Replaces the site's configuration, and waits until that is in force on the daemon.
async fn configure(site: &TestSite, text: &str) {
    let response = site.propose(0, &[("10-site.yaml", Some(text))]).await;
    let revision = response["revision"].as_u64().unwrap_or_else(|| panic!("refused: {response}"));
    let in_force = || async { (site.daemons[0].revision().await? >= revision).then_some(()) };
    eventually("the revision is in force", in_force).await;
}

/// Sends a request of each kind, and changes the configuration between their heads and the ends of their bodies.
async fn send_around_change(site: &TestSite, text: &str) -> Vec<(&'static str, SlowReply)> {
    let start = Instant::now();
    let body = json!({ "model": "meal-planner", "max_tokens": 5, "messages": [{ "role": "user", "content": "soup" }] });
    let requests = KINDS.map(|(path, key)| {
        let request = SlowRequest {
            target: site.daemons[0].callers,
            path,
            idempotency_key: key.map(str::to_owned),
            body: body.to_string(),
            body_ends: start + HEAD_START + BODY_TIME,
        };
        (path, tokio::spawn(request.send()))
    });
    sleep_until(start + HEAD_START).await;
    configure(site, text).await;
    assert!(start.elapsed() < HEAD_START + BODY_TIME, "the change came too late to show anything");
    let mut replies = Vec::new();
    for (path, request) in requests {
        replies.push((path, request.await.expect("the caller ends")));
    }
    replies
}

/// Guards against requests that run although their key had been withdrawn before they were complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_keys_are_refused_when_bodies_are_complete() {
    let site = TestSite::start(1, 1).await;
    let replies = send_around_change(&site, &CONFIG.replace("key-sha256: 62af", "key-sha256: 62ae")).await;
    let statuses: Vec<_> = replies.iter().map(|(path, reply)| (*path, reply.status)).collect();
    println!("after the key was withdrawn: {statuses:?}");
    for (path, reply) in replies {
        assert!(reply.status == 401 && reply.complete, "{path}: {reply:?}");
        assert!(reply.head.contains("x-run-state: not-run"), "{path}: {}", reply.head);
    }
    assert!(site.executions.lock().is_empty(), "a call has run");
}

/// Guards against requests that run on a route that had been dropped before they were complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dropped_routes_are_refused_when_bodies_are_complete() {
    let site = TestSite::start(1, 1).await;
    let dropped: String =
        CONFIG.lines().filter(|line| !line.contains("prefix:")).map(|line| format!("{line}\n")).collect();
    let replies = send_around_change(&site, &dropped).await;
    let statuses: Vec<_> = replies.iter().map(|(path, reply)| (*path, reply.status)).collect();
    println!("after the routes were dropped: {statuses:?}");
    for (path, reply) in replies {
        let wanted = if path.starts_with("/v1/") { 200 } else { 404 };
        assert!(reply.status == wanted && reply.complete, "{path}: {reply:?}");
    }
    assert!(site.executions.lock().is_empty(), "a call has run");
}

/// Guards against calls that are streamed to a service without being claimed, as their route was repeatable when their bodies
/// began.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_bodies_are_claimed_whole_if_their_route_became_unrepeatable() {
    const BODY_BYTES: usize = 400_000;

    let site = TestSite::start(1, 0).await;
    let route = "orders: { pool: orders, prefix: /orders/ }";
    let unrepeatable = CONFIG.replace(route, "orders: { pool: orders, prefix: /orders/, repeatable: false }");
    let request = SlowRequest {
        target: site.daemons[0].callers,
        path: "/orders/new",
        idempotency_key: Some("long".into()),
        body: "x".repeat(BODY_BYTES),
        body_ends: Instant::now() + HEAD_START + BODY_TIME,
    };
    let sent = tokio::spawn(request.send());
    sleep_until(Instant::now() + HEAD_START).await;
    configure(&site, &unrepeatable).await;
    let reply = sent.await.expect("the caller ends");
    let other = RawReply::post(site.daemons[0].callers, "/orders/new", "idempotency-key: long\r\n", "other").await;
    println!(
        "after the route became unrepeatable: {}, then {} {}",
        reply.status,
        other.status,
        other.header("x-refusal")
    );
    assert!(reply.status == 200 && reply.complete, "{reply:?}");
    let arrived: serde_json::Value = serde_json::from_str(&reply.body).expect("the service's answer");
    assert!(arrived["bytes"].as_u64() > Some(BODY_BYTES as u64), "{arrived}");
    assert_eq!(other.header("x-refusal"), "idempotency-key-mismatch", "the call was not claimed: {other:?}");
}

/// Guards against streams that are cut although another engine of their pool could resume them, as a later configuration
/// has no such pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_are_resumed_after_their_pool_was_dropped() {
    const STREAMS: usize = 6;
    const TOKENS: usize = 300;

    let site = TestSite::start(1, 3).await;
    let dropped = CONFIG
        .replace("  models: { kind: model, checks-fences: true }", "  others: { kind: model }")
        .replace("pool: models", "pool: others");
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let target = site.daemons[0].callers;
        streams.push(tokio::spawn(async move {
            let (client, prompt) = (standin::load::Client::default(), format!("soup {number}"));
            let started = std::time::Instant::now();
            client.stream(target, crate::support::KEY, "meal-planner", &prompt, TOKENS, started).await
        }));
    }
    tokio::time::sleep(HEAD_START).await;
    configure(&site, &dropped).await;
    site.engines[..2].iter().for_each(standin::engine::Engine::kill);
    let mut ends = Vec::new();
    for stream in streams {
        let result = stream.await.expect("the caller ends");
        ends.push((format!("{:?}", result.outcome), result.tokens));
    }
    let resumed = site.counter("resumed_total", "").await;
    println!("after the pool was dropped: {ends:?}, {resumed} resumed");
    let whole = ends.iter().filter(|(_, tokens)| *tokens == TOKENS).count();
    assert_eq!(whole, STREAMS, "{ends:?}");
}
