//! A test site: the stand-ins and the daemons in front of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};
use standin::{
    engine::{Engine, EngineFaults, EngineOptions},
    load::{Client, LoadPlan, LoadReport, RequestOutcome, StreamResult, Targets, Workload},
    platform::{Instance, InstanceState, Platform},
    reserved_port::ReservedPort,
    service::{Executions, Service, ServiceFaults},
};
use tokio::net::TcpListener;

use super::{
    daemon::{DaemonOptions, TestDaemon},
    eventually,
};

/// Key of the account `kitchen`, which has no limits.
pub(crate) const KEY: &str = "test-key";
/// Operators' token for the admin listener.
pub(crate) const TOKEN: &str = "test-token";
/// SHA-256 of [`TOKEN`].
pub(crate) const TOKEN_HASH: &str = "4c5dc9b7708905f77f5e5d16316b5dfb425e68cb326dcd55a860e90a7707031e";
/// Secret with which daemons authenticate to each other.
pub(crate) const SECRET: &str = "a secret for tests only";

/// The configuration that the site starts with.
pub(crate) const CONFIG: &str = "
zones:
  north-a: { region: north }
  south-a: { region: south }
pools:
  models: { kind: model, checks-fences: true }
  orders: { kind: plain }
routes:
  meal-planner: { pool: models, model: meal-planner, timeout-seconds: 60, retry-percent: 100 }
  confirm: { pool: orders, prefix: /orders/confirm, repeatable: false, timeout-seconds: 20 }
  lookup: { pool: orders, prefix: /orders/lookup, lookup: true }
  orders: { pool: orders, prefix: /orders/ }
accounts:
  kitchen:
    key-sha256: 62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef
  limited:
    key-sha256: f33b2500796d61f96eeef0f5331ddc40c17e434aff139f4d9e00bfe75170d87a
    requests-per-second: 5
versions:
  models-1: { pool: models }
  orders-1: { pool: orders }
";

pub(crate) struct TestSite {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub executions: Executions,
    pub daemons: Vec<TestDaemon>,
    /// Time limit of the daemons' graceful shutdown; none if absent.
    pub drain_seconds: Option<u64>,
    /// Time for which the daemons' graceful shutdown goes on taking connections; the default if absent.
    pub notice_ms: Option<u64>,
    /// Ports of the stand-ins, kept so that no other server answers at the address of a killed one.
    ports: Vec<ReservedPort>,
}

impl TestSite {
    /// Starts daemons, engines and two replicas of a plain service, and waits until the configuration is in force.
    pub async fn start(daemons: usize, engines: usize) -> Self {
        Self::start_with_grace(daemons, engines, None).await
    }

    /// Like [`TestSite::start`], with a time limit of the daemons' graceful shutdown.
    pub async fn start_with_grace(daemons: usize, engines: usize, drain_seconds: Option<u64>) -> Self {
        let mut site = Self { drain_seconds, ..Self::start_platform().await };
        for _ in 0..engines {
            site.add_engine("models-1", "north").await;
        }
        for number in 0..2 {
            site.add_service(number).await;
        }
        for number in 0..daemons {
            site.add_daemon(number, "north").await;
        }
        let response = site.propose(0, &[("10-site.yaml", Some(CONFIG))]).await;
        assert_eq!(response["result"], "accepted", "{response}");
        site.wait_until_serving().await;
        site
    }

