//! Daemons as processes, for measurements.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::sleep,
};

use crate::{
    error::{Error, Result},
    http::{get, post_with_token},
    platform::{Instance, InstanceState},
};

/// Token of the operators.
pub(crate) const TOKEN: &str = "capacity";
const TOKEN_HASH: &str = "ec21b3b973a3a0e7050392031862848f7a19272ca8a820aed64c56d1d26e8db1";
/// Ticks of processor time a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Regions over which daemons are spread.
const REGIONS: usize = 11;

/// One daemon.
pub(crate) struct Node {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Its name.
    pub name: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Node {
    /// Starts a daemon.
    pub async fn start(number: usize, platform: SocketAddr, workers: usize) -> Result<Self> {
        let (callers, admin, peers) = (free_port().await?, free_port().await?, free_port().await?);
        let binary = binary()?;
        let name = format!("daemon-{number}");
        let region = format!("region-{}", number % REGIONS);
        let zone = format!("{region}-{}", number % 3);
        let child = Command::new(&binary)
            .args(["serve", "--site", "capacity", "--name", &name, "--region", &region, "--zone", &zone])
            .args(["--callers", &callers.to_string(), "--admin", &admin.to_string()])
            .args(["--peers", &peers.to_string(), "--platform", &platform.to_string()])
            .args(["--peer-secret", "a secret for measurements", "--admin-token-sha256", TOKEN_HASH])
            .args(["--workers", &workers.to_string()])
            .env("RUST_LOG", "off")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|source| Error::File { path: binary.display().to_string(), source })?;
        Ok(Self { child, callers, admin, name })
    }

    /// Processor time so far, in seconds.
    pub fn cpu(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Resident memory, in megabytes.
    pub fn rss(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    /// Ends the daemon at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// The metrics that begin with `name`, summed.
    pub async fn metric(&self, name: &str, labels: &str) -> f64 {
        let text = get(self.admin, "/metrics", Some(TOKEN)).await.unwrap_or_default();
        let rows = text.lines().filter(|l| l.starts_with(&format!("goldcrestward_{name}")) && l.contains(labels));
        rows.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// Some daemons.
pub(crate) struct Fleet {
    /// The daemons.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts `count` daemons that know each other, with a configuration in force.
    pub async fn start(count: usize, platform: SocketAddr, workers: usize, config: &str) -> Result<Self> {
        let mut nodes = vec![Node::start(0, platform, workers).await?];
        let mut fleet = Self { nodes: Vec::new() };
        for number in 1..count {
            nodes.push(Node::start(number, platform, workers).await?);
            // A pause keeps the machine from being flooded by processes that start.
            sleep(Duration::from_millis(10)).await;
        }
        fleet.nodes = nodes;
        fleet.put("10-site.yaml", config).await?;
        fleet.settle().await;
        Ok(fleet)
    }

    /// Puts a file into force and gives its revision.
    pub async fn put(&self, name: &str, text: &str) -> Result<u64> {
        let body = json!({ "changes": [{ "name": name, "text": text }] });
        let admin = self.nodes[0].admin;
        for _ in 0..200 {
            let answer: Result<Value> = post_with_token(admin, "/admin/config/propose", TOKEN, &body).await;
            match answer {
                Ok(value) if value["revision"].is_u64() && value["result"] != "conflict" => {
                    return Ok(value["revision"].as_u64().unwrap_or(0));
                }
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
        Err(Error::Call { address: admin, reason: "the configuration was not accepted".into() })
    }

    /// Waits until every daemon sees all others.
    async fn settle(&self) {
        let others = self.nodes.len() as f64 - 1.0;
        for node in &self.nodes {
            for _ in 0..300 {
                if node.metric("members", "alive").await >= others {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Mean processor time of a daemon so far, in seconds.
    pub fn cpu(&self) -> f64 {
        self.nodes.iter().map(Node::cpu).sum::<f64>() / self.nodes.len() as f64
    }

    /// Mean resident memory of a daemon, in megabytes.
    pub fn rss(&self) -> f64 {
        self.nodes.iter().map(Node::rss).sum::<f64>() / self.nodes.len() as f64
    }
}

/// A socket on a free port, and its address.
pub(crate) async fn listener() -> Result<(TcpListener, SocketAddr)> {
    let fail = |source| Error::File { path: "a free port".into(), source };
    let socket = TcpListener::bind("127.0.0.1:0").await.map_err(fail)?;
    let address = socket.local_addr().map_err(fail)?;
    Ok((socket, address))
}

/// A live instance of a pool in the first zone.
pub(crate) fn instance(pool: &str, number: usize, address: SocketAddr) -> Instance {
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

/// The daemon's binary, which stands beside this one.
fn binary() -> Result<PathBuf> {
    let mut path = std::env::current_exe().map_err(|source| Error::File { path: "this program".into(), source })?;
    path.set_file_name("goldcrestward");
    Ok(path)
}

async fn free_port() -> Result<SocketAddr> {
    loop {
        let (_socket, address) = listener().await?;
        if UdpSocket::bind(address).await.is_ok() {
            return Ok(address);
        }
    }
}
