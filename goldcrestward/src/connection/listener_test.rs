//! Tests of when the listener closes the connections of callers, over real sockets.

use std::{
    convert::Infallible,
    future::pending,
    io::{Read, Write},
    net::{SocketAddr, TcpStream as StdTcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec, Opts};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{Router, route::any},
};

use super::{AmbiguousFraming, CallerCloses, Drain, LONG_IDLE_TIME, LimitsInForce, Listener, Stage, bind};
use crate::{config::CallerLimits, connection::drain::NEXT_REQUEST_TIME};

const ANSWER: &str = "done";
const REQUEST: &[u8] = b"GET /order HTTP/1.1\r\nHost: site\r\nX-Request-Id: crossing\r\n\r\n";
/// Connections on which a request arrives at the moment of the close.
const CONNECTIONS: usize = 24;
const HEADER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after the idle time-out for which connections stay open.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Size of an answer that exceeds what sockets hold, in bytes.
const LARGE_BYTES: usize = 32 * 1024 * 1024;
/// Time within which an answer comes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A listener whose limits can be changed.
struct Site {
    address: SocketAddr,
    drain: Drain,
    limits: Arc<Mutex<CallerLimits>>,
    closes: IntCounterVec,
    unannounced: IntCounterVec,
    unanswered: IntCounterVec,
    refusals: IntCounterVec,
}

impl Site {
    fn start(idle_timeout: Duration) -> Self {
        Self::start_with_lag(idle_timeout, Duration::ZERO)
    }

    /// Starts a listener whose callers learn of a change up to `lag` earlier or later than it does.
    fn start_with_lag(idle_timeout: Duration, lag: Duration) -> Self {
        let drain = Drain::new();
        let limits = CallerLimits { header_timeout: HEADER_TIMEOUT, idle_timeout, ..CallerLimits::default() };
        let limits = Arc::new(Mutex::new(limits));
        let socket = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = socket.local_addr().expect("the socket is bound");
        let refusals = IntCounterVec::new(Opts::new("refusals", "refusals"), &["reason", "run"]).expect("a valid name");
        let counters = |name| IntCounterVec::new(Opts::new(name, name), &["reason"]).expect("a valid name");
        let (closes, unannounced) = (counters("closes"), counters("unannounced"));
        let late_arrivals = counters("late_arrivals");
        let unanswered = counters("unanswered");
        let failed_accepts = IntCounter::new("failed_accepts", "failed accepts").expect("a valid name");
        let record = CallerCloses::new(closes.clone(), unannounced.clone(), failed_accepts, late_arrivals);
        let current = limits.clone();
        let listener = Listener {
            socket,
            router: Router::new().fallback_service(any(answer)),
            drain: drain.clone(),
            refusals: refusals.clone(),
            closes: Arc::new(record.with_unanswered(unanswered.clone())),
            limits: Arc::new(LimitsInForce::new(move || current.lock().clone(), lag)),
        };
        tokio::spawn(listener.run());
        Self { address, drain, limits, closes, unannounced, unanswered, refusals }
    }

    fn set_idle_timeout(&self, idle_timeout: Duration) {
        self.limits.lock().idle_timeout = idle_timeout;
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("the listener accepts")
    }
}

/// Answers after reading the body, or without reading it: at once, after the time-out for heads, when a body has had the
/// time to arrive, with a stream of two parts, with one that breaks, or with more than sockets hold.
async fn answer(request: Request) -> Response {
    match request.uri().path() {
        "/read" => {
            let mut body = request.into_body();
            while body.frame().await.is_some() {}
        }
        "/framing" => {
            let is_ambiguous = request.extensions().get::<AmbiguousFraming>().is_some();
            return Response::new(Body::from(format!("ambiguous: {is_ambiguous}, {ANSWER}")));
        }
        "/large" => return Response::new(Body::from([vec![b'x'; LARGE_BYTES], ANSWER.into()].concat())),
        "/broken" => {
            let parts = [Ok(Frame::data(Bytes::from_static(b"first"))), Err(std::io::Error::other("broken"))];
            return Response::new(Body::from_body(StreamBody::new(futures_util::stream::iter(parts))));
        }
        "/slow" => sleep(5 * HEADER_TIMEOUT).await,
        "/late" => sleep(HEADER_TIMEOUT / 2).await,
        // The runtime learns nothing of the connection meanwhile.
        "/blocking" => thread::sleep(HEADER_TIMEOUT),
        "/stream" => {
            let parts = futures_util::stream::unfold(["first", ANSWER].into_iter(), |mut parts| async {
                let part = parts.next()?;
                if part == ANSWER {
                    sleep(HEADER_TIMEOUT).await;
                }
                Some((Ok::<_, Infallible>(Frame::data(Bytes::from_static(part.as_bytes()))), parts))
            });
            return Response::new(Body::from_body(StreamBody::new(parts)));
        }
        _ => {}
    }
    Response::new(Body::from(ANSWER))
}

