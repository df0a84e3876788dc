//! Graceful shutdowns with a time limit beside other limits on the same request: its route's timeout, the time to record
//! its outcome, the time to look whether its back end has crashed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rustix::process::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::support::{KEY, RawBackEnd, RawEnd, SlowReply, SlowRequest, TestSite, eventually, read_request, run_load};

/// Time limit of the shutdown, in seconds.
const DRAIN_SECONDS: u64 = 3;
/// Time from SIGTERM until requests that still run are given up.
const LAST_RUN: Duration = Duration::from_millis(2_500);
/// Time between the callers' heads and SIGTERM.
const HEAD_START: Duration = Duration::from_millis(700);
/// Time from SIGTERM to the end of the body of a late request.
const LATE_BODY: Duration = Duration::from_secs(1);
/// Pause of a back end in the middle of its answer, longer than its route's timeout.
const ANSWER_PAUSE: Duration = Duration::from_secs(2);
/// Tokens of a stream that takes longer than its route's timeout.
const LONG_TOKENS: usize = 800;
const WARM_UP_REQUESTS: usize = 4;
/// Keyed calls whose answers come at the same moment.
const CALLS_PER_MOMENT: usize = 4;
const SMALL_CONFIG: &str = "
zones:
  north-a: { region: north }
";
/// Pause of a daemon that its peers do not notice.
const SHORT_PAUSE: Duration = Duration::from_millis(250);
/// Time that calls take whose claims are not answered in time.
const LEDGER_WORK: Duration = Duration::from_secs(1);
/// Time beyond what is known of a request by which it is refused.
const SPARE_TIME: Duration = Duration::from_millis(300);
/// Time for which callers repeat what was refused as not run.
const REPEAT_TIME: Duration = Duration::from_secs(15);
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const SHORT_TIMEOUTS: &str = "
routes:
  brief: { pool: orders, prefix: /brief/, timeout-seconds: 1 }
  brief-planner: { pool: models, model: brief-planner, timeout-seconds: 1 }
";

/// Starts daemons whose only back end of plain services listens at `back_end`.
async fn start_site(daemons: usize, engines: usize, back_end: SocketAddr) -> TestSite {
    start_site_draining(daemons, engines, back_end, DRAIN_SECONDS).await
}

/// Like [`start_site`], with another time limit of the shutdown.
async fn start_site_draining(daemons: usize, engines: usize, back_end: SocketAddr, drain_seconds: u64) -> TestSite {
    let mut site = TestSite::start_with_grace(daemons, engines, Some(drain_seconds)).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    site.register_back_end("orders", back_end, "scripted");
    for daemon in &site.daemons {
        let listed = || async { daemon.get("/admin/requests").await?.to_string().contains("scripted").then_some(()) };
        eventually("the daemon lists the back end", listed).await;
    }
    site
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    (listener, address)
}

/// Answers each request on `listener` with a whole body, whose second half comes at the time that `second_half` returns.
fn answer_in_halves(
    listener: TcpListener,
    second_half: impl Fn(&str) -> Instant + Send + Sync + 'static,
) -> JoinSet<()> {
    let second_half = Arc::new(second_half);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let second_half = second_half.clone();
            connections.spawn(async move {
                let Some(request) = read_request(&mut stream).await else { return };
                let at = second_half(&request);
                let status = if request.contains("/unknown") { "404 Not Found" } else { "200 OK" };
                let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 8\r\n\r\nhalf");
                stream.write_all(head.as_bytes()).await.ok();
                sleep_until(at).await;
                stream.write_all(b"half").await.ok();
            });
        }
    });
    tasks
}

fn request(site: &TestSite, path: &'static str, key: &str, body_ends: Instant) -> SlowRequest {
    let body = match path {
        "/v1/chat/completions" => json!({
            "model": "brief-planner", "stream": true, "max_tokens": LONG_TOKENS,
            "messages": [{ "role": "user", "content": key }],
        }),
        _ => json!({ "order": key }),
    };
    SlowRequest {
        target: site.daemons[0].callers,
        path,
        idempotency_key: Some(key.to_owned()),
        body: body.to_string(),
        body_ends,
    }
}

/// Describes the replies that are not complete; `None` if all are.
fn cut(replies: &[(String, SlowReply)], stop: Instant) -> Option<String> {
    let after = |at: Option<Instant>| at.map(|at| at.saturating_duration_since(stop).as_millis());
    let cut: Vec<_> = replies
        .iter()
        .filter(|(_, reply)| !reply.complete)
        .map(|(name, reply)| {
            format!("{name}: status {}, ended {:?} ms after SIGTERM", reply.status, after(reply.ended))
        })
        .collect();
    (!cut.is_empty()).then(|| format!("{} of {} cut:\n{}", cut.len(), replies.len(), cut.join("\n")))
}

