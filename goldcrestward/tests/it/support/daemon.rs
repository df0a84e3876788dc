//! A daemon process whose connections to the platform and from its peers pass through fault-injecting proxies.

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standin::{
    fault_proxy::{FaultProxy, LinkFaults},
    reserved_port::ReservedPort,
};
use tempfile::NamedTempFile;
use tokio::net::{TcpListener, UdpSocket};

use super::site::{SECRET, TOKEN, TOKEN_HASH};

/// Part of the log of a daemon that could not bind one of its ports.
const ADDRESS_IN_USE: &str = "Address already in use";
/// Limits how long a failing test runs.
const START_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub(crate) struct DaemonOptions {
    pub name: String,
    pub region: String,
    /// Upstream of the proxy through which the daemon reaches the platform.
    pub platform: SocketAddr,
    pub join: Vec<SocketAddr>,
    /// Time limit of a graceful shutdown; none if absent.
    pub drain_seconds: Option<u64>,
    /// Time for which a shutdown goes on taking connections; the default if absent.
    pub notice_ms: Option<u64>,
}

pub(crate) struct TestDaemon {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    /// Address of the proxy through which peers reach the daemon.
    pub advertise: SocketAddr,
    platform_proxy: FaultProxy,
    peer_proxy: FaultProxy,
    log: NamedTempFile,
    _settings: Option<NamedTempFile>,
    _ports: [ReservedPort; 3],
}

impl TestDaemon {
    /// Starts a daemon on reserved ports and waits until it listens.
    pub async fn start(options: DaemonOptions) -> Self {
        let start = Instant::now();
        let mut daemon = Self::spawn(&options).await;
        loop {
            let response = standin::http::get(daemon.admin, "/healthz", None).await;
            if response.is_ok_and(|text| text == "ok") {
                return daemon;
            }
            // A process that is being started beside may still hold the socket that has probed a port for UDP.
            if daemon.exit_status().is_some() && daemon.log().contains(ADDRESS_IN_USE) {
                daemon = Self::spawn(&options).await;
            }
            let status = daemon.exit_status();
            assert_eq!(status, None, "{} ended at its start:\n{}", daemon.name, daemon.log());
            assert!(start.elapsed() < START_TIMEOUT, "{} does not listen:\n{}", daemon.name, daemon.log());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn spawn(options: &DaemonOptions) -> Self {
        let ports = std::array::from_fn(|_| ReservedPort::new().expect("a port is free"));
        let [callers, admin, peers] = ports.each_ref().map(ReservedPort::address);
        let (advertise, peer_proxy) = start_proxy(peers).await;
        let (platform, platform_proxy) = start_proxy(options.platform).await;
        let log = NamedTempFile::new().expect("a temporary file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestward"));
        command
            .args(["serve", "--site", "test", "--name", &options.name, "--region", &options.region])
            .args(["--zone", &format!("{}-a", options.region)])
            .args(["--callers", &callers.to_string(), "--admin", &admin.to_string()])
            .args(["--peers", &peers.to_string(), "--advertise", &advertise.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--peer-secret", SECRET, "--admin-token-sha256", TOKEN_HASH])
            .stdin(Stdio::null())
            .stdout(log.reopen().expect("a temporary file"));
        for address in &options.join {
            command.args(["--join", &address.to_string()]);
        }
        if let Some(seconds) = options.drain_seconds {
            command.args(["--drain-seconds", &seconds.to_string()]);
        }
        let settings = options.notice_ms.map(|ms| {
            let settings = NamedTempFile::new().expect("a temporary file");
            fs::write(settings.path(), format!("notice-ms: {ms}\n")).expect("the settings are written");
            command.arg("--settings").arg(settings.path());
            settings
        });
        if std::env::var_os("GOLDCRESTWARD_TEST_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().expect("the daemon starts");
        let name = options.name.clone();
        Self {
            child,
            name,
            callers,
            admin,
            advertise,
            platform_proxy,
            peer_proxy,
            log,
            _settings: settings,
            _ports: ports,
        }
    }

    /// Sets the faults on the daemon's connections to the platform.
    pub fn set_platform_faults(&self, faults: LinkFaults) {
        self.platform_proxy.set_faults(faults);
    }

    /// Sets the faults on all traffic from peers to this daemon; the connections and datagrams that it sends itself are unaffected.
    pub fn set_peer_faults(&self, faults: LinkFaults) {
        self.peer_proxy.set_faults(faults);
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon can be killed");
        self.child.wait().expect("the daemon has ended");
    }

    /// Sends a signal. Waits until a daemon that is to pause does: on a busy machine it goes on to run for a time.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the daemon receives the signal");
        let start = Instant::now();
        while signal == Signal::STOP && !self.is_paused() {
            assert!(start.elapsed() < START_TIMEOUT, "{} does not pause", self.name);
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn is_paused(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the daemon is running");
        let is_stopped = |task: std::io::Result<fs::DirEntry>| {
            let stat = fs::read_to_string(task.ok()?.path().join("stat")).ok()?;
            Some(stat.rsplit_once(") ")?.1.starts_with(['T', 't']))
        };
        tasks.into_iter().all(|task| is_stopped(task).unwrap_or(true))
    }

    /// Largest memory that the process has had, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the daemon is running");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix("kB"));
        peak.and_then(|kb| kb.trim().parse::<u64>().ok()).expect("the system states the memory") / 1024
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the exit status can be read")
    }

    /// What the daemon has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log.path()).expect("the log can be read")
    }

    pub async fn get(&self, path: &str) -> Option<Value> {
        let text = standin::http::get(self.admin, path, Some(TOKEN)).await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// The sum of the samples of a counter whose line contains `labels`; 0 if the metrics cannot be read.
    pub async fn counter(&self, name: &str, labels: &str) -> f64 {
        let text = standin::http::get(self.admin, "/metrics", Some(TOKEN)).await.unwrap_or_default();
        let samples = text.lines().filter(|l| l.starts_with(&format!("goldcrestward_{name}")) && l.contains(labels));
        samples.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    pub async fn is_ready(&self) -> bool {
        let text = standin::http::get(self.callers, "/readyz", None).await;
        text.is_ok_and(|text| text == "serving")
    }

    /// The configuration revision in force at the daemon.
    pub async fn revision(&self) -> Option<u64> {
        let text = standin::http::get(self.admin, "/metrics", Some(TOKEN)).await.ok()?;
        let line = text.lines().find(|l| l.starts_with("goldcrestward_config_revision "))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Starts a proxy to `upstream` for TCP and UDP, and returns the address on which it listens.
async fn start_proxy(upstream: SocketAddr) -> (SocketAddr, FaultProxy) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = tcp.local_addr().expect("the socket has an address");
        let Ok(udp) = UdpSocket::bind(address).await else { continue };
        let proxy = FaultProxy::new(upstream, 7);
        tokio::spawn(proxy.clone().forward_tcp(tcp));
        tokio::spawn(proxy.clone().forward_udp(udp));
        return (address, proxy);
    }
}