/// Sends a request and returns what comes until the answer is whole or the connection ends.
async fn exchange(stream: &mut TcpStream) -> String {
    stream.write_all(REQUEST).await.ok();
    read_answer(stream).await
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(ANSWER.as_bytes()) {
        match timeout(ANSWER_TIMEOUT, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => text.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Waits until the connection is closed, without another byte.
async fn wait_ended(stream: &mut TcpStream) -> bool {
    matches!(timeout(ANSWER_TIMEOUT, stream.read(&mut [0])).await, Ok(Ok(0) | Err(_)))
}

/// Waits until the connection is closed, behind nothing but the notice of an idle one.
async fn wait_closed(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let closed = timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut bytes)).await.is_ok();
    let is_notice = bytes.starts_with(b"HTTP/1.1 408 ") && bytes.windows(4).filter(|part| part == b"HTTP").count() == 1;
    closed && (bytes.is_empty() || is_notice)
}

/// Guards against LOST: the HTTP library's time-out for heads, fixed when a connection is accepted, also counted idle time.
#[tokio::test(flavor = "multi_thread")]
async fn raised_idle_timeout_holds_for_open_connections() {
    let site = Site::start(Duration::from_millis(300));
    let mut stream = site.connect().await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    site.set_idle_timeout(Duration::from_secs(10));
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    sleep(Duration::from_secs(2)).await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER), "the connection was closed by the time-out at its start");
}

/// Guards against LOST: a lowered idle time-out closed connections that callers reuse by the time-out that they know.
#[tokio::test(flavor = "multi_thread")]
async fn lowered_idle_timeout_binds_connections_from_their_next_answer_on() {
    const FORMER: Duration = Duration::from_secs(4);

    let site = Site::start(FORMER);
    let mut stream = site.connect().await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    sleep(FORMER / 2).await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    site.set_idle_timeout(Duration::from_millis(100));
    sleep(FORMER * 4 / 5).await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER), "the connection was closed by a time-out that came later");
    assert!(wait_closed(&mut stream).await, "the lowered time-out never holds");
}

/// Opens connections that have carried a request.
async fn open_kept(site: &Site) -> Vec<StdTcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = site.connect().await;
        assert!(exchange(&mut stream).await.ends_with(ANSWER));
        let stream = stream.into_std().expect("a socket");
        stream.set_nonblocking(false).expect("a blocking socket");
        streams.push(stream);
    }
    streams
}

/// Returns how many of the requests sent on the connections are answered.
async fn count_answers(streams: Vec<StdTcpStream>) -> usize {
    let read = move || {
        let answered = |stream: &mut StdTcpStream| {
            let mut buffer = [0; 1024];
            stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a time-out");
            stream.read(&mut buffer).is_ok_and(|count| buffer[..count].starts_with(b"HTTP/1.1 200 "))
        };
        streams.into_iter().map(|mut stream| answered(&mut stream)).filter(|answered| *answered).count()
    };
    tokio::task::spawn_blocking(read).await.expect("the reader ends")
}

/// Guards against LOST: a request that had arrived when the idle time-out fired was dropped unread.
#[tokio::test]
async fn request_that_arrives_at_the_idle_timeout_is_answered() {
    const IDLE: Duration = Duration::from_millis(500);

    let site = Site::start(IDLE);
    let mut streams = open_kept(&site).await;
    let first_due = Instant::now() + IDLE + IDLE_GRACE - Duration::from_millis(300);
    // Nothing runs on this thread from now until all time-outs are due.
    thread::sleep(first_due.saturating_duration_since(Instant::now()));
    for stream in &mut streams {
        stream.write_all(REQUEST).expect("the connection is open");
    }
    thread::sleep(Duration::from_millis(500));
    assert_eq!(count_answers(streams).await, CONNECTIONS);
}

