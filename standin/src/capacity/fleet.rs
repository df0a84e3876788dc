//! Daemon processes for measurements.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{net::TcpListener, time::sleep};

use crate::{
    error::{Error, Result},
    http::{get, post_with_token},
    platform::{Instance, InstanceState},
    reserved_port::ReservedPort,
};

pub(crate) const ADMIN_TOKEN: &str = "capacity";
/// SHA-256 of [`ADMIN_TOKEN`].
const ADMIN_TOKEN_SHA256: &str = "ec21b3b973a3a0e7050392031862848f7a19272ca8a820aed64c56d1d26e8db1";
/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Number of regions that the daemons are spread over.
const REGION_COUNT: usize = 11;

/// A daemon process, which is killed on drop.
pub(crate) struct DaemonProcess {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    pub name: String,
    _ports: [ReservedPort; 3],
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl DaemonProcess {
    /// Starts a daemon on ports of its own.
    pub fn start(number: usize, platform: SocketAddr, workers: usize) -> Result<Self> {
        let ports = [reserve_port()?, reserve_port()?, reserve_port()?];
        let [callers, admin, peers] = ports.each_ref().map(ReservedPort::address);
        let binary = daemon_binary()?;
        let name = format!("daemon-{number}");
        let region = format!("region-{}", number % REGION_COUNT);
        let zone = format!("{region}-{}", number % 3);
        let child = Command::new(&binary)
            .args(["serve", "--site", "capacity", "--name", &name, "--region", &region, "--zone", &zone])
            .args(["--callers", &callers.to_string(), "--admin", &admin.to_string()])
            .args(["--peers", &peers.to_string(), "--platform", &platform.to_string()])
            .args(["--peer-secret", "a secret for measurements", "--admin-token-sha256", ADMIN_TOKEN_SHA256])
            .args(["--workers", &workers.to_string()])
            .env("RUST_LOG", "off")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|source| Error::File { path: binary.display().to_string(), source })?;
        Ok(Self { child, callers, admin, name, _ports: ports })
    }

    /// CPU time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
    }

    /// Resident memory, in megabytes.
    pub fn rss_mb(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sum of the samples of metrics whose name begins with `name` and that contain `labels`;
    /// 0 if the metrics cannot be read.
    pub async fn metric_sum(&self, name: &str, labels: &str) -> f64 {
        let text = get(self.admin, "/metrics", Some(ADMIN_TOKEN)).await.unwrap_or_default();
        let rows = text.lines().filter(|l| l.starts_with(&format!("goldcrestward_{name}")) && l.contains(labels));
        rows.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// The daemons of one measurement.
pub(crate) struct Fleet {
    pub daemons: Vec<DaemonProcess>,
}

impl Fleet {
    /// Starts `count` daemons, puts `config` into force and waits until they know each other.
    pub async fn start(count: usize, platform: SocketAddr, workers: usize, config: &str) -> Result<Self> {
        let mut daemons = vec![DaemonProcess::start(0, platform, workers)?];
        let mut fleet = Self { daemons: Vec::new() };
        for number in 1..count {
            daemons.push(DaemonProcess::start(number, platform, workers)?);
            // Staggers the starts so that they do not overload the machine.
            sleep(Duration::from_millis(10)).await;
        }
        fleet.daemons = daemons;
        fleet.put_config("10-site.yaml", config).await?;
        fleet.wait_for_members().await;
        Ok(fleet)
    }

    /// Proposes a configuration file until it is accepted and returns its revision.
    pub async fn put_config(&self, name: &str, text: &str) -> Result<u64> {
        let body = json!({ "changes": [{ "name": name, "text": text }] });
        let admin = self.daemons[0].admin;
        for _ in 0..200 {
            let response: Result<Value> = post_with_token(admin, "/admin/config/propose", ADMIN_TOKEN, &body).await;
            match response {
                Ok(value) if value["revision"].is_u64() && value["result"] != "conflict" => {
                    return Ok(value["revision"].as_u64().unwrap_or(0));
                }
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
        Err(Error::Request { address: admin, reason: "the configuration was not accepted after 200 attempts".into() })
    }

    /// Waits until every daemon sees all others as alive, at most 30 s for each.
    async fn wait_for_members(&self) {
        let others = self.daemons.len() as f64 - 1.0;
        for daemon in &self.daemons {
            for _ in 0..300 {
                if daemon.metric_sum("members", "alive").await >= others {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Mean CPU time of a daemon so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.daemons.iter().map(DaemonProcess::cpu_seconds).sum::<f64>() / self.daemons.len() as f64
    }

    /// Mean resident memory of a daemon, in megabytes.
    pub fn rss_mb(&self) -> f64 {
        self.daemons.iter().map(DaemonProcess::rss_mb).sum::<f64>() / self.daemons.len() as f64
    }
}

/// Opens a listener on a free local port.
pub(crate) async fn listener() -> Result<(TcpListener, SocketAddr)> {
    let fail = |source| Error::File { path: "a free port".into(), source };
    let socket = TcpListener::bind("127.0.0.1:0").await.map_err(fail)?;
    let address = socket.local_addr().map_err(fail)?;
    Ok((socket, address))
}

/// Describes a live instance of a pool in the first zone.
pub(crate) fn live_instance(pool: &str, number: usize, address: SocketAddr) -> Instance {
    Instance {
        id: format!("{pool}-{number}"),
        address,
        pool: pool.into(),
        version: format!("{pool}-1"),
        zone: "region-0-0".into(),
        region: "region-0".into(),
        state: InstanceState::Live,
    }
}

/// Path of the daemon's binary, in the same folder as this program.
fn daemon_binary() -> Result<PathBuf> {
    let mut path = std::env::current_exe().map_err(|source| Error::File { path: "this program".into(), source })?;
    path.set_file_name("goldcrestward");
    Ok(path)
}

fn reserve_port() -> Result<ReservedPort> {
    ReservedPort::new().map_err(|source| Error::File { path: "a free port".into(), source })
}
