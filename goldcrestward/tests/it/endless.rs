//! Back ends that send bytes without end instead of an answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use standin::endless::{EndlessAnswer, EndlessKind, EndlessServer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    task::JoinSet,
    time::timeout,
};

use super::support::{KEY, TestSite, eventually};

/// Back ends of the pool.
const BACK_ENDS: usize = 4;
/// Largest memory of a daemon, in MB.
const MAX_MEMORY_MB: u64 = 256;
/// Requests at once, half of which are answered without end.
const CALLERS: usize = 200;
/// Requests beside three back ends out of four that send without end.
const SOUND_REQUESTS: usize = 120;
const SOUND_AT_ONCE: usize = 12;
/// Time that a sound back end takes.
const WORK: Duration = Duration::from_millis(20);
/// Time within which 99 of 100 sound requests are answered, whatever the other back ends send.
const SOUND_LATENCY: Duration = Duration::from_millis(500);
/// Time within which a request goes on elsewhere if its engine sends only comments; an engine counts as idle after 30 s.
const IDLE_PATIENCE: Duration = Duration::from_secs(40);
/// Time for which a caller waits. The routes allow more.
const PATIENCE: Duration = Duration::from_secs(8);

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Repeatable,
    /// May not be repeated.
    Keyed,
    Stream,
    /// A model's answer in one piece.
    Completion,
}

impl Call {
    fn pool(self) -> &'static str {
        if matches!(self, Self::Stream | Self::Completion) { "models" } else { "orders" }
    }

    fn text(self, name: &str, mark: &str) -> String {
        let (path, line, body) = match self {
            Self::Repeatable => (format!("/orders/{name}"), String::new(), mark.to_owned()),
            Self::Keyed => ("/orders/confirm".to_owned(), format!("idempotency-key: {name}\r\n"), mark.to_owned()),
            Self::Stream | Self::Completion => {
                let stream = self == Self::Stream;
                let body = format!("{{\"model\":\"meal-planner\",\"stream\":{stream},\"prompt\":\"{name} {mark}\"}}");
                ("/v1/completions".to_owned(), "content-type: application/json\r\n".to_owned(), body)
            }
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
             content-length: {}\r\n{line}\r\n{body}",
            body.len()
        )
    }
}

fn header<'a>(request: &'a str, name: &str) -> &'a str {
    let mut lines = request.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(field, _)| field.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value.trim())
}

/// Lines of a head that let an answer count.
fn fields(request: &str) -> String {
    format!("X-Request-Id: {}\r\n", header(request, "x-request-id"))
}

fn whole(request: &str) -> EndlessAnswer {
    let (id, attempt) = (header(request, "x-request-id"), header(request, "x-attempt"));
    let body = if request.contains("\"stream\":true") {
        format!("data: {{\"id\":\"{id}\",\"attempt\":{attempt},\"token_index\":0}}\n\ndata: [DONE]\n\n")
    } else {
        "{\"text\":\"done\"}".to_owned()
    };
    let head = format!("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}", fields(request), body.len());
    EndlessAnswer::Whole(head.into_bytes(), WORK)
}

/// A site of one daemon whose pool has these back ends.
async fn start_site(pool: &str, back_ends: &[EndlessServer]) -> TestSite {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    for (number, back_end) in back_ends.iter().enumerate() {
        site.register_back_end(pool, back_end.address, &format!("endless-{number}"));
    }
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains(&format!("endless-{}", back_ends.len() - 1)).then_some(())
    };
    eventually("the daemon lists the back ends", listed).await;
    site
}

/// Sends requests; returns the status of each answer, or 0, and how long it took to end.
async fn send(site: &TestSite, call: Call, name: &str, count: usize, at_once: usize) -> Vec<(u16, Duration)> {
    send_for(PATIENCE, site, call, name, count, at_once).await
}