/// Guards against LOST: a request that had arrived when the stop closed the idle connections was dropped unread.
#[tokio::test]
async fn request_that_arrives_at_the_stop_is_answered() {
    let site = Site::start(Duration::from_secs(10));
    let mut streams = open_kept(&site).await;
    let drain = site.drain.clone();
    let stop = tokio::spawn(async move {
        for stream in &mut streams {
            stream.write_all(REQUEST).expect("the connection is open");
        }
        drain.stop.send_replace(Stage::Ending);
        streams
    });
    let streams = stop.await.expect("the task ends");
    assert_eq!(count_answers(streams).await, CONNECTIONS);
}

/// Guards against LOST: the rest of a head was still on its way when the stop closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_head_arrives_during_the_stop_is_answered() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    stream.write_all(first).await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    site.drain.stop.send_replace(Stage::Draining);
    sleep(HEADER_TIMEOUT / 4).await;
    stream.write_all(rest).await.expect("the connection is open");
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER) && text.to_lowercase().contains("connection: close"), "{text}");
}

/// A head that never ends delays a stop for no longer than its time-out, and is refused and counted.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_does_not_end_is_refused_during_the_stop() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(&REQUEST[..REQUEST.len() - 1]).await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    let stop = timeout(ANSWER_TIMEOUT, site.drain.finish(pending()));
    assert!(stop.await.is_ok(), "the stop does not end");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("an answer");
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert_eq!(site.closes.with_label_values(&["head-timeout"]).get(), 1);
}

/// Guards against LOST: a head whose lines end without a carriage return, which the HTTP library accepts, timed out while its
/// request was being served.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_bare_line_feeds_is_answered_after_the_time_for_heads() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /slow HTTP/1.1\nHost: site\n\n").await.expect("the connection is open");
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER), "{text:?}");
}

/// Sends the head and the first half of a long body, and returns the answer, which does not wait for the rest.
async fn exchange_with_partial_body(stream: &mut TcpStream, body_bytes: usize) -> String {
    let head = format!("POST /order HTTP/1.1\r\nHost: site\r\nContent-Length: {body_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the connection is open");
    stream.write_all(&vec![b'x'; body_bytes / 2]).await.expect("the connection is open");
    read_answer(stream).await
}

/// Guards against LOST: an answer that came before its request's body had been read was the last one of its connection and
/// did not say so, so that the next request was dropped with neither an answer nor a line.
#[tokio::test(flavor = "multi_thread")]
async fn answer_before_the_end_of_a_body_says_that_the_connection_ends() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    let text = exchange_with_partial_body(&mut stream, 2_000).await.to_lowercase();
    stream.shutdown().await.expect("the connection is open");
    assert!(wait_ended(&mut stream).await, "the connection stays open");
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text}");
    assert_eq!(site.unannounced.with_label_values(&["last-answer"]).get(), 0);
}

/// A refusal costs its caller no connection where the body has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ignores_an_arrived_body_keeps_the_connection() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    for body_bytes in [10, 1_000, 100_000] {
        let head = format!("POST /late HTTP/1.1\r\nHost: site\r\nContent-Length: {body_bytes}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &vec![b'x'; body_bytes]].concat()).await.expect("the connection is open");
        let text = read_answer(&mut stream).await.to_lowercase();
        assert!(text.starts_with("http/1.1 200") && !text.contains("connection: close"), "{body_bytes}: {text}");
    }
    assert!(exchange(&mut stream).await.ends_with(ANSWER), "the connection was closed");
}

/// Guards against LOST: connections that the kernel had accepted and the daemon had not were reset at the stop.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_at_the_stop_are_answered() {
    let site = Site::start(Duration::from_secs(10));
    assert!(exchange(&mut site.connect().await).await.ends_with(ANSWER));
    // The listener runs on this thread, so that it accepts nothing before the stop.
    let mut streams: Vec<_> =
        (0..CONNECTIONS).map(|_| StdTcpStream::connect(site.address).expect("the listener's queue has room")).collect();
    for stream in &mut streams {
        stream.write_all(REQUEST).expect("the connection is open");
    }
    site.drain.stop.send_replace(Stage::Ending);
    assert_eq!(count_answers(streams).await, CONNECTIONS);
}

