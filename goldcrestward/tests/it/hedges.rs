//! Lookups that are also sent to a second back end, as the first is silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::support::{KEY, RawBackEnd, RawEnd, TestSite, eventually};

/// Lookups, one after the other.
const LOOKUPS: usize = 60;
/// Failures in a row after which a back end gets no requests for a time.
const EJECT_FAILURES: usize = 3;
/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

async fn look_up(daemon: SocketAddr, number: usize) -> String {
    let mut stream = TcpStream::connect(daemon).await.expect("the daemon accepts connections");
    let head = format!(
        "GET /orders/lookup/{number} HTTP/1.1\r\nHost: {daemon}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the daemon reads the head");
    let mut answer = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut answer)).await.ok();
    answer
}

/// Guards against a silent back end that looks sound: the answers of the second one counted for the first, which went on
/// getting requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_back_end_of_hedged_lookups_is_ejected() {
    known_red::report!();
    let site = TestSite::start(1, 0).await;
    let got = Arc::new(AtomicUsize::new(0));
    let count = got.clone();
    let silent = RawBackEnd::start(move |_, _| {
        count.fetch_add(1, Ordering::Relaxed);
        (Vec::new(), RawEnd::Keep)
    })
    .await;
    site.register_service(silent.address, "orders-silent");
    let daemon = site.daemons[0].callers;
    let answered = AtomicUsize::new(0);
    let sent = AtomicUsize::new(0);
    let look_up = || async {
        let answer = look_up(daemon, sent.fetch_add(1, Ordering::Relaxed)).await;
        answered.fetch_add(usize::from(answer.starts_with("HTTP/1.1 200 ")), Ordering::Relaxed);
        (got.load(Ordering::Relaxed) > 0).then_some(())
    };
    eventually("the silent back end gets a lookup", look_up).await;
    for _ in 0..LOOKUPS {
        look_up().await;
    }
    let (got, answered, sent) =
        (got.load(Ordering::Relaxed), answered.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    println!("{answered} of {sent} answered, {got} sent to the silent back end");
    assert!(got <= EJECT_FAILURES, "{got} of {sent} lookups went to the silent back end, {answered} were answered");
    assert_eq!(answered, sent, "{got} went to the silent back end");
}
