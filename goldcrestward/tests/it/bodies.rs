//! Callers that stop in the middle of a body.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::support::{KEY, RawReply, TestSite, eventually};

/// Callers that stop.
const STOPPED: usize = 80;
/// Size that they state.
const BODY_BYTES: usize = 8 * 1024 * 1024;
/// What they send of it.
const SENT_BYTES: usize = 7 * 1024 * 1024;
/// Size of the requests beside them.
const SOUND_BYTES: [usize; 3] = [100, 32 * 1024, 1024 * 1024];
const SOUND: usize = 20;
/// Largest memory of the daemon, in MB.
const MAX_MEMORY_MB: u64 = 256;
/// Time for an answer to a request beside them.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time by which a body must have been sent, and a margin.
const STOPPED_PATIENCE: Duration = Duration::from_secs(36);

/// Sends a part of a body and reads what comes then.
async fn stop_halfway(daemon: SocketAddr, number: usize) -> String {
    let head = format!(
        "POST /orders/confirm HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: stopped-{number}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    let Ok(stream) = TcpStream::connect(daemon).await else { return String::new() };
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        let piece = vec![b'x'; 64 * 1024];
        writer.write_all(head.as_bytes()).await?;
        for _ in 0..SENT_BYTES / piece.len() {
            writer.write_all(&piece).await?;
        }
        std::io::Result::Ok(writer)
    });
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    let reading = async {
        while let Ok(count @ 1..) = reader.read(&mut buffer).await {
            bytes.extend_from_slice(&buffer[..count]);
            if bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                return;
            }
        }
    };
    timeout(STOPPED_PATIENCE, reading).await.ok();
    writing.abort();
    String::from_utf8_lossy(&bytes).to_lowercase()
}

// Guards against bodies of callers' requests whose sum nobody limits, so that a daemon runs out of memory, and against a
// limit that keeps the requests of other callers out or is not given back.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_leave_memory_bounded_and_let_others_through() {
    let site = TestSite::start(1, 0).await;
    let daemon = site.daemons[0].callers;
    let mut stopped = JoinSet::new();
    for number in 0..STOPPED {
        stopped.spawn(stop_halfway(daemon, number));
    }
    sleep(Duration::from_secs(2)).await;
    let mut served = 0;
    for number in 0..SOUND {
        let body = "s".repeat(SOUND_BYTES[number % SOUND_BYTES.len()]);
        // Every second request is one of a route whose requests may be repeated.
        let (path, line) = match number % 2 {
            0 => (format!("/orders/sound-{number}"), String::new()),
            _ => ("/orders/confirm".to_owned(), format!("idempotency-key: sound-{number}\r\n")),
        };
        let reply = timeout(PATIENCE, RawReply::post(daemon, &path, &line, &body)).await.unwrap_or_default();
        served += usize::from(reply.status == 200 && reply.complete);
        if reply.status != 200 {
            println!("sound {number}, {} bytes: {} {}", body.len(), reply.status, reply.body);
        }
    }
    let answers = stopped.join_all().await;
    let peak = site.daemons[0].peak_memory_mb();
    let full = |head: &&String| head.starts_with("http/1.1 503") && head.contains("x-refusal: no-memory");
    let given_up = answers.iter().filter(full).count();
    let promised = answers.iter().filter(full).filter(|head| head.contains("retry-after: ")).count();
    let safe = answers.iter().filter(full).filter(|head| head.contains("x-run-state: not-run")).count();
    let late = answers.iter().filter(|head| head.starts_with("http/1.1 408")).count();
    println!("{peak} MB, {served} of {SOUND} served, {given_up} of {STOPPED} given up, {late} too late");
    assert!(peak <= MAX_MEMORY_MB, "the daemon took {peak} MB of {MAX_MEMORY_MB}");
    assert_eq!(served, SOUND);
    assert_eq!(given_up + late, STOPPED, "each stopped request is answered");
    assert!(given_up > 0, "some do not fit");
    assert_eq!((promised, safe), (given_up, given_up), "they have not run, and say when to come back");
    assert!(site.counter("refusals_total", "reason=\"no-memory\"").await >= given_up as f64);
    assert!(site.daemons[0].log().contains("event=body-given-up"));
    let freed = || async { (site.counter("request_body_bytes", "").await < 1.0).then_some(()) };
    eventually("all bytes are given back", freed).await;
}