/// Guards against callers that find no listener while a daemon that is being stopped could serve them.
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_taken_as_long_as_earlier_requests_run() {
    let site = Site::start(Duration::from_secs(10));
    let mut running = site.connect().await;
    running.write_all(b"GET /slow HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    let drain = site.drain.clone();
    let stop = tokio::spawn(async move { drain.finish(pending()).await });
    sleep(HEADER_TIMEOUT).await;
    let text = exchange(&mut site.connect().await).await.to_lowercase();
    assert!(text.ends_with(ANSWER) && text.contains("connection: close"), "{text:?}");
    assert!(read_answer(&mut running).await.ends_with(ANSWER));
    timeout(ANSWER_TIMEOUT, stop).await.expect("the stop ends").expect("the task ends");
    assert!(TcpStream::connect(site.address).await.is_err(), "the listener is still open");
}

/// Callers that go on connecting do not delay a stop.
#[tokio::test(flavor = "multi_thread")]
async fn later_requests_do_not_delay_a_stop() {
    let site = Site::start(Duration::from_secs(10));
    let address = site.address;
    let callers = tokio::spawn(async move {
        while let Ok(mut stream) = TcpStream::connect(address).await {
            exchange(&mut stream).await;
        }
    });
    sleep(HEADER_TIMEOUT / 4).await;
    let stop = timeout(ANSWER_TIMEOUT, site.drain.finish(pending()));
    assert!(stop.await.is_ok(), "the stop does not end");
    timeout(ANSWER_TIMEOUT, callers).await.expect("the listener is closed").expect("the task ends");
}

/// Callers that go on using their kept connections do not delay a stop.
#[tokio::test(flavor = "multi_thread")]
async fn later_requests_on_kept_connections_do_not_delay_a_stop() {
    const INTERVAL: Duration = Duration::from_millis(100);

    let site = Site::start(Duration::from_secs(60));
    let mut streams = Vec::new();
    for _ in 0..50 {
        let mut stream = site.connect().await;
        assert!(exchange(&mut stream).await.ends_with(ANSWER));
        streams.push(stream);
    }
    let callers = tokio::spawn(async move {
        for mut stream in streams {
            exchange(&mut stream).await;
            sleep(INTERVAL).await;
        }
    });
    let stop = timeout(20 * INTERVAL, site.drain.finish(pending()));
    assert!(stop.await.is_ok(), "the stop waits for requests that came after its beginning");
    callers.abort();
}

/// Guards against LOST: a connection was closed by a time-out that its caller already knew to be raised.
#[tokio::test(flavor = "multi_thread")]
async fn raised_idle_timeout_that_the_caller_knows_first_closes_nothing() {
    const LAG: Duration = Duration::from_secs(2);

    let site = Site::start_with_lag(Duration::from_millis(300), LAG);
    let mut stream = site.connect().await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER));
    sleep(LAG - Duration::from_millis(300)).await;
    site.set_idle_timeout(Duration::from_secs(10));
    sleep(Duration::from_secs(1)).await;
    assert!(exchange(&mut stream).await.ends_with(ANSWER), "closed by the former time-out");
}

