//! Brings a request to each step, lets events happen and collects what becomes of the requests.

use std::{sync::Arc, time::Duration};

use rustix::process::Signal;
use standin::{
    platform::{InstanceState, PlatformFaults},
    reserved_port::ReservedPort,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    back_end::{BackEnd, Script, Stage},
    caller::{Received, call},
    cell::{Cell, Kind, Step, cells},
    event::{CONFIG, Event, allowed},
    outcome::{Outcome, Row},
};
use crate::support::{TestSite, eventually};

const DRAIN_SECONDS: u64 = 8;
/// Call that has to be claimed before the owner is paused.
const UNREACHED_CALL: Cell = Cell { step: Step::Connecting, kind: Kind::Confirm };
/// Calls at steps that need the paused daemon to own their keys; it owns about half of all keys.
const CLAIMS: usize = 8;
/// Time for what has been sent to the daemon to be read.
const READ_TIME: Duration = Duration::from_millis(300);
/// Time from the answer whose outcome is being recorded to the event.
const RECORD_TIME: Duration = Duration::from_millis(100);
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Time from the event to the end of the holds.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Silence of a sound server.
const SILENCE: Duration = Duration::from_millis(1_900);
/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(2);
/// Time after which a connection on the own host has got no answer.
const NO_ANSWER: Duration = Duration::from_millis(60);

/// Server that takes connections only once it is released.
struct FarServer {
    _port: ReservedPort,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl FarServer {
    async fn start() -> Self {
        let port = ReservedPort::new().expect("a port is free");
        let listener = port.listen_with_backlog(0).expect("the port can be listened on");
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) = timeout(NO_ANSWER, TcpStream::connect(port.address())).await {
            waiting.push(stream);
        }
        Self { _port: port, listener, waiting }
    }
}

struct Steps {
    site: TestSite,
    script: Arc<Script>,
    servers: Vec<(&'static str, BackEnd)>,
    far: Vec<FarServer>,
    go: watch::Sender<bool>,
    calls: Vec<(Cell, String, JoinHandle<Received>)>,
}

/// Requests of all cells beside events, of which each comes shortly after the one before.
pub(super) async fn run(events: &[Event]) -> (Vec<Row>, String) {
    let mut steps = Steps::start(events.contains(&Event::LimitedStop)).await;
    steps.send_all().await;
    for (number, event) in events.iter().enumerate() {
        if number > 0 {
            sleep(EVENT_GAP).await;
        }
        steps.happen(*event).await;
    }
    steps.release(events).await;
    steps.collect(events).await
}

impl Steps {
    async fn start(is_limited: bool) -> Self {
        let mut site = TestSite::start_platform().await;
        site.drain_seconds = is_limited.then_some(DRAIN_SECONDS);
        let script = Script::new();
        for number in 0..2 {
            site.add_daemon(number, "north").await;
        }
        let mut servers = Vec::new();
        for pool in ["orders", "orders", "models", "models", "spare", "spare-models"] {
            let server = BackEnd::start(script.clone()).await;
            site.register_back_end(pool, server.address, &format!("{pool}-{}", server.address.port()));
            servers.push((pool, server));
        }
        let mut far = Vec::new();
        for pool in ["far", "far-models"] {
            let server = FarServer::start().await;
            let address = server.listener.local_addr().expect("the socket has an address");
            site.register_back_end(pool, address, &format!("{pool}-0"));
            far.push(server);
        }
        let response = site.propose(0, &[("10-site.yaml", Some(CONFIG))]).await;
        assert_eq!(response["result"], "accepted", "{response}");
        site.wait_until_serving().await;
        let (go, _) = watch::channel(false);
        let steps = Self { site, script, servers, far, go, calls: Vec::new() };
        steps.wait_listed(8).await;
        steps
    }

    async fn wait_listed(&self, count: usize) {
        for daemon in &self.site.daemons {
            let listed = || async {
                let value = daemon.get("/admin/requests").await?;
                (value["replicas"].as_array()?.len() >= count).then_some(())
            };
            eventually("the daemon lists the servers", listed).await;
        }
    }

    fn send(&mut self, cell: Cell, name: String) {
        let daemon = self.site.daemons[0].callers;
        let key = format!("key-{name}");
        let call = tokio::spawn(call(daemon, cell, name.clone(), key, self.go.subscribe()));
        self.calls.push((cell, name, call));
    }

    async fn wait_held(&self, names: &[String]) {
        let held = || async {
            let held = self.script.held.lock();
            names.iter().all(|name| held.contains(name)).then_some(())
        };
        eventually("the requests are at their steps", held).await;
    }

    /// Brings a request of each cell to its step.
    async fn send_all(&mut self) {
        let mut held = Vec::new();
        for cell in cells() {
            let names: Vec<String> = match cell.step {
                Step::Claim | Step::Connecting => continue,
                Step::Recording => (0..CLAIMS).map(|number| format!("{cell}{number}")).collect(),
                _ => vec![cell.to_string()],
            };
            for name in names {
                if !cell.is_unsent() {
                    held.push(name.clone());
                }
                self.send(cell, name);
            }
        }
        self.wait_held(&held).await;
        self.send(UNREACHED_CALL, UNREACHED_CALL.to_string());
        // Besides these, the connections of two steps have carried a first call.
        let claimed = |(cell, ..): &&(Cell, String, JoinHandle<Received>)| {
            cell.kind == Kind::Confirm && !matches!(cell.step, Step::Head | Step::Body | Step::Idle)
        };
        let claims = self.calls.iter().filter(claimed).count() + 2;
        let granted =
            || async { (self.site.daemons[0].counter("ledger_grants", "").await >= claims as f64).then_some(()) };
        eventually("the calls are claimed", granted).await;
        sleep(READ_TIME).await;
        self.site.daemons[1].signal(Signal::STOP);
        for cell in cells() {
            match cell.step {
                Step::Claim => (0..CLAIMS).for_each(|number| self.send(cell, format!("{cell}{number}"))),
                Step::Connecting if cell != UNREACHED_CALL => self.send(cell, cell.to_string()),
                _ => {}
            }
        }
        sleep(READ_TIME).await;
        self.script.set_stage(Stage::Recording);
        sleep(RECORD_TIME).await;
        // Calls whose claim is not held are at no step; on a busy machine they take longer than `READ_TIME`.
        self.calls.retain(|(cell, _, call)| cell.step != Step::Claim || !call.is_finished());
        assert!(self.calls.iter().any(|(cell, ..)| cell.step == Step::Claim), "the paused daemon owns no key");
    }

