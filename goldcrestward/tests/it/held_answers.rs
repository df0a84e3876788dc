//! Back ends that answer with errors: what they say reaches the caller unless another attempt is answered.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::support::{KEY, RawBackEnd, RawEnd, RawReply, TestSite, eventually, read_request};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\nConnection: close\r\n\r\nown error";
const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
/// Longer than the delay after which a lookup is also sent to a second back end.
const SLOW: Duration = Duration::from_millis(400);
/// Slow lookups; more than the retries that a route saves and earns by them.
const SLOW_LOOKUPS: usize = 20;
/// Lookups that are answered by two back ends, one of which fails.
const LOOKUPS: usize = 12;

/// Waits until the daemon lists exactly these back ends.
async fn wait_listed(site: &TestSite, ids: &[&str]) {
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        let rows = value["replicas"].as_array()?;
        let is_listed = |id: &&str| rows.iter().any(|row| row["replica"] == **id);
        (rows.len() == ids.len() && ids.iter().all(is_listed)).then_some(())
    };
    eventually("the daemon lists the back ends", listed).await;
}

async fn look_up(site: &TestSite, number: usize) -> String {
    let daemon = site.daemons[0].callers;
    let mut stream = TcpStream::connect(daemon).await.expect("the daemon accepts connections");
    let head = format!(
        "GET /orders/lookup/{number} HTTP/1.1\r\nHost: {daemon}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the daemon reads the head");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the daemon ends the answer");
    answer
}

/// Guards against errors of back ends that are dropped for retries which are then not made.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn error_is_passed_on_if_no_retry_is_answered() {
    let mut site = TestSite::start(1, 0).await;
    site.remove_services();
    let failing = RawBackEnd::start(|_, _| (ERROR.into(), RawEnd::Close)).await;
    site.register_service(failing.address, "failing");
    site.register_back_end("models", failing.address, "failing-model");
    wait_listed(&site, &["failing", "failing-model"]).await;
    let daemon = site.daemons[0].callers;
    let hedged = look_up(&site, 0).await;
    assert!(hedged.starts_with("HTTP/1.1 500 ") && hedged.ends_with("own error"), "{hedged}");
    for stream in [false, true] {
        let body = format!("{{\"model\":\"meal-planner\",\"messages\":[],\"stream\":{stream}}}");
        let reply = RawReply::post(daemon, "/v1/chat/completions", "", &body).await;
        assert_eq!((reply.status, &*reply.body), (500, "own error"), "stream: {stream}, {reply:?}");
    }
    let reply = RawReply::post(daemon, "/orders/lookup/1", "", "x").await;
    assert_eq!((reply.status, &*reply.body), (500, "own error"), "{reply:?}");
}

/// Guards against retries that are paid for and not made: slow lookups used the budget up while there was no second back end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn retries_are_paid_for_when_they_are_sent() {
    let (is_failing, failures) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let (switch, count) = (is_failing.clone(), failures.clone());
    let first = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (switch, count) = (switch.clone(), count.clone());
            tokio::spawn(async move {
                if read_request(&mut stream).await.is_none() {
                    return;
                }
                if switch.load(Ordering::Relaxed) {
                    count.fetch_add(1, Ordering::Relaxed);
                    stream.write_all(ERROR.as_bytes()).await.ok();
                } else {
                    tokio::time::sleep(SLOW).await;
                    stream.write_all(DONE.as_bytes()).await.ok();
                }
            });
        }
    });
    let mut site = TestSite::start(1, 0).await;
    site.remove_services();
    site.register_service(address, "first");
    wait_listed(&site, &["first"]).await;
    let slow = join_all((0..SLOW_LOOKUPS).map(|number| look_up(&site, number))).await;
    assert!(slow.iter().all(|answer| answer.ends_with("done")), "{slow:?}");
    let second = RawBackEnd::start(|_, _| (DONE.into(), RawEnd::Close)).await;
    site.register_service(second.address, "second");
    wait_listed(&site, &["first", "second"]).await;
    is_failing.store(true, Ordering::Relaxed);
    for number in 0..LOOKUPS {
        let answer = look_up(&site, number).await;
        assert!(answer.ends_with("done"), "lookup {number}: {answer}");
    }
    assert!(failures.load(Ordering::Relaxed) > 0, "no lookup reached the failing back end");
    first.abort();
}