/// Guards against LOST: a connection whose answer had begun before the stop, and so could not announce it, was closed
/// behind that answer over the request that followed.
#[tokio::test(flavor = "multi_thread")]
async fn request_behind_an_answer_that_began_before_the_stop_is_answered() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /stream HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    let mut text = Vec::new();
    while !text.ends_with(b"first\r\n") {
        let mut buffer = [0; 1024];
        let count = stream.read(&mut buffer).await.expect("the stream goes on");
        assert!(count > 0, "{}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&buffer[..count]);
    }
    site.drain.stop.send_replace(Stage::Draining);
    while !text.ends_with(b"\r\n0\r\n\r\n") {
        let mut buffer = [0; 1024];
        let count = stream.read(&mut buffer).await.expect("the stream goes on");
        assert!(count > 0, "{}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&buffer[..count]);
    }
    assert!(!String::from_utf8_lossy(&text).to_lowercase().contains("connection: close"));
    sleep(Duration::from_millis(5)).await;
    let text = exchange(&mut stream).await.to_lowercase();
    assert!(text.ends_with(ANSWER) && text.contains("connection: close"), "{text:?}");
}

/// Guards against LOST: connections that had been idle for a moment were closed while earlier requests ran, over requests that
/// their callers were sending.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_served_and_closed_with_the_stop() {
    let site = Site::start(Duration::from_secs(10));
    let (mut idle, mut used) = (site.connect().await, site.connect().await);
    for stream in [&mut idle, &mut used] {
        assert!(exchange(stream).await.ends_with(ANSWER));
    }
    let mut running = site.connect().await;
    sleep(2 * NEXT_REQUEST_TIME).await;
    running.write_all(b"GET /slow HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    let drain = site.drain.clone();
    let stop = tokio::spawn(async move { drain.finish(pending()).await });
    let closed = timeout(2 * HEADER_TIMEOUT, wait_closed(&mut idle)).await;
    assert!(closed.is_err(), "the idle connection is closed although the daemon serves");
    let text = exchange(&mut used).await.to_lowercase();
    assert!(text.ends_with(ANSWER) && text.contains("connection: close"), "{text:?}");
    assert!(wait_ended(&mut used).await, "open behind an answer that announced the close");
    let text = exchange(&mut site.connect().await).await;
    assert!(text.ends_with(ANSWER), "a new connection is served: {text:?}");
    assert!(read_answer(&mut running).await.ends_with(ANSWER));
    timeout(ANSWER_TIMEOUT, stop).await.expect("the stop ends").expect("the task ends");
    let closed = timeout(HEADER_TIMEOUT, wait_closed(&mut idle)).await;
    assert!(closed.is_ok_and(|closed| closed), "the idle connection outlasts the stop");
}

/// Guards against refusals: callers went on using connections that had been idle for long to a daemon that was being stopped,
/// which refused them, and did not connect to another one.
#[tokio::test(flavor = "multi_thread")]
async fn long_idle_connections_are_closed_while_earlier_requests_run() {
    let site = Site::start(2 * LONG_IDLE_TIME);
    let mut idle = site.connect().await;
    assert!(exchange(&mut idle).await.ends_with(ANSWER));
    sleep(LONG_IDLE_TIME).await;
    let (mut used, mut running) = (site.connect().await, site.connect().await);
    assert!(exchange(&mut used).await.ends_with(ANSWER));
    running.write_all(b"GET /slow HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    let drain = site.drain.clone();
    let stop = tokio::spawn(async move { drain.finish(pending()).await });
    let closed = timeout(2 * HEADER_TIMEOUT, wait_closed(&mut idle)).await;
    assert!(closed.is_ok_and(|closed| closed), "the connection that has been idle for long is open");
    assert!(!stop.is_finished(), "the stop has ended before the connection was looked at");
    let text = exchange(&mut used).await.to_lowercase();
    assert!(text.ends_with(ANSWER) && text.contains("connection: close"), "{text:?}");
    assert!(read_answer(&mut running).await.ends_with(ANSWER));
    timeout(ANSWER_TIMEOUT, stop).await.expect("the stop ends").expect("the task ends");
}

/// Guards against answers cut at what the socket's buffer holds: the HTTP library ended before it had sent an answer to a
/// request whose body was still arriving.
#[tokio::test(flavor = "multi_thread")]
async fn large_answer_before_the_end_of_a_body_is_whole() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    let head = "POST /large HTTP/1.1\r\nHost: site\r\nContent-Length: 2000\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).await.expect("the connection is open");
    sleep(HEADER_TIMEOUT).await;
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER), "cut after {} bytes", text.len());
}

/// Reads until the connection ends, and returns what came and whether the end was orderly.
async fn read_to_end(stream: &mut TcpStream) -> (String, bool) {
    let mut text = Vec::new();
    let ended = timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut text)).await;
    (String::from_utf8_lossy(&text).into_owned(), matches!(ended, Ok(Ok(_))))
}

/// Guards against refusals lost in a reset: the connection was closed at once, over what the caller went on to send.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_head_is_followed_by_no_reset() {
    let site = Site::start(Duration::from_secs(10));
    let large = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(1_000_000));
    let malformed = format!("{}\r\n\r\n{}", "x".repeat(1_000), "x".repeat(1_000_000));
    for (request, status) in [(large, "431"), (malformed, "400")] {
        let mut stream = site.connect().await;
        let written = stream.write_all(request.as_bytes()).await;
        let (text, is_orderly) = read_to_end(&mut stream).await;
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {text:?}");
        assert!(written.is_ok() && is_orderly, "{status}: written {written:?}, end in order: {is_orderly}");
    }
}

