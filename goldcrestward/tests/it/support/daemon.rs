//! One daemon as a process, with links on its ways to the platform and to its peers.

use std::{
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standin::faults::{FaultProxy, LinkFaults};
use tokio::net::{TcpListener, UdpSocket};

use super::site::{SECRET, TOKEN, TOKEN_HASH};

/// Where and as what a daemon runs.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub name: String,
    pub region: String,
    pub platform: SocketAddr,
    pub join: Vec<SocketAddr>,
}

pub(crate) struct TestDaemon {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    /// The address that peers use, which is the link's.
    pub advertise: SocketAddr,
    to_platform: FaultProxy,
    from_peers: FaultProxy,
}

impl TestDaemon {
    /// Starts a daemon on free ports, on others if another process has taken one meanwhile.
    pub async fn start(place: Place) -> Self {
        loop {
            let mut daemon = Self::spawn(&place).await;
            for _ in 0..100 {
                let answer = standin::http::get(daemon.admin, "/healthz", None).await;
                if answer.is_ok_and(|text| text == "ok") {
                    return daemon;
                }
                if daemon.ended().is_some() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }

    async fn spawn(place: &Place) -> Self {
        let (callers, admin, peers) = (free_port().await, free_port().await, free_port().await);
        let (advertise, from_peers) = link_to(peers).await;
        let (platform, to_platform) = link_to(place.platform).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestward"));
        command
            .args(["serve", "--site", "test", "--name", &place.name, "--region", &place.region])
            .args(["--zone", &format!("{}-a", place.region)])
            .args(["--callers", &callers.to_string(), "--admin", &admin.to_string()])
            .args(["--peers", &peers.to_string(), "--advertise", &advertise.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--peer-secret", SECRET, "--admin-token-sha256", TOKEN_HASH])
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        for address in &place.join {
            command.args(["--join", &address.to_string()]);
        }
        if std::env::var_os("GOLDCRESTWARD_TEST_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().expect("the daemon starts");
        let name = place.name.clone();
        Self { child, name, callers, admin, advertise, to_platform, from_peers }
    }

    /// Sets the faults on the daemon's way to the platform.
    pub fn platform_faults(&self, faults: LinkFaults) {
        self.to_platform.set_faults(faults);
    }

    /// Sets the faults on the ways of all peers to this daemon.
    pub fn peer_faults(&self, faults: LinkFaults) {
        self.from_peers.set_faults(faults);
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon can be killed");
        self.child.wait().expect("the daemon has ended");
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the daemon takes the signal");
    }

    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the daemon can be asked")
    }

    pub async fn get(&self, path: &str) -> Option<Value> {
        let text = standin::http::get(self.admin, path, Some(TOKEN)).await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// The sum of a counter's rows that hold `labels`, 0 if it cannot be read.
    pub async fn counter(&self, name: &str, labels: &str) -> f64 {
        let text = standin::http::get(self.admin, "/metrics", Some(TOKEN)).await.unwrap_or_default();
        let rows = text.lines().filter(|l| l.starts_with(&format!("goldcrestward_{name}")) && l.contains(labels));
        rows.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    pub async fn is_ready(&self) -> bool {
        let text = standin::http::get(self.callers, "/readyz", None).await;
        text.is_ok_and(|text| text == "serving")
    }

    /// The revision that the daemon has in force.
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

/// A port that is free for TCP and UDP now.
pub(crate) async fn free_port() -> SocketAddr {
    loop {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = socket.local_addr().expect("the socket has an address");
        if UdpSocket::bind(address).await.is_ok() {
            return address;
        }
    }
}

/// A link to `upstream` for streams and datagrams, and the address on which it listens.
async fn link_to(upstream: SocketAddr) -> (SocketAddr, FaultProxy) {
    loop {
        let streams = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = streams.local_addr().expect("the socket has an address");
        let Ok(datagrams) = UdpSocket::bind(address).await else { continue };
        let link = FaultProxy::new(upstream, 7);
        tokio::spawn(link.clone().forward_tcp(streams));
        tokio::spawn(link.clone().forward_udp(datagrams));
        return (address, link);
    }
}