async fn collect(mut calls: JoinSet<(String, SlowReply)>) -> Vec<(String, SlowReply)> {
    let mut replies = Vec::new();
    while let Some(call) = calls.join_next().await {
        replies.push(call.expect("the caller ends"));
    }
    replies
}

/// Guards against LOST: a route's timeout bounds the wait for an answer, not the answer, so that a request is begun whose
/// answer takes longer than the timeout and is cut at the daemon's end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_longer_than_the_timeout_of_their_route_are_not_cut() {
    let (listener, address) = listen().await;
    let _back_end = answer_in_halves(listener, |_| Instant::now() + ANSWER_PAUSE);
    let site = start_site(1, 1, address).await;
    let response = site.propose(0, &[("20-short.yaml", Some(SHORT_TIMEOUTS))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    let paths = ["/brief/order", "/v1/chat/completions"];
    let mut calls = JoinSet::new();
    for (path, number) in paths.iter().flat_map(|path| (0..WARM_UP_REQUESTS).map(move |number| (*path, number))) {
        let call = request(&site, path, &format!("warm-{number}"), Instant::now()).send();
        calls.spawn(async move {
            let begun = Instant::now();
            let reply = call.await;
            (format!("{path} {:?}", begun.elapsed()), reply)
        });
    }
    for (name, reply) in collect(calls).await {
        assert!(reply.status == 200 && reply.complete, "before the stop: {name}: {reply:?}");
    }
    let stop = Instant::now() + HEAD_START;
    let mut calls = JoinSet::new();
    for path in paths {
        let call = request(&site, path, "late", stop + LATE_BODY).send();
        calls.spawn(async move { (path.to_owned(), call.await) });
    }
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    let replies = collect(calls).await;
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
}

/// Guards against LOST: an answer waits for its outcome to be recorded, also beyond the daemon's end when the daemon that
/// records it is silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_does_not_wait_for_its_outcome_beyond_the_end() {
    let (listener, address) = listen().await;
    let stop = Instant::now() + Duration::from_secs(12);
    let moments = [2_300_u64, 2_400, 2_420, 2_440, 2_460, 2_480];
    let is_resumed = Arc::new(AtomicBool::new(false));
    let is_remote = is_resumed.clone();
    let _back_end = answer_in_halves(listener, move |request| {
        let moment = moments.iter().find(|moment| request.contains(&format!("\"order\":\"{moment}-")));
        let moment = stop + Duration::from_millis(*moment.expect("the request names its moment"));
        if is_remote.load(Ordering::Relaxed) { moment } else { Instant::now() }
    });
    let site = start_site(2, 0, address).await;
    sleep_until(stop - 2 * HEAD_START).await;
    assert!(Instant::now() < stop - HEAD_START, "the site started too slowly for this test");
    // Calls whose outcomes are recorded at the first daemon reach the back end during the pause, and end before the stop.
    site.daemons[1].signal(Signal::STOP);
    let mut calls = JoinSet::new();
    for (moment, number) in moments.iter().flat_map(|moment| (0..CALLS_PER_MOMENT).map(move |number| (moment, number)))
    {
        let name = format!("{moment}-{number}");
        let call = request(&site, "/orders/confirm", &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    sleep(SHORT_PAUSE).await;
    is_resumed.store(true, Ordering::Relaxed);
    site.daemons[1].signal(Signal::CONT);
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    sleep_until(stop + LAST_RUN - HEAD_START).await;
    site.daemons[1].signal(Signal::STOP);
    let replies = collect(calls).await;
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
}

/// Guards against LOST: the look whether a back end has crashed delays the answer beyond the daemon's end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_does_not_wait_for_a_probe_of_its_back_end_beyond_the_end() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    let listener = socket.listen(1).expect("the port can be listened on");
    let site = start_site(1, 0, address).await;
    let paths = ["/orders/new", "/orders/confirm"];
    let mut calls = JoinSet::new();
    for path in paths {
        let call = request(&site, path, "cut", Instant::now()).send();
        calls.spawn(async move { (path.to_owned(), call.await) });
    }
    let mut connections = Vec::new();
    while connections.len() < paths.len() {
        let (mut stream, _) = listener.accept().await.expect("the daemon connects");
        if read_request(&mut stream).await.is_some() {
            connections.push(stream);
        }
    }
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    // The back end no longer accepts connections, nor does its system refuse them.
    let waiting: Vec<_> = (0..4).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
    sleep_until(stop + LAST_RUN - Duration::from_millis(200)).await;
    drop(connections);
    let replies = collect(calls).await;
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
}

/// Guards against LOST: a daemon that is paused over the end of its runs, and goes on within its time limit, closed the
/// connections of what it had read without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_paused_over_its_last_answers_still_sends_them() {
    let (listener, address) = listen().await;
    let _back_end = tokio::spawn(async move {
        let mut silent = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            silent.push(stream);
        }
    });
    let site = start_site(1, 0, address).await;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let name = format!("paused-{number}");
        let call = request(&site, "/orders/new", &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    sleep(HEAD_START).await;
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    sleep_until(stop + LAST_RUN - Duration::from_millis(300)).await;
    site.daemons[0].signal(Signal::STOP);
    sleep_until(stop + LAST_RUN + Duration::from_millis(250)).await;
    site.daemons[0].signal(Signal::CONT);
    let replies = collect(calls).await;
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
}