    /// Starts the platform without any replica or daemon.
    pub async fn start_platform() -> Self {
        let port = ReservedPort::new().expect("a port is free");
        let listener = port.listen().expect("the port can be listened on");
        let platform = Platform::start(listener, 1).expect("the platform starts");
        let executions = Executions::default();
        Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            executions,
            daemons: Vec::new(),
            drain_seconds: None,
            notice_ms: None,
            ports: vec![port],
        }
    }

    pub async fn add_engine(&mut self, version: &str, region: &str) -> usize {
        let (socket, address) = self.listen();
        let number = self.engines.len();
        let options = EngineOptions { time_factor: 0.3, seed: number as u64 + 1, ..EngineOptions::default() };
        self.engines.push(Engine::start(socket, address, options));
        self.register_engine(number, version, region, InstanceState::Live);
        number
    }

    /// Sets the state in which the platform lists an engine.
    pub fn register_engine(&self, number: usize, version: &str, region: &str, state: InstanceState) {
        let address = self.engines[number].address();
        let row = instance("models", version, region, address, state);
        // Placement depends on the instance id: an id without the port keeps it the same in every run.
        self.platform.put_instance(Instance { id: format!("models-{number}"), ..row });
    }

    pub async fn add_service(&mut self, number: u64) {
        let (socket, address) = self.listen();
        self.services.push(Service::start(socket, address, self.executions.clone(), number + 1));
        self.register_service(address, &format!("orders-{number}"));
    }

    /// Adds a back end, which may be the test's own, to the platform's list of instances in the pool `orders`.
    pub fn register_service(&self, address: SocketAddr, id: &str) {
        self.register_back_end("orders", address, id);
    }

    /// Adds a back end, which may be the test's own, to the platform's list of instances in a pool.
    pub fn register_back_end(&self, pool: &str, address: SocketAddr, id: &str) {
        self.set_back_end_state(pool, address, id, InstanceState::Live);
    }

    /// Sets the state in which the platform lists a back end of the test's own.
    pub fn set_back_end_state(&self, pool: &str, address: SocketAddr, id: &str, state: InstanceState) {
        let row = instance(pool, &format!("{pool}-1"), "north", address, state);
        self.platform.put_instance(Instance { id: id.into(), ..row });
    }

    /// Ends the plain services, and takes them out of the platform's list of instances.
    pub fn remove_services(&mut self) {
        for (number, service) in self.services.drain(..).enumerate() {
            service.kill();
            let row = instance("orders", "orders-1", "north", service.address(), InstanceState::Gone);
            self.platform.put_instance(Instance { id: format!("orders-{number}"), ..row });
        }
    }

    /// Listens on a port that stays reserved as long as the site exists.
    fn listen(&mut self) -> (TcpListener, SocketAddr) {
        let port = ReservedPort::new().expect("a port is free");
        let listener = port.listen().expect("the port can be listened on");
        let address = port.address();
        self.ports.push(port);
        (listener, address)
    }

    pub async fn add_daemon(&mut self, number: usize, region: &str) {
        let join = self.daemons.first().map(|d| d.advertise).into_iter().collect();
        let options = DaemonOptions {
            name: format!("daemon-{number}"),
            region: region.into(),
            platform: self.platform.address(),
            join,
            drain_seconds: self.drain_seconds,
            notice_ms: self.notice_ms,
        };
        self.daemons.push(TestDaemon::start(options).await);
    }

    pub async fn wait_until_serving(&self) {
        for daemon in &self.daemons {
            eventually("the daemon is ready", || async { daemon.is_ready().await.then_some(()) }).await;
        }
        let count = self.daemons.len() as f64;
        for daemon in &self.daemons {
            let all = || async { (daemon.counter("members", "alive").await >= count - 1.0).then_some(()) };
            eventually("each daemon lists all others as alive", all).await;
        }
        let wanted = (self.engines.len() + self.services.len()) as u64;
        for daemon in &self.daemons {
            let listed = || async {
                let value = daemon.get("/admin/requests").await?;
                (value["replicas"].as_array()?.len() as u64 >= wanted).then_some(())
            };
            eventually("each daemon lists all replicas", listed).await;
        }
    }

    /// Proposes configuration files to a daemon and returns its response.
    pub async fn propose(&self, daemon: usize, files: &[(&str, Option<&str>)]) -> Value {
        propose(self.daemons[daemon].admin, files, None).await
    }

    pub fn targets(&self) -> Targets {
        Targets::new(self.daemons.iter().map(|d| d.callers).collect())
    }

    /// A load plan for this site. Callers retry refused requests.
    pub fn load(&self, streams: f64, keyed: f64, seconds: u64) -> LoadPlan {
        LoadPlan {
            targets: self.targets(),
            key: KEY.into(),
            workload: Workload { prefix_words: 40, suffix_words: 10, tokens: 40, ..Workload::swanvale() },
            streams_per_second: streams,
            keyed_per_second: keyed,
            duration: Duration::from_secs(seconds),
            max_retries: 40,
            seed: 11,
        }
    }

    pub async fn stream(&self, daemon: usize, prompt: &str, tokens: usize) -> StreamResult {
        let target = self.daemons[daemon].callers;
        Client::default().stream(target, KEY, "meal-planner", prompt, tokens, std::time::Instant::now()).await
    }

    pub async fn confirm(&self, daemon: usize, key: &str) -> RequestOutcome {
        Client::default().keyed(self.daemons[daemon].callers, KEY, "/orders/confirm", key).await
    }

    pub fn set_engine_faults(&self, faults: &EngineFaults) {
        self.engines.iter().for_each(|e| e.set_faults(faults.clone()));
    }

    pub fn set_service_faults(&self, faults: &ServiceFaults) {
        self.services.iter().for_each(|s| s.set_faults(faults.clone()));
    }

    /// Checks a load report against the executions that the services counted by idempotency key:
    /// none ran twice, none reported as not run has run, and none reported as run is missing.
    pub fn check_keyed(&self, report: &LoadReport) {
        let executions = self.executions.lock();
        let duplicates: Vec<_> = executions.iter().filter(|(_, count)| **count > 1).collect();
        assert!(duplicates.is_empty(), "executed twice: {duplicates:?}");
        let wrongly_not_run: Vec<_> = report.said_not_run.iter().filter(|key| executions.contains_key(*key)).collect();
        assert!(wrongly_not_run.is_empty(), "reported as not run, but executed: {wrongly_not_run:?}");
        let missing: Vec<_> = report.said_run.iter().filter(|key| !executions.contains_key(*key)).collect();
        assert!(missing.is_empty(), "reported as run, but not executed: {missing:?}");
    }

    pub async fn counter(&self, name: &str, labels: &str) -> f64 {
        let mut sum = 0.0;
        for daemon in &self.daemons {
            sum += daemon.counter(name, labels).await;
        }
        sum
    }
}