async fn send_for(
    patience: Duration,
    site: &TestSite,
    call: Call,
    name: &str,
    count: usize,
    at_once: usize,
) -> Vec<(u16, Duration)> {
    let (mut requests, permits) = (JoinSet::new(), Arc::new(Semaphore::new(at_once)));
    for number in 0..count {
        let (daemon, permits) = (site.daemons[0].callers, permits.clone());
        let text = call.text(&format!("{name}-{number}"), if number.is_multiple_of(2) { "sound" } else { "faulty" });
        requests.spawn(async move {
            let _permit = permits.acquire().await.expect("the semaphore is open");
            let (start, mut status) = (Instant::now(), 0);
            timeout(patience, read_status(daemon, &text, &mut status)).await.ok();
            (status, start.elapsed())
        });
    }
    requests.join_all().await
}

async fn read_status(daemon: std::net::SocketAddr, text: &str, status: &mut u16) {
    let Ok(mut stream) = TcpStream::connect(daemon).await else { return };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        if *status == 0 {
            let line = String::from_utf8_lossy(&buffer[..count.min(64)]).into_owned();
            *status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        }
    }
}

async fn check_memory(cases: &[(Call, EndlessKind)]) {
    for (call, kind) in cases {
        let back_ends = [(); BACK_ENDS].map(|()| {
            let kind = *kind;
            EndlessServer::start(move |request| {
                if request.contains("faulty") { EndlessAnswer::Endless(kind, fields(request)) } else { whole(request) }
            })
        });
        let mut site = start_site(call.pool(), &back_ends).await;
        send(&site, *call, &format!("{call:?}-{kind:?}"), CALLERS, CALLERS).await;
        assert_eq!(site.daemons[0].exit_status(), None, "{call:?} with {kind:?}: the daemon has ended");
        let peak = site.daemons[0].peak_memory_mb();
        println!("{call:?} with {kind:?}: {peak} MB");
        assert!(peak <= MAX_MEMORY_MB, "{call:?} with {kind:?}: the daemon took {peak} MB of {MAX_MEMORY_MB}");
    }
}

// Guards against a daemon of the own interface that keeps answers without end and runs out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_leave_memory_bounded() {
    check_memory(&[
        (Call::Completion, EndlessKind::Chunks),
        (Call::Completion, EndlessKind::ErrorBody),
        (Call::Stream, EndlessKind::EventLine),
        (Call::Keyed, EndlessKind::Chunks),
        (Call::Repeatable, EndlessKind::Chunks),
    ])
    .await;
}

// Guards against interim heads without end that take a daemon's time, so that sound requests get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads_delay_no_sound_answer() {
    let mut back_ends: Vec<_> = (1..BACK_ENDS)
        .map(|_| EndlessServer::start(|request| EndlessAnswer::Endless(EndlessKind::InterimHeads, fields(request))))
        .collect();
    back_ends.push(EndlessServer::start(whole));
    let site = start_site(Call::Repeatable.pool(), &back_ends).await;
    let answers = send(&site, Call::Repeatable, "interim", SOUND_REQUESTS, SOUND_AT_ONCE).await;
    let unanswered = answers.iter().filter(|(status, _)| *status == 0).count();
    assert_eq!(unanswered, 0, "of {SOUND_REQUESTS} requests so many got no answer");
    let times: Vec<_> = answers.iter().filter(|(status, _)| *status == 200).map(|(_, time)| *time).collect();
    let slow = times.iter().filter(|time| **time > SOUND_LATENCY).count();
    assert!(times.len() >= SOUND_REQUESTS / 2, "{} of {SOUND_REQUESTS} requests were served", times.len());
    assert!(slow <= times.len() / 100, "{slow} of {} took longer than {SOUND_LATENCY:?}", times.len());
}

// Guards against comments that keep the stream of an idle engine open for ever.
#[tokio::test(flavor = "multi_thread")]
async fn endless_comments_end_like_a_silent_engine() {
    let back_ends = [
        EndlessServer::start(|request| EndlessAnswer::Endless(EndlessKind::Comments, fields(request))),
        EndlessServer::start(whole),
    ];
    let site = start_site(Call::Stream.pool(), &back_ends).await;
    let answers = send_for(IDLE_PATIENCE, &site, Call::Stream, "comments", 8, 8).await;
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert!(answers.iter().any(|(_, time)| *time > PATIENCE), "no request met the engine without events: {answers:?}");
}
