//! What callers get late in a stop, and whether another daemon can go on from there.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use standin::service::ServiceFaults;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::support::{KEY, SlowReply, SlowRequest, TestSite};

const DRAIN_SECONDS: u64 = 6;
/// Time between the heads of the first requests and SIGTERM.
const HEAD_START: Duration = Duration::from_millis(500);
const MS: Duration = Duration::from_millis(1);
/// Time within which a caller that has sent its head only is refused.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

fn confirmation(site: &TestSite, key: &str, body_ends: Instant) -> SlowRequest {
    SlowRequest {
        target: site.daemons[0].callers,
        path: "/orders/confirm",
        idempotency_key: Some(key.to_owned()),
        body: json!({ "order": key }).to_string(),
        body_ends,
    }
}

/// Begins a request that runs for so long, so that the daemon goes on while it stops.
fn begin_earlier(site: &TestSite, ms: u64) -> JoinHandle<SlowReply> {
    site.set_service_faults(&ServiceFaults { delay_ms: ms, ..ServiceFaults::default() });
    tokio::spawn(confirmation(site, "earlier", Instant::now()).send())
}

/// Sends the head of a request and waits for the answer. Returns what has come.
async fn send_head(site: &TestSite, path: &str, framing: &str) -> String {
    let target = site.daemons[0].callers;
    let mut stream = TcpStream::connect(target).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {target}\r\nAuthorization: Bearer {KEY}\r\nContent-Type: application/json\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the head is written");
    let mut bytes = Vec::new();
    timeout(REFUSAL_LIMIT, stream.read_to_end(&mut bytes)).await.ok();
    String::from_utf8_lossy(&bytes).to_lowercase()
}

/// Guards against callers that hold their bodies back until they have got an answer, and against ones that come back on a
/// connection to a daemon that takes no more requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_in_a_stop_are_refused_at_their_heads_and_their_connections_closed() {
    let site = TestSite::start_with_grace(1, 1, Some(DRAIN_SECONDS)).await;
    let stop = Instant::now() + HEAD_START;
    let earlier = begin_earlier(&site, 4_000);
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    for after in [100 * MS, 1_000 * MS, 2_500 * MS] {
        sleep_until(stop + after).await;
        for path in ["/orders/confirm", "/orders/lookup", "/orders/new", "/v1/chat/completions"] {
            for framing in ["Content-Length: 4000\r\n", "Transfer-Encoding: chunked\r\n"] {
                let answer = send_head(&site, path, framing).await;
                let label = format!("{path}, {framing:?}, {after:?} after SIGTERM: {answer:?}");
                assert!(answer.starts_with("http/1.1 503 "), "{label}");
                for line in ["retry-after:", "connection: close", "x-run-state: not-run"] {
                    assert!(answer.contains(line), "no {line}, {label}");
                }
            }
        }
    }
    let earlier = earlier.await.expect("the caller ends");
    assert!(earlier.status == 200 && earlier.complete, "from before the stop: {earlier:?}");
}

/// Guards against callers that are told `stopping` and yet keep their connection to the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_in_the_notice_of_a_stop_end_their_connections() {
    let site = TestSite::start_with_grace(1, 1, Some(DRAIN_SECONDS)).await;
    let stop = Instant::now() + HEAD_START;
    let earlier = begin_earlier(&site, 2_000);
    let target = site.daemons[0].callers;
    let mut kept = TcpStream::connect(target).await.expect("a connection");
    sleep_until(stop).await;
    site.daemons[0].signal(Signal::TERM);
    sleep(100 * MS).await;
    let text = format!(
        "POST /orders/lookup HTTP/1.1\r\nHost: {target}\r\nAuthorization: Bearer {KEY}\r\nContent-Type: application/json\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    kept.write_all(text.as_bytes()).await.expect("the request is written");
    let mut buffer = vec![0; 4096];
    let count = timeout(REFUSAL_LIMIT, kept.read(&mut buffer)).await.expect("an answer").expect("a connection");
    let answer = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
    assert!(answer.starts_with("http/1.1 503 ") && answer.contains("x-run-state: not-run"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    let earlier = earlier.await.expect("the caller ends");
    assert!(earlier.status == 200 && earlier.complete, "from before the stop: {earlier:?}");
}