/// Guards against a 408 lost in a reset: the connection was closed at once although its caller was sending.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_is_sending_its_head_sees_that_it_timed_out() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET / HTTP/1.1\r\nx-slow: ").await.expect("the connection is open");
    for _ in 0..40 {
        let written = stream.write_all(b"x").await;
        assert!(written.is_ok(), "{written:?}");
        sleep(HEADER_TIMEOUT / 20).await;
    }
    let (text, is_orderly) = read_to_end(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 408") && is_orderly, "{text:?}, end in order: {is_orderly}");
}

/// Guards against a largest head that was fixed when the connection was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn largest_head_that_is_changed_holds_for_open_connections() {
    const SMALL: usize = 16 * 1024;

    let site = Site::start(Duration::from_secs(10));
    let large = format!("GET / HTTP/1.1\r\nHost: site\r\nx-long: {}\r\n\r\n", "x".repeat(2 * SMALL));
    for (former, bytes, status) in [(SMALL, 4 * SMALL, "200"), (4 * SMALL, SMALL, "431")] {
        for chunk_bytes in [large.len(), 1_000, large.len() - 1] {
            site.limits.lock().header_bytes = former;
            let mut stream = site.connect().await;
            assert!(exchange(&mut stream).await.ends_with(ANSWER));
            site.limits.lock().header_bytes = bytes;
            for chunk in large.as_bytes().chunks(chunk_bytes) {
                stream.write_all(chunk).await.expect("the connection is open");
                sleep(Duration::from_millis(1)).await;
            }
            let text = read_answer(&mut stream).await;
            assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{bytes}, {chunk_bytes} at once: {text:?}");
        }
    }
    assert_eq!(site.refusals.with_label_values(&["header-too-large", "not-run"]).get(), 3);
}

/// Guards against LOST: the body of a request whose head ends with a bare line feed counted as a head, whose time-out closed
/// the connection without a line while the request was running.
#[tokio::test(flavor = "multi_thread")]
async fn body_behind_a_head_with_bare_line_feeds_is_no_head() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    let head = b"POST /slow HTTP/1.1\nHost: site\nContent-Length: 10\n\n";
    stream.write_all(head).await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    stream.write_all(b"first").await.expect("the connection is open");
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER), "{text:?}");
}

/// Guards against request smuggling: a head with bare line feeds, or behind an empty line, was not examined for both a length
/// and chunks.
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framing_is_detected_in_any_head_that_is_accepted() {
    const FIELDS: &str = "Host: site\nContent-Length: 3\nTransfer-Encoding: chunked";

    let site = Site::start(Duration::from_secs(10));
    for (before, line_end) in [("", "\r\n"), ("", "\n"), ("\r\n", "\r\n"), ("\r\n\r\n", "\r\n"), ("\n\n", "\n")] {
        let head =
            format!("{before}POST /framing HTTP/1.1\n{FIELDS}\n\n").replace("\r\n", "\n").replace('\n', line_end);
        let mut stream = site.connect().await;
        stream.write_all(format!("{head}0\r\n\r\n").as_bytes()).await.expect("the connection is open");
        let text = read_answer(&mut stream).await;
        assert!(text.ends_with("ambiguous: true, done"), "{head:?}: {text:?}");
    }
}

/// Guards against answers that are cut by the time-out for heads: it counted while the answer before the head was being written.
#[tokio::test(flavor = "multi_thread")]
async fn head_behind_an_answer_that_is_being_written_does_not_time_out() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    sleep(HEADER_TIMEOUT / 4).await;
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    stream.write_all(first).await.expect("the connection is open");
    sleep(3 * HEADER_TIMEOUT).await;
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER), "cut after {} bytes", text.len());
    stream.write_all(rest).await.expect("the connection is open");
    let text = read_answer(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(ANSWER), "{text:?}");
}

/// Guards against LOST: a connection that ended with an error in an answer was in no count, as its request no longer ran.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_breaks_is_counted() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /broken HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    read_to_end(&mut stream).await;
    assert_eq!(site.closes.with_label_values(&["broken"]).get(), 1);
}

/// Guards against LOST: what had been handed to the HTTP library was lost with the error that followed at once.
#[tokio::test(flavor = "multi_thread")]
async fn part_before_an_error_is_delivered() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /broken HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    let (text, _) = read_to_end(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("first\r\n"), "{text:?}");
}