    async fn happen(&mut self, event: Event) {
        if let Some(config) = event.config() {
            let response = self.site.propose(0, &[("10-site.yaml", Some(&config))]).await;
            let revision = response["revision"].as_u64().unwrap_or_else(|| panic!("refused: {response}"));
            let in_force = || async { (self.site.daemons[0].revision().await? >= revision).then_some(()) };
            eventually("the revision is in force", in_force).await;
            return;
        }
        match event {
            Event::Hangup => self.site.daemons[0].signal(Signal::HUP),
            Event::Stop | Event::LimitedStop => self.site.daemons[0].signal(Signal::TERM),
            Event::OwnerStop => self.site.daemons[1].signal(Signal::TERM),
            Event::OwnerKill => self.site.daemons[1].kill(),
            Event::ServersLeaving => self.replace_servers(InstanceState::Leaving).await,
            Event::ServersGone => self.replace_servers(InstanceState::Gone).await,
            Event::ConnectionsReset => self.script.set_stage(Stage::Reset),
            Event::StoreAway => {
                self.site.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
            }
            _ => {}
        }
    }

    /// Lists new servers of the pools that are in use, and then the state of those that were.
    async fn replace_servers(&mut self, state: InstanceState) {
        for pool in ["orders", "orders", "models", "models", "far", "far-models"] {
            let server = BackEnd::start(self.script.clone()).await;
            self.site.register_back_end(pool, server.address, &format!("{pool}-{}", server.address.port()));
            self.servers.push((pool, server));
        }
        let listed = || async {
            let value = self.site.daemons[0].get("/admin/requests").await?;
            (value["replicas"].as_array()?.len() >= 14).then_some(())
        };
        eventually("the daemon lists the new servers", listed).await;
        for (pool, server) in &self.servers[..4] {
            let id = format!("{pool}-{}", server.address.port());
            self.site.set_back_end_state(pool, server.address, &id, state);
        }
        for (pool, server) in ["far", "far-models"].iter().zip(&self.far) {
            let address = server.listener.local_addr().expect("the socket has an address");
            self.site.set_back_end_state(pool, address, &format!("{pool}-0"), state);
        }
    }

    async fn release(&mut self, events: &[Event]) {
        sleep(HOLD_TIME).await;
        if !events.contains(&Event::OwnerKill) {
            self.site.daemons[1].signal(Signal::CONT);
        }
        for FarServer { listener, waiting, .. } in self.far.drain(..) {
            drop(waiting);
            self.servers.push(("far", BackEnd::serve(listener, self.script.clone())));
        }
        if events.contains(&Event::ServersSilent) {
            sleep(SILENCE.saturating_sub(HOLD_TIME)).await;
        }
        if !events.contains(&Event::ConnectionsReset) {
            self.script.set_stage(Stage::Released);
        }
        self.go.send_replace(true);
        if events.contains(&Event::StoreAway) {
            sleep(OUTAGE.saturating_sub(HOLD_TIME)).await;
            self.site.platform.set_faults(PlatformFaults::default());
        }
    }

    async fn collect(mut self, events: &[Event]) -> (Vec<Row>, String) {
        let mut received = Vec::new();
        for (cell, name, call) in self.calls.drain(..) {
            received.push((cell, name, call.await.expect("the caller ends")));
        }
        let first_runs = self.script.runs.lock().clone();
        // A stopped daemon answers no retries, and a call may run again once its route is repeatable.
        if !events.iter().any(|event| matches!(event, Event::Stop | Event::LimitedStop | Event::KindsChanged)) {
            self.retry_confirms(&received).await;
        }
        let row = |(cell, name, received): (Cell, String, Received)| {
            let runs = first_runs.get(&name).copied().unwrap_or(0);
            let outcome = match Outcome::of(cell, &name, &received, runs) {
                _ if cell.kind == Kind::Confirm && self.script.runs(&name) > 1 => Outcome::RanTwice,
                outcome => outcome,
            };
            let allowed = allowed(events, cell);
            Row { name, outcome, runs, received, allowed }
        };
        let rows = received.into_iter().map(row).collect();
        (rows, self.site.daemons[0].log())
    }

    /// Sends all calls that may run once again with their keys, which show whether they run a second time.
    async fn retry_confirms(&self, received: &[(Cell, String, Received)]) {
        let confirms = received.iter().filter(|(cell, ..)| cell.kind == Kind::Confirm);
        let retries = confirms.map(|(cell, name, _)| {
            let retried = Cell { step: if cell.step == Step::Connecting { cell.step } else { Step::Sent }, ..*cell };
            call(self.site.daemons[0].callers, retried, name.clone(), format!("key-{name}"), self.go.subscribe())
        });
        futures_util::future::join_all(retries).await;
    }
}