pub(crate) async fn propose(admin: SocketAddr, files: &[(&str, Option<&str>)], base: Option<u64>) -> Value {
    let changes: Vec<_> = files.iter().map(|(name, text)| json!({ "name": name, "text": text })).collect();
    let body = json!({ "changes": changes, "base": base });
    let respond = || async { post(admin, "/admin/config/propose", &body).await };
    eventually("the daemon responds to the proposal", respond).await
}

/// Posts to the admin listener; `None` if it cannot be reached or the response is not JSON.
pub(crate) async fn post(admin: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    use http_body_util::{BodyExt, Full};

    let request = http::Request::post(path)
        .header(http::header::HOST, admin.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {TOKEN}"))
        .body(Full::new(bytes::Bytes::from(body.to_string())))
        .expect("the request is well formed");
    let response = standin::http::send_request(admin, request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn instance(pool: &str, version: &str, region: &str, address: SocketAddr, state: InstanceState) -> Instance {
    Instance {
        id: format!("{pool}-{}", address.port()),
        address,
        pool: pool.into(),
        version: version.into(),
        zone: format!("{region}-a"),
        region: region.into(),
        state,
    }
}

/// Runs a load plan and returns its report.
pub(crate) async fn run_load(plan: LoadPlan) -> LoadReport {
    standin::load::run(plan, Arc::default()).await
}
