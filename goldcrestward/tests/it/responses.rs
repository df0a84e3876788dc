//! Responses of replicas that truncate, mix up or duplicate streams, crash, disappear or drop connections.

use std::sync::Arc;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use standin::{engine::EngineFaults, load::RequestOutcome, platform::InstanceState};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::support::{KEY, RawReply, TestSite, eventually, run_load};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn truncated_stream_is_resumed_to_completion() {
    let site = TestSite::start(2, 5).await;
    site.set_engine_faults(&EngineFaults { cut: 0.2, ..EngineFaults::default() });
    let report = run_load(site.load(20.0, 0.0, 4)).await;
    assert_eq!((report.cut, report.wrong, report.unanswered), (0, 0, 0), "{report:?}");
    assert_eq!(report.whole, report.streams, "{report:?}");
    assert!(
        site.counter("resumed_total", "recompute").await > 0.0,
        "no stream was resumed, so the test proves nothing"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn foreign_and_duplicate_events_are_dropped() {
    let site = TestSite::start(1, 5).await;
    site.set_engine_faults(&EngineFaults { crossed: 0.1, doubled: 0.3, ..EngineFaults::default() });
    let report = run_load(site.load(20.0, 0.0, 4)).await;
    assert_eq!((report.cut, report.wrong, report.whole), (0, 0, report.streams), "{report:?}");
    assert!(site.counter("dropped_total", "crossed").await > 0.0);
    assert!(site.counter("dropped_total", "repeated").await > 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_of_killed_replica_is_resumed_to_completion() {
    let site = TestSite::start(1, 3).await;
    let streams: Vec<_> = (0..12).map(|n| format!("prompt {n} with words of its own")).collect();
    let target = site.daemons[0].callers;
    let tasks: Vec<_> = streams
        .into_iter()
        .map(|prompt| {
            let client = standin::load::Client::default();
            let planned = std::time::Instant::now();
            tokio::spawn(async move { client.stream(target, KEY, "meal-planner", &prompt, 300, planned).await })
        })
        .collect();
    let started = || async {
        let counts: Vec<_> = site.engines.iter().map(standin::engine::Engine::counts).collect();
        let running: u64 = counts.iter().map(|c| c.running).sum();
        (running >= 12 && counts.iter().all(|c| c.running == 0 || c.tokens >= 20 * c.running)).then_some(())
    };
    eventually("all streams have started", started).await;
    let busiest = site.engines.iter().max_by_key(|e| e.counts().running).expect("there are engines");
    busiest.kill();
    for task in tasks {
        assert_eq!(task.await.expect("the caller task completes").outcome, RequestOutcome::Complete);
    }
    assert!(site.counter("resumed_total", "").await > 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_of_reclaimed_zone_is_migrated_with_its_kv_cache() {
    let mut site = TestSite::start(2, 3).await;
    let south = site.add_engine("models-1", "south").await;
    site.wait_until_serving().await;
    let load = tokio::spawn(run_load(site.load(30.0, 0.0, 6)));
    let busy = || async { (0..3).any(|n| site.engines[n].counts().running > 0).then_some(()) };
    eventually("an engine of the zone runs a request", busy).await;
    for number in 0..3 {
        site.register_engine(number, "models-1", "north", InstanceState::Leaving);
    }
    let idle = || async { (0..3).all(|n| site.engines[n].counts().running == 0).then_some(()) };
    eventually("the leaving engines are idle", idle).await;
    site.engines[..3].iter().for_each(standin::engine::Engine::kill);
    let report = load.await.expect("the load runs");
    assert_eq!((report.cut, report.wrong, report.whole), (0, 0, report.streams), "{report:?}");
    assert!(site.engines[south].counts().requests > 0);
    assert!(site.counter("resumed_total", "import").await > 0.0, "no stream was migrated, so the test proves nothing");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashes_replicas_is_refused_everywhere() {
    let site = TestSite::start(3, 6).await;
    site.set_engine_faults(&EngineFaults { crash_on: "poison".into(), ..EngineFaults::default() });
    let bad = site.stream(0, "a prompt with poison in it", 20).await;
    let RequestOutcome::Refused(reason, run) = &bad.outcome else { panic!("answered: {bad:?}") };
    assert_eq!((reason.as_str(), run.as_str()), ("crashes-back-ends", "may-have-run"));
    let refused_elsewhere = || async {
        let again = site.stream(2, "a prompt with poison in it", 20).await;
        matches!(&again.outcome, RequestOutcome::Refused(reason, run) if reason == "crashes-back-ends" && run == "not-run")
            .then_some(())
    };
    eventually("another daemon refuses it without running it", refused_elsewhere).await;
    let innocent = site.stream(1, "a prompt without it", 20).await;
    assert_eq!(innocent.outcome, RequestOutcome::Complete);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_running_during_a_crash_is_not_blamed() {
    let site = TestSite::start(1, 4).await;
    site.set_engine_faults(&EngineFaults { crash_on: "poison".into(), ..EngineFaults::default() });
    let target = site.daemons[0].callers;
    let innocents: Vec<_> = (0..8)
        .map(|n| {
            let client = standin::load::Client::default();
            let planned = std::time::Instant::now();
            tokio::spawn(async move {
                let prompt = format!("innocent {n}");
                client.stream(target, KEY, "meal-planner", &prompt, 400, planned).await
            })
        })
        .collect();
    let busy = || async { (site.engines.iter().map(|e| e.counts().running).sum::<u64>() >= 8).then_some(()) };
    eventually("all innocent streams run", busy).await;
    site.stream(0, "poison", 20).await;
    for task in innocents {
        assert_eq!(task.await.expect("the caller task completes").outcome, RequestOutcome::Complete);
    }
    for n in 0..8 {
        assert_eq!(site.stream(0, &format!("innocent {n}"), 20).await.outcome, RequestOutcome::Complete);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_disconnect_cancels_its_attempt() {
    let site = TestSite::start(1, 1).await;
    let target = site.daemons[0].callers;
    let caller = tokio::spawn(async move {
        let client = standin::load::Client::default();
        let planned = std::time::Instant::now();
        client.stream(target, KEY, "meal-planner", "a long response", 100_000, planned).await
    });
    let busy = || async { (site.engines[0].counts().tokens > 5).then_some(()) };
    eventually("the engine generates tokens", busy).await;
    caller.abort();
    let idle = || async { (site.engines[0].counts().running == 0).then_some(()) };
    eventually("the engine has cancelled the request", idle).await;
}

/// Starts a back end that handles each connection at random: drops it before or after reading, returns an error or
/// returns a success. Gives its address and all the text that it has read.
async fn start_unreliable_back_end(seed: u64) -> (std::net::SocketAddr, Arc<Mutex<String>>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    let received = Arc::new(Mutex::new(String::new()));
    let log = received.clone();
    tokio::spawn(async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        while let Ok((mut stream, _)) = socket.accept().await {
            let behavior = rng.random_range(0..5);
            if behavior == 0 {
                continue;
            }
            let mut buffer = [0; 8192];
            let length = stream.read(&mut buffer).await.unwrap_or(0);
            log.lock().push_str(&String::from_utf8_lossy(&buffer[..length]));
            let response = match behavior {
                1 | 2 => continue,
                3 => "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                _ => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok",
            };
            stream.write_all(response.as_bytes()).await.ok();
        }
    });
    (address, received)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_read_by_a_back_end_is_never_refused_as_not_run() {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    let mut received = Vec::new();
    for seed in 1..=3 {
        let (address, text) = start_unreliable_back_end(seed).await;
        site.register_service(address, &format!("unreliable-{seed}"));
        received.push(text);
    }
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains("unreliable-3").then_some(())
    };
    eventually("the daemon lists the back ends", listed).await;
    let (mut not_run, mut may_have_run, mut completed) = (0, 0, 0);
    for number in 0..240 {
        // Even numbers go to the non-idempotent route.
        let path = if number % 2 == 0 { "/orders/confirm" } else { "/orders/other" };
        let marker = format!("mark-{number}-end");
        let ended = standin::load::Client::default().keyed(site.daemons[0].callers, KEY, path, &marker).await;
        let was_read = received.iter().any(|text| text.lock().contains(&marker));
        match ended {
            RequestOutcome::Refused(reason, run) if run == "not-run" => {
                assert!(!was_read, "{marker} was reported as not run ({reason}), but a back end read it");
                not_run += 1;
            }
            RequestOutcome::Refused(..) => may_have_run += 1,
            _ => completed += 1,
        }
    }
    assert!(may_have_run > 0 && completed > 0, "{not_run} not run, {may_have_run} may have run, {completed} completed");
}

/// Starts a back end that answers with the request's path and, on each connection, sends its answers again, late:
/// before the next one. Its answers bear the request's id if `echoes_ids`.
async fn start_copying_back_end(echoes_ids: bool) -> std::net::SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            tokio::spawn(async move {
                let (mut buffer, mut previous) = ([0; 8192], String::new());
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    let head = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
                    let path = head.split(' ').nth(1).unwrap_or_default();
                    let id = head.lines().find(|line| line.starts_with("x-request-id:")).filter(|_| echoes_ids);
                    let id = id.map(|line| format!("{line}\r\n")).unwrap_or_default();
                    let answer = format!("HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{path}", path.len());
                    if stream.write_all(previous.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(3)).await;
                    stream.write_all(answer.as_bytes()).await.ok();
                    previous = answer;
                }
            });
        }
    });
    address
}

/// Guards against MIXED: a late copy of an earlier answer on a kept connection was passed on as the answer to a request
/// to a plain service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_copy_of_an_answer_does_not_answer_the_next_request() {
    for echoes_ids in [true, false] {
        let mut site = TestSite::start(1, 0).await;
        site.services.iter().for_each(standin::service::Service::kill);
        site.services.clear();
        for number in 0..2 {
            site.register_service(start_copying_back_end(echoes_ids).await, &format!("copying-{number}"));
        }
        let listed = || async {
            let value = site.daemons[0].get("/admin/requests").await?;
            value.to_string().contains("copying-1").then_some(())
        };
        eventually("the daemon lists the back ends", listed).await;
        let mut whole = 0;
        for number in 0..40 {
            let path = format!("/orders/{number}-end");
            let mut stream = tokio::net::TcpStream::connect(site.daemons[0].callers).await.expect("a connection");
            let request = format!(
                "GET {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.expect("the request is sent");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("the answer is read");
            if answer.starts_with("HTTP/1.1 200") {
                assert!(answer.ends_with(&path), "{path} got {answer:?}");
                whole += 1;
            }
        }
        assert!(whole > 0, "no request was answered");
    }
}

/// Guards against MIXED: the same while several requests are under way, one of which ends as the next one opens its
/// connection. The answers bear no ids, so only a connection of its own tells a request's answer from a late copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_copy_of_an_answer_does_not_answer_a_concurrent_request() {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    for number in 0..2 {
        site.register_service(start_copying_back_end(false).await, &format!("copying-{number}"));
    }
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains("copying-1").then_some(())
    };
    eventually("the daemon lists the back ends", listed).await;
    let daemon = site.daemons[0].callers;
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..24 {
        workers.spawn(async move {
            let mut whole = 0;
            for number in 0..12 {
                let route = if number % 2 == 0 { "confirm" } else { "other" };
                let path = format!("/orders/{route}?{worker}-{number}-end");
                let key = format!("idempotency-key: {worker}-{number}\r\n");
                let reply = RawReply::post(daemon, &path, &key, "order").await;
                if reply.status == 200 {
                    assert_eq!(reply.body, path, "got another request's answer");
                    whole += 1;
                }
            }
            whole
        });
    }
    let whole: usize = workers.join_all().await.into_iter().sum();
    assert!(whole > 0, "no request was answered");
}
