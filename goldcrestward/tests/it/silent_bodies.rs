//! Servers that fall silent after they have begun their answer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::support::{RawReply, TestSite, eventually, read_request};

/// Time of the longest silence in an answer: 30 s, and a second for the rest.
const SILENCE_LIMIT: Duration = Duration::from_secs(31);
/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_secs(45);
/// Silence of a sound server.
const PAUSE: Duration = Duration::from_millis(1_500);
const BODY: &str = "the first part, the rest";
const SENT: &str = "the first part, ";

/// Server that sends a part of its answer, and the rest after a pause or never. It stops when it is dropped.
struct PausingServer {
    address: SocketAddr,
    /// Connections whose other end is open.
    open: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl PausingServer {
    async fn start(status: &'static str, pause: Option<Duration>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let open = Arc::new(AtomicUsize::new(0));
        let (mut tasks, counted) = (JoinSet::new(), open.clone());
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let counted = counted.clone();
                connections.spawn(async move {
                    counted.fetch_add(1, Ordering::Relaxed);
                    answer(&mut stream, status, pause).await;
                    counted.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self { address, open, _tasks: tasks }
    }
}

async fn answer(stream: &mut TcpStream, status: &str, pause: Option<Duration>) {
    while let Some(request) = read_request(stream).await {
        let mut lines = request.lines().filter_map(|line| line.split_once(':'));
        let id = lines.find(|(field, _)| field.eq_ignore_ascii_case("x-request-id")).map_or("", |(_, id)| id.trim());
        let head = format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n", BODY.len());
        if stream.write_all(format!("{head}{SENT}").as_bytes()).await.is_err() {
            return;
        }
        if let Some(pause) = pause {
            sleep(pause).await;
            stream.write_all(&BODY.as_bytes()[SENT.len()..]).await.ok();
        }
    }
}

/// A site of one daemon whose pool has these back ends.
pub(super) async fn start_site(pool: &str, addresses: &[SocketAddr]) -> TestSite {
    let mut site = TestSite::start(1, 0).await;
    site.services.iter().for_each(standin::service::Service::kill);
    site.services.clear();
    for (number, address) in addresses.iter().enumerate() {
        site.register_back_end(pool, *address, &format!("pausing-{number}"));
    }
    let listed = || async {
        let value = site.daemons[0].get("/admin/requests").await?;
        value.to_string().contains(&format!("pausing-{}", addresses.len() - 1)).then_some(())
    };
    eventually("the daemon lists the back ends", listed).await;
    site
}

async fn ask_model(site: &TestSite, number: usize) -> Option<RawReply> {
    let body = format!("{{\"model\":\"meal-planner\",\"stream\":true,\"prompt\":\"bread {number}\"}}");
    let lines = "content-type: application/json\r\n";
    timeout(PATIENCE, RawReply::post(site.daemons[0].callers, "/v1/completions", lines, &body)).await.ok()
}

async fn ask_orders(site: &TestSite) -> Option<RawReply> {
    timeout(PATIENCE, RawReply::post(site.daemons[0].callers, "/orders/bread", "", "two loaves")).await.ok()
}

// Guards against an answer that is passed on and never ends, with its place and its connection kept, when its server
// falls silent.
#[tokio::test(flavor = "multi_thread")]
async fn body_of_silent_server_breaks_off() {
    let server = PausingServer::start("200 OK", None).await;
    let site = start_site("orders", &[server.address]).await;
    let start = Instant::now();
    let reply = ask_orders(&site).await.expect("the answer ends");
    let elapsed = start.elapsed();
    assert_eq!((reply.status, &*reply.body, reply.complete), (200, SENT, false));
    assert!(elapsed <= SILENCE_LIMIT, "the answer ended after {elapsed:?}");
    let closed = || async { (server.open.load(Ordering::Relaxed) == 0).then_some(()) };
    eventually("the connection to the server is closed", closed).await;
    assert!(site.counter("cut_answers_total", "").await >= 1.0);
    assert!(site.daemons[0].log().contains("event=body-silent"));
}

// Guards against a limit on silence that cuts off a sound server that pauses and goes on.
#[tokio::test(flavor = "multi_thread")]
async fn body_of_pausing_server_is_passed_on_whole() {
    let server = PausingServer::start("200 OK", Some(PAUSE)).await;
    let site = start_site("orders", &[server.address]).await;
    let reply = ask_orders(&site).await.expect("the answer ends");
    assert_eq!((reply.status, &*reply.body, reply.complete), (200, BODY, true));
}

// Guards against an engine's 4xx to a streaming request that never ends: the request goes on at another engine.
#[tokio::test(flavor = "multi_thread")]
async fn client_error_of_silent_engine_goes_elsewhere() {
    let silent = PausingServer::start("400 Bad Request", None).await;
    let sound = PausingServer::start("400 Bad Request", Some(PAUSE)).await;
    let site = start_site("models", &[silent.address, sound.address]).await;
    let start = Instant::now();
    let asked = (0..8).map(|number| ask_model(&site, number));
    let replies = futures_util::future::join_all(asked).await;
    let elapsed = start.elapsed();
    let whole =
        replies.iter().flatten().filter(|reply| (reply.status, &*reply.body, reply.complete) == (400, BODY, true));
    assert_eq!(whole.count(), replies.len(), "{replies:?}");
    assert!(elapsed > SILENCE_LIMIT - Duration::from_secs(2), "no request met the silent engine: {elapsed:?}");
    let closed = || async { (silent.open.load(Ordering::Relaxed) == 0).then_some(()) };
    eventually("the connections to the silent engine are closed", closed).await;
}

// Guards against a bound on an engine's 4xx that spoils one which comes in pieces.
#[tokio::test(flavor = "multi_thread")]
async fn client_error_of_pausing_engine_is_passed_on_whole() {
    let server = PausingServer::start("400 Bad Request", Some(PAUSE)).await;
    let site = start_site("models", &[server.address]).await;
    let reply = ask_model(&site, 0).await.expect("the answer ends");
    assert_eq!((reply.status, &*reply.body, reply.complete), (400, BODY, true));
}