/// Guards against a process that outlasts its limit and is killed: the time for the balancer to notice the stop is not
/// part of the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn process_ends_at_its_limit_also_while_the_balancer_is_to_notice() {
    let mut site = TestSite::start_platform().await;
    (site.drain_seconds, site.notice_ms) = (Some(2), Some(2_600));
    site.add_daemon(0, "north").await;
    let response = site.propose(0, &[("10-site.yaml", Some(SMALL_CONFIG))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    site.wait_until_serving().await;
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    while site.daemons[0].exit_status().is_none() {
        assert!(stop.elapsed() < Duration::from_secs(20), "the process does not end");
        sleep(Duration::from_millis(20)).await;
    }
    let elapsed = stop.elapsed();
    assert!(elapsed <= Duration::from_secs(2), "the process ended {elapsed:?} after SIGTERM");
}

/// Guards against late refusals: a call that waited for the ledger was refused at the daemon's end, though it had been
/// clear before that it could not end in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_that_wait_for_the_ledger_are_refused_once_they_cannot_end() {
    let (listener, address) = listen().await;
    let _back_end = answer_in_halves(listener, |_| Instant::now() + LEDGER_WORK);
    let site = start_site(2, 0, address).await;
    let mut calls = JoinSet::new();
    for number in 0..WARM_UP_REQUESTS {
        let name = format!("warm-{number}");
        let call = request(&site, "/orders/confirm", &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    for (name, reply) in collect(calls).await {
        assert!(reply.status == 200 && reply.complete, "before the stop: {name}: {reply:?}");
    }
    // It owns about half of the ledger, and is not yet known to be silent.
    site.daemons[1].signal(Signal::STOP);
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let name = format!("waiting-{number}");
        let call = request(&site, "/orders/confirm", &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    sleep(Duration::from_millis(100)).await;
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    let replies = collect(calls).await;
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
    let latest = stop + LAST_RUN - LEDGER_WORK + SPARE_TIME;
    let late: Vec<_> = replies
        .iter()
        .filter(|(_, reply)| reply.head.contains("x-run-state: not-run") && reply.answered > Some(latest))
        .map(|(name, reply)| (name, reply.status, reply.answered.map(|at| (at - stop).as_millis())))
        .collect();
    assert!(late.is_empty(), "{} of {} refused late, in ms after SIGTERM: {late:?}", late.len(), replies.len());
}

/// Guards against refusals of what could be served: answers without a body did not count as runs, so that their route's
/// timeout was taken for the time that a run takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_answers_are_empty_are_served_in_a_stop() {
    let back_end =
        RawBackEnd::start(|_, _| ("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n".into(), RawEnd::Keep)).await;
    let site = start_site(1, 0, back_end.address).await;
    for number in 0..WARM_UP_REQUESTS {
        let reply = request(&site, "/orders/new", &format!("warm-{number}"), Instant::now()).send().await;
        assert!(reply.status == 201 && reply.complete, "before the stop: {reply:?}");
    }
    let stop = Instant::now() + HEAD_START;
    let mut calls = JoinSet::new();
    for number in 0..10 {
        let call = request(&site, "/orders/new", &format!("late-{number}"), stop + LATE_BODY).send();
        calls.spawn(async move { (number.to_string(), call.await) });
    }
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    let replies = collect(calls).await;
    let refused: Vec<_> = replies.iter().filter(|(_, reply)| reply.status != 201).collect();
    assert!(refused.is_empty(), "{} of {} not served: {refused:?}", refused.len(), replies.len());
}

/// Guards against LOST: a back end's error, which takes no time, counted as a run, so that a request was begun which could
/// not end before the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn errors_of_a_back_end_do_not_count_as_short_runs() {
    let (listener, address) = listen().await;
    let _back_end = answer_in_halves(listener, |request| {
        Instant::now() + if request.contains("/unknown") { Duration::ZERO } else { ANSWER_PAUSE }
    });
    let site = start_site(1, 0, address).await;
    for number in 0..WARM_UP_REQUESTS {
        let reply = request(&site, "/orders/unknown", &format!("warm-{number}"), Instant::now()).send().await;
        assert!(reply.status == 404 && reply.complete, "before the stop: {reply:?}");
    }
    let stop = Instant::now() + HEAD_START;
    let call = tokio::spawn(request(&site, "/orders/new", "late", stop + LATE_BODY).send());
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    let replies = [("late".to_owned(), call.await.expect("the caller ends"))];
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
}

/// A shutdown whose limit is hardly longer than the time for the last answers still sends them, and ends in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn shutdown_with_a_tiny_limit_answers_what_runs() {
    let (listener, address) = listen().await;
    let _back_end = tokio::spawn(async move {
        let mut silent = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            silent.push(stream);
        }
    });
    let mut site = start_site_draining(1, 0, address, 1).await;
    let mut calls = JoinSet::new();
    for (path, number) in
        ["/orders/new", "/orders/confirm"].into_iter().flat_map(|path| (0..10).map(move |n| (path, n)))
    {
        let name = format!("{path}-{number}");
        let call = request(&site, path, &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    sleep(HEAD_START).await;
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    while site.daemons[0].exit_status().is_none() {
        assert!(stop.elapsed() < Duration::from_secs(20), "the process does not end");
        sleep(Duration::from_millis(10)).await;
    }
    let elapsed = stop.elapsed();
    let replies = collect(calls).await;
    assert_eq!(cut(&replies, stop), None, "{}", site.daemons[0].log());
    assert!(elapsed <= Duration::from_secs(1), "the process ended {elapsed:?} after SIGTERM");
}

/// Guards against refusals that promise too much: calls that were refused as not run in a stop, while the ledger did not
/// answer, could never run later, as their claims were granted after all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_refused_while_the_ledger_was_silent_run_when_they_are_repeated() {
    let (listener, address) = listen().await;
    let _back_end = answer_in_halves(listener, |_| Instant::now());
    let site = start_site(2, 0, address).await;
    site.daemons[1].signal(Signal::STOP);
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let name = format!("waiting-{number}");
        let call = request(&site, "/orders/confirm", &name, Instant::now()).send();
        calls.spawn(async move { (name, call.await) });
    }
    sleep(Duration::from_millis(100)).await;
    let stop = Instant::now();
    site.daemons[0].signal(Signal::TERM);
    let replies = collect(calls).await;
    sleep_until(stop + Duration::from_secs(DRAIN_SECONDS)).await;
    site.daemons[1].signal(Signal::CONT);
    let refused = replies.into_iter().filter(|(_, reply)| reply.head.contains("x-run-state: not-run"));
    let mut repeated = JoinSet::new();
    for (name, _) in refused {
        let call = request(&site, "/orders/confirm", &name, Instant::now());
        let call = SlowRequest { target: site.daemons[1].callers, ..call };
        repeated.spawn(async move {
            let begun = Instant::now();
            let mut reply = call.clone().send().await;
            while reply.status != 200 && begun.elapsed() < REPEAT_TIME {
                sleep(REPEAT_INTERVAL).await;
                reply = call.clone().send().await;
            }
            (name, reply)
        });
    }
    assert!(!repeated.is_empty(), "no call was refused, so the test proves nothing");
    let replies = collect(repeated).await;
    let failed: Vec<_> = replies.iter().filter(|(_, reply)| reply.status != 200).collect();
    assert!(failed.is_empty(), "{} of {} did not run: {failed:?}", failed.len(), replies.len());
}

