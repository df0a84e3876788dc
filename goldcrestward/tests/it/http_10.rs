//! Callers that speak HTTP/1.0, to whom an answer without a length ends with its connection.

use std::time::Duration;

use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::support::{KEY, RawBackEnd, RawEnd, TestSite, eventually};

/// Limits how long a failing test runs.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer that lacks its end.
const HALF_ANSWER: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
/// Time for which a slow caller reads nothing.
const SLOW_READ: Duration = Duration::from_millis(500);
/// Size of an answer that is still in transit when the daemon closes its connection.
const LARGE_ANSWER_BYTES: usize = 1024 * 1024;

/// Starts a site whose back end sends half of an answer, and then ends its connection in this way.
async fn start(end: RawEnd) -> (TestSite, RawBackEnd) {
    start_with(HALF_ANSWER.into(), end).await
}

/// Starts a site whose back end sends this answer, and then ends its connection in this way.
async fn start_with(answer: String, end: RawEnd) -> (TestSite, RawBackEnd) {
    let mut site = TestSite::start_with_grace(1, 0, Some(2)).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    let back_end = RawBackEnd::start(move |_, _| (answer.clone().into(), end)).await;
    site.register_back_end("orders", back_end.address, "half");
    let listed = || async { site.daemons[0].get("/admin/requests").await?.to_string().contains("half").then_some(()) };
    eventually("the daemon lists the back end", listed).await;
    (site, back_end)
}

/// Sends a request and reads until the end of the connection; `stop` is done once the answer has begun.
async fn read_answer(site: &TestSite, stop: impl FnOnce(&TestSite)) -> (String, std::io::Result<usize>) {
    let mut stream = TcpStream::connect(site.daemons[0].callers).await.expect("the daemon takes connections");
    let request = format!("POST /orders/new HTTP/1.0\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut bytes = vec![0; 4096];
    let count = stream.read(&mut bytes).await.expect("the answer begins");
    bytes.truncate(count);
    stop(site);
    let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut bytes)).await.expect("the connection ends");
    (String::from_utf8_lossy(&bytes).into_owned(), end)
}

/// Whether the answer looks whole: a success that ends with a clean close, or with its length.
fn looks_whole(text: &str, end: &std::io::Result<usize>) -> bool {
    text.split(' ').nth(1) == Some("200") && end.is_ok() && !text.to_lowercase().contains("transfer-encoding")
}

/// Guards against MIXED: an answer that its back end cuts off ended like a whole one for callers of HTTP/1.0.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_cut_by_its_back_end_does_not_look_whole_in_http_10() {
    for end in [RawEnd::Close, RawEnd::Reset] {
        let (site, _back_end) = start(end).await;
        let (text, read) = read_answer(&site, |_| ()).await;
        assert!(!looks_whole(&text, &read), "{end:?}: {text:?}, {read:?}");
    }
}

/// Guards against MIXED: an answer that is cut in a stop ended like a whole one for callers of HTTP/1.0.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_cut_by_a_stop_does_not_look_whole_in_http_10() {
    let (site, _back_end) = start(RawEnd::Keep).await;
    let (text, read) = read_answer(&site, |site| site.daemons[0].signal(Signal::TERM)).await;
    assert!(!looks_whole(&text, &read), "{text:?}, {read:?}\n{}", site.daemons[0].log());
}

/// Guards against resets that destroy whole answers: only one that is cut ends with a reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_answer_without_a_length_reaches_a_slow_caller_in_http_10() {
    let body = "x".repeat(LARGE_ANSWER_BYTES);
    let answer =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{LARGE_ANSWER_BYTES:x}\r\n{body}\r\n0\r\n\r\n");
    let (site, _back_end) = start_with(answer, RawEnd::Keep).await;
    let (text, read) = read_answer(&site, |_| std::thread::sleep(SLOW_READ)).await;
    assert!(looks_whole(&text, &read), "{} bytes, {read:?}", text.len());
    let received = text.split_once("\r\n\r\n").map(|(_, body)| body.len());
    assert_eq!(received, Some(LARGE_ANSWER_BYTES));
}
