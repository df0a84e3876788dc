//! Back ends that answer before they have read a request, or with what is no answer at all.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    silent_bodies::start_site,
    support::{KEY, RawBackEnd, RawEnd, RawReply, TestSite},
};

/// One body that is kept before it is sent, and one that is sent while it is read, both beyond the buffers on the way.
const BODY_BYTES: [usize; 2] = [200 * 1024, 6 * 1024 * 1024];
const PART: &str = "the first part";
const REQUESTS: usize = 4;
/// Time for an answer.
const PATIENCE: Duration = Duration::from_secs(40);

/// Sends a request and reads what comes meanwhile, as a back end may answer before it has read the body.
async fn upload(daemon: SocketAddr, path: &str, key: &str, body: &str) -> RawReply {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         content-length: {}\r\nidempotency-key: {key}\r\n\r\n",
        body.len()
    );
    let stream = TcpStream::connect(daemon).await.expect("the daemon takes connections");
    let (mut reader, mut writer) = stream.into_split();
    let text = head + body;
    let writing = tokio::spawn(async move {
        writer.write_all(text.as_bytes()).await.ok();
        writer
    });
    let mut bytes = Vec::new();
    // What was read before a reset counts.
    timeout(PATIENCE, reader.read_to_end(&mut bytes)).await.expect("the request ends").ok();
    writing.abort();
    RawReply::parse(&String::from_utf8_lossy(&bytes)).unwrap_or_default()
}

async fn upload_all(site: &TestSite, name: &str, bytes: usize) -> Vec<(String, String, RawReply)> {
    let mut replies = Vec::new();
    for path in ["/orders/bread", "/orders/confirm"] {
        for number in 0..REQUESTS {
            let key = format!("{name}-{}-{bytes}-{number}", path.len());
            let reply = upload(site.daemons[0].callers, path, &key, &"x".repeat(bytes)).await;
            let name = format!("{path}, {key}");
            replies.push((key, name, reply));
        }
    }
    replies
}

// Guards against MIXED: a back end answered an upload at once, without a length, and reset the connection while the upload
// was still being written, and the caller got the part as a whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_is_reset_is_not_whole() {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{PART}");
    let seen = Arc::new(Mutex::new(String::new()));
    let heads = seen.clone();
    let script = move |request: &str, _| {
        heads.lock().push_str(request.split("\r\n\r\n").next().unwrap_or_default());
        (answer.clone().into_bytes(), RawEnd::Reset)
    };
    let back_end = RawBackEnd::start_early(script).await;
    let site = start_site("orders", &[back_end.address]).await;
    for bytes in BODY_BYTES {
        for (key, name, reply) in upload_all(&site, "early", bytes).await {
            assert!(!(reply.status / 100 == 2 && reply.complete), "{name}: a partial answer looks whole: {reply:?}");
            let was_sent = seen.lock().contains(&key);
            let is_not_run = reply.header("x-run-state") == "not-run";
            assert!(!(is_not_run && was_sent), "{name}: a false refusal: {reply:?}: {}", site.daemons[0].log());
        }
    }
}

// Guards against MIXED: an answer whose status is no status was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_a_valid_status_is_not_passed_on() {
    for status in ["000", "000 OK", "099 OK", "0200 OK", "20 OK", "2OO OK", "-200 OK", "1000 OK"] {
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{PART}", PART.len());
        let back_end = RawBackEnd::start(move |_, _| (answer.clone().into_bytes(), RawEnd::Close)).await;
        let site = start_site("orders", &[back_end.address]).await;
        for (_, name, reply) in upload_all(&site, "status", 100).await {
            assert!(reply.complete && reply.status >= 500, "{status}, {name}: {reply:?}");
            assert!(!reply.body.contains(PART), "{status}, {name}: {reply:?}");
            assert_ne!(reply.header("x-run-state"), "not-run", "{status}, {name}: {reply:?}");
        }
    }
}