/// Time that a lookup takes at its back end.
const LOOKUP_WORK: Duration = Duration::from_millis(1_200);
/// Time from SIGTERM to the end of a lookup's request, at which it can end in time, and a second one that begins when the
/// first has been silent for a while cannot.
const LATE_LOOKUP: Duration = Duration::from_millis(850);

/// Starts a back end that is silent for the time that a lookup takes, and counts the requests for `/orders/lookup?late`.
async fn start_silent(late: Arc<AtomicUsize>) -> (SocketAddr, JoinSet<()>) {
    let (listener, address) = listen().await;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let late = late.clone();
            connections.spawn(async move {
                let Some(request) = read_request(&mut stream).await else { return };
                late.fetch_add(usize::from(request.contains("?late")), Ordering::Relaxed);
                sleep(LOOKUP_WORK).await;
                let answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
                stream.write_all(answer.as_bytes()).await.ok();
            });
        }
    });
    (address, tasks)
}

/// Sends a lookup whose request ends at `ends`, and returns the whole answer.
async fn look_up(target: SocketAddr, path: &str, ends: Instant) -> String {
    let mut stream = TcpStream::connect(target).await.expect("the daemon accepts connections");
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {target}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\
         Content-Length: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the daemon reads the head");
    sleep_until(ends).await;
    stream.write_all(b"x").await.expect("the daemon reads the body");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok();
    answer
}

