//! Lookups that are also sent to a second back end, as the first is silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::support::{KEY, RawBackEnd, RawEnd, TestSite, eventually, read_request};

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

/// Time for which a sound back end is silent now and then.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Time after which a back end that is silent for good has failed.
const SILENCE: Duration = Duration::from_millis(2_500);
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nConnection: close\r\n\r\nhalf";

/// What a back end does with a request.
enum Step {
    /// Answers after a time.
    Answer(Duration),
    /// Sends half of an answer, and the rest after a time.
    Half(Duration),
    Silent,
}

/// Starts a back end that does what `script` says.
async fn start_back_end(script: impl Fn() -> Step + Send + Sync + 'static) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let (script, mut tasks) = (Arc::new(script), JoinSet::new());
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            connections.spawn(async move { answer(stream, &*script).await });
        }
    });
    (address, tasks)
}

async fn answer(mut stream: TcpStream, script: &(impl Fn() -> Step + Send + Sync)) {
    if read_request(&mut stream).await.is_none() {
        return;
    }
    match script() {
        Step::Answer(delay) => {
            sleep(delay).await;
            stream.write_all(WHOLE.as_bytes()).await.ok();
        }
        Step::Half(pause) => {
            stream.write_all(HALF.as_bytes()).await.ok();
            sleep(pause).await;
            stream.write_all(b"half").await.ok();
        }
        Step::Silent => while stream.read(&mut [0; 64]).await.is_ok_and(|count| count > 0) {},
    }
}

/// A site of one daemon with these back ends, whose ids are their numbers.
async fn start_site(back_ends: &[SocketAddr]) -> TestSite {
    let mut site = TestSite::start(1, 0).await;
    site.remove_services();
    for (number, address) in back_ends.iter().enumerate() {
        site.register_service(*address, &format!("scripted-{number}"));
    }
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        let rows = value["replicas"].as_array()?;
        let is_scripted = |row: &Value| row["replica"].as_str().is_some_and(|id| id.starts_with("scripted"));
        (rows.len() == back_ends.len() && rows.iter().all(is_scripted)).then_some(())
    };
    eventually("the daemon lists the scripted back ends alone", listed).await;
    site
}

/// Requests in flight at a back end, as the daemon counts them.
async fn in_flight(site: &TestSite, number: usize) -> Option<u64> {
    let value = site.daemons[0].get("/admin/requests").await?;
    let id = format!("scripted-{number}");
    value["replicas"].as_array()?.iter().find(|row| row["replica"] == *id)?["in_flight"].as_u64()
}

/// Guards against a back end that looks idle while it sends an answer: the answer of the second one held the place of the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_of_the_second_back_end_holds_its_place() {
    let first = Arc::new(AtomicUsize::new(usize::MAX));
    let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let first = first.clone();
        let script = move || {
            let taken = first.compare_exchange(usize::MAX, number, Ordering::Relaxed, Ordering::Relaxed);
            if taken.is_ok() { Step::Silent } else { Step::Half(PAUSE) }
        };
        let (address, back_end) = start_back_end(script).await;
        addresses.push(address);
        tasks.push(back_end);
    }
    let site = start_site(&addresses).await;
    let daemon = site.daemons[0].callers;
    let call = tokio::spawn(async move { look_up(daemon, 0).await });
    let is_begun = || async { (site.daemons[0].counter("retries_total", "hedged").await > 0.0).then_some(()) };
    eventually("the lookup is sent to a second back end", is_begun).await;
    sleep(PAUSE / 4).await;
    let second = 1 - first.load(Ordering::Relaxed);
    let held = in_flight(&site, second).await;
    let answer = call.await.expect("the caller ends");
    assert!(answer.ends_with("halfhalf"), "{answer:?}");
    assert_eq!(held, Some(1), "requests in flight at the back end that sends the answer");
    let released = || async { (in_flight(&site, second).await? == 0).then_some(()) };
    eventually("the place is given back", released).await;
    let given_up = || async { (in_flight(&site, 1 - second).await? == 0).then_some(()) };
    eventually("the place at the silent back end is given back", given_up).await;
}

/// Guards against a back end that is silent for good and goes on getting requests, as nobody waits for its answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overtaken_back_end_that_stays_silent_is_ejected() {
    let got = Arc::new(AtomicUsize::new(0));
    let count = got.clone();
    let silent = start_back_end(move || {
        count.fetch_add(1, Ordering::Relaxed);
        Step::Silent
    })
    .await;
    let sound = start_back_end(|| Step::Answer(Duration::ZERO)).await;
    let site = start_site(&[silent.0, sound.0]).await;
    let (daemon, mut sent) = (site.daemons[0].callers, 0);
    while got.load(Ordering::Relaxed) < EJECT_FAILURES {
        assert!(sent < 10 * LOOKUPS, "{} of {sent} lookups went to the silent back end", got.load(Ordering::Relaxed));
        look_up(daemon, sent).await;
        sent += 1;
        sleep(Duration::from_millis(50)).await;
    }
    sleep(SILENCE).await;
    let before = got.load(Ordering::Relaxed);
    for number in 0..LOOKUPS {
        let answer = look_up(daemon, sent + number).await;
        assert!(answer.ends_with("done"), "{answer:?}");
    }
    let after = got.load(Ordering::Relaxed);
    assert_eq!(after - before, 0, "lookups sent to the silent back end after {before} of {sent}");
}

/// Guards against sound back ends taken out of use: one that is silent for a second and goes on, or only answers later than
/// a second one, has not failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overtaken_back_end_that_answers_late_stays_in_use() {
    let got = Arc::new(AtomicUsize::new(0));
    let count = got.clone();
    let slow = start_back_end(move || {
        count.fetch_add(1, Ordering::Relaxed);
        Step::Answer(PAUSE)
    })
    .await;
    let sound = start_back_end(|| Step::Answer(Duration::ZERO)).await;
    let site = start_site(&[slow.0, sound.0]).await;
    let (daemon, mut sent) = (site.daemons[0].callers, 0);
    while got.load(Ordering::Relaxed) <= 2 * EJECT_FAILURES {
        let got = got.load(Ordering::Relaxed);
        assert!(sent < 10 * LOOKUPS, "the slow back end got {got} of {sent} lookups");
        let answer = look_up(daemon, sent).await;
        assert!(answer.ends_with("done"), "{answer:?}, {got} of {sent} went to the slow back end");
        sent += 1;
        sleep(Duration::from_millis(20)).await;
    }
}