/// Guards against LOST: the idle time counted from when the last part of an answer was handed to the HTTP library, so that
/// the connection of a caller that took longer to read it was closed behind it.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_idle_from_the_delivery_of_its_answer_on() {
    let site = Site::start(Duration::from_millis(300));
    let mut stream = site.connect().await;
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: site\r\n\r\n").await.expect("the connection is open");
    sleep(3 * IDLE_GRACE).await;
    let text = read_answer(&mut stream).await;
    assert!(text.ends_with(ANSWER), "cut after {} bytes", text.len());
    sleep(Duration::from_millis(100)).await;
    let text = exchange(&mut stream).await;
    assert!(text.ends_with(ANSWER), "the connection was closed: {text:?}");
}

/// Guards against bodies that are sent for nothing: a request that was refused by its head got 100 first.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_answered_by_its_head_is_not_asked_for_its_body() {
    let site = Site::start(Duration::from_secs(10));
    let head =
        |path| format!("POST {path} HTTP/1.1\r\nHost: site\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    let mut stream = site.connect().await;
    stream.write_all(head("/order").as_bytes()).await.expect("the connection is open");
    let text = read_answer(&mut stream).await.to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text:?}");

    let mut stream = site.connect().await;
    stream.write_all(head("/read").as_bytes()).await.expect("the connection is open");
    let mut buffer = [0; 1024];
    let count = stream.read(&mut buffer).await.expect("the connection is open");
    assert_eq!(&buffer[..count], b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"12345").await.expect("the connection is open");
    let text = read_answer(&mut stream).await.to_lowercase();
    assert!(text.starts_with("http/1.1 200") && !text.contains("connection: close"), "{text:?}");
}

/// Guards against LOST: a body that broke while it was read counted as read to its end, so that its answer did not say that
/// the connection ended.
#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_body_that_breaks_says_that_the_connection_ends() {
    let site = Site::start(Duration::from_secs(10));
    let mut stream = site.connect().await;
    let request = b"POST /read HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n";
    stream.write_all(request).await.expect("the connection is open");
    let text = read_answer(&mut stream).await.to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text:?}");
}

/// Guards against LOST: an answer that was written after its caller had gone left no trace, so that the daemon counted more
/// refusals than its callers.
#[tokio::test]
async fn answer_whose_caller_has_gone_is_counted() {
    let site = Site::start(Duration::from_secs(10));
    let address = site.address;
    let caller = thread::spawn(move || {
        let mut stream = StdTcpStream::connect(address).expect("the listener accepts");
        stream.write_all(b"GET /blocking HTTP/1.1\r\nHost: site\r\n\r\n").expect("the connection is open");
        thread::sleep(HEADER_TIMEOUT / 2);
    });
    while !caller.is_finished() {
        sleep(HEADER_TIMEOUT / 4).await;
    }
    sleep(HEADER_TIMEOUT).await;
    assert_eq!(site.unanswered.with_label_values(&["caller-gone"]).get(), 1);
}

/// Guards against LOST: a request that crossed the close of its idle connection got a reset, neither an answer nor a refusal. The
/// runtime has one thread, so that the close comes before the request.
#[tokio::test]
async fn request_that_crosses_the_close_is_refused() {
    for is_stop in [true, false] {
        let site = Site::start(if is_stop { Duration::from_secs(10) } else { HEADER_TIMEOUT });
        let mut stream = site.connect().await;
        assert!(exchange(&mut stream).await.ends_with(ANSWER));
        if is_stop {
            site.drain.stop.send_replace(Stage::Ending);
        }
        let mut text = vec![0; 1024];
        let count = timeout(ANSWER_TIMEOUT, stream.read(&mut text)).await.expect("the connection ends");
        let text = String::from_utf8_lossy(&text[..count.expect("a notice of the close")]).to_lowercase();
        assert!(text.starts_with("http/1.1 408") && text.contains("connection: close"), "{text:?}");
        assert!(text.contains("not-run"), "{text:?}");
        stream.write_all(REQUEST).await.expect("the caller's side is open");
        assert!(wait_ended(&mut stream).await, "the connection stays open");
        sleep(HEADER_TIMEOUT).await;
        let refused = site.refusals.with_label_values(&["connection-closing", "not-run"]).get();
        assert_eq!((refused, site.unanswered.with_label_values(&["unread"]).get()), (1, 0), "stop: {is_stop}");
    }
}