/// Guards against work for nobody: a second send of a lookup began though it could not end before the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn second_send_of_a_lookup_is_not_begun_if_it_cannot_end() {
    let late = Arc::new(AtomicUsize::new(0));
    let (first, _first) = start_silent(late.clone()).await;
    let (second, _second) = start_silent(late.clone()).await;
    let site = start_site(1, 0, first).await;
    site.register_back_end("orders", second, "second");
    let daemon = &site.daemons[0];
    let listed = || async { daemon.get("/admin/requests").await?.to_string().contains("second").then_some(()) };
    eventually("the daemon lists the second back end", listed).await;
    let mut calls = JoinSet::new();
    for _ in 0..WARM_UP_REQUESTS {
        let target = daemon.callers;
        calls.spawn(async move { look_up(target, "/orders/lookup", Instant::now()).await });
    }
    for answer in calls.join_all().await {
        assert!(answer.ends_with("done"), "before the stop: {answer:?}");
    }
    let stop = Instant::now() + HEAD_START;
    let target = daemon.callers;
    let call = tokio::spawn(async move { look_up(target, "/orders/lookup?late", stop + LATE_LOOKUP).await });
    sleep_until(stop).await;
    daemon.signal(Signal::TERM);
    let answer = call.await.expect("the caller ends");
    assert!(answer.ends_with("done"), "{answer:?}, {}", daemon.log());
    assert_eq!(late.load(Ordering::Relaxed), 1, "sends of the lookup");
}

/// Guards against a log that does not tell why a request was refused: requests that come during a stop had no line.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_tells_of_requests_that_come_during_a_stop() {
    let (listener, address) = listen().await;
    let _back_end = answer_in_halves(listener, |_| Instant::now());
    let site = start_site(1, 0, address).await;
    let daemon = &site.daemons[0];
    daemon.signal(Signal::TERM);
    eventually("the daemon is not ready", || async { (!daemon.is_ready().await).then_some(()) }).await;
    let reply = request(&site, "/orders/new", "late", Instant::now()).send().await;
    assert!(reply.status == 503 && reply.head.contains("x-run-state: not-run"), "{reply:?}");
    let told = || async { daemon.log().lines().any(|line| line.contains("event=stop-refused id=req-")).then_some(()) };
    eventually("the log has a line of the request", told).await;
}

/// Guards against stops that take all of the time for the ledger to write its records, as other daemons go on claiming at
/// the slots of the one that stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_beside_keyed_calls_ends_once_records_are_written() {
    /// Time for the balancer to notice the stop, and for outcomes to be written.
    const MAX_STOP: Duration = Duration::from_millis(500 + 2 * 1_000);

    let mut site = TestSite::start(3, 0).await;
    let plan = site.load(0.0, 40.0, 10);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    sleep(Duration::from_secs(2)).await;
    targets.remove(site.daemons[1].callers);
    let stop = Instant::now();
    site.daemons[1].signal(Signal::TERM);
    while site.daemons[1].exit_status().is_none() {
        assert!(stop.elapsed() < Duration::from_secs(20), "the process does not end");
        sleep(Duration::from_millis(20)).await;
    }
    let elapsed = stop.elapsed();
    let report = load.await.expect("the load runs");
    site.check_keyed(&report);
    assert_eq!((report.cut, report.wrong, report.unanswered), (0, 0, 0), "{report:?}");
    assert!(elapsed <= MAX_STOP, "the process ended {elapsed:?} after SIGTERM: {}", site.daemons[1].log());
}
