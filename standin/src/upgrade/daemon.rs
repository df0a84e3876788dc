//! A daemon process of either program.

use std::{
    collections::BTreeSet,
    fs::File,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time::sleep;

use super::plan::Build;
use crate::{
    error::{Error, FileSnafu, Result},
    http::{get, post_with_token},
    reserved_port::ReservedPort,
};

const ADMIN_TOKEN: &str = "upgrade";
/// SHA-256 of [`ADMIN_TOKEN`].
const ADMIN_TOKEN_SHA256: &str = "7fef9479c8bc5a3c86891cb82969cbf2ffc73c7350366c82286345d8292eebf5";
/// Number of regions that the daemons are spread over, each with one zone.
const REGION_COUNT: usize = 2;
/// Daemons that a new one is told of.
const MAX_JOIN: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a daemon is started with.
pub(super) struct DaemonOptions<'a> {
    pub binary: &'a Path,
    pub build: Build,
    /// Number of the daemon at the site.
    pub slot: usize,
    /// Number of daemons that the slot has had before.
    pub generation: usize,
    pub platform: SocketAddr,
    /// Peer addresses of running daemons.
    pub join: Vec<SocketAddr>,
    /// Folder for the daemon's log; nothing is logged if absent.
    pub logs: Option<&'a Path>,
}

/// A daemon process, which is killed on drop.
pub(super) struct Daemon {
    child: Child,
    pub build: Build,
    pub generation: usize,
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    admin: SocketAddr,
    _ports: [ReservedPort; 3],
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    /// Starts a daemon on ports of its own.
    pub fn start(options: &DaemonOptions) -> Result<Self> {
        let reserve = || ReservedPort::new().context(FileSnafu { path: "a free port" });
        let ports = [reserve()?, reserve()?, reserve()?];
        let [callers, admin, peers] = ports.each_ref().map(ReservedPort::address);
        let name = format!("daemon-{}-{}", options.slot, options.generation);
        let region = format!("region-{}", options.slot % REGION_COUNT);
        let mut command = Command::new(options.binary);
        command
            .args(["serve", "--site", "upgrade", "--name", &name, "--region", &region])
            .args(["--zone", &format!("{region}-a")])
            .args(["--callers", &callers.to_string(), "--admin", &admin.to_string()])
            .args(["--peers", &peers.to_string(), "--platform", &options.platform.to_string()])
            .args(["--peer-secret", "a secret for upgrades", "--admin-token-sha256", ADMIN_TOKEN_SHA256])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        for address in options.join.iter().take(MAX_JOIN) {
            command.args(["--join", &address.to_string()]);
        }
        match options.logs {
            Some(folder) => {
                let path = folder.join(format!("{name}.log"));
                let context = || FileSnafu { path: path.display().to_string() };
                let file = File::create(&path).with_context(|_| context())?;
                let copy = file.try_clone().with_context(|_| context())?;
                command.stdout(file).stderr(copy);
            }
            None => {
                command.env("RUST_LOG", "off");
            }
        }
        let child = command.spawn().context(FileSnafu { path: options.binary.display().to_string() })?;
        let (build, generation) = (options.build, options.generation);
        Ok(Self { child, build, generation, name, callers, peers, admin, _ports: ports })
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends SIGTERM and waits for the exit; `None` if the process has not ended by the limit.
    pub async fn stop(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        // A process that has ended already is seen below.
        kill_process(Pid::from_child(&self.child), Signal::TERM).ok();
        while start.elapsed() < limit {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the daemon is ready; returns false if it is not by the limit, or ends.
    pub async fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit && self.exit_status().is_none() {
            if get(self.callers, "/readyz", None).await.is_ok_and(|text| text == "serving") {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Names of the daemons, this one included, that it counts as alive.
    pub async fn alive_members(&self) -> BTreeSet<String> {
        let text = get(self.admin, "/admin/peers", Some(ADMIN_TOKEN)).await.unwrap_or_default();
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        let rows = value["peers"].as_array().cloned().unwrap_or_default();
        let alive = rows.iter().filter(|row| row["state"] == "alive");
        alive.filter_map(|row| row["name"].as_str()).map(str::to_owned).collect()
    }

    /// Proposes files, `None` to remove one.
    ///
    /// # Errors
    /// Fails when the daemon does not acknowledge the change.
    pub async fn propose(&self, files: &[(String, Option<String>)]) -> Result<()> {
        let changes: Vec<_> = files.iter().map(|(name, text)| json!({ "name": name, "text": text })).collect();
        let body = json!({ "changes": changes });
        let response: Value = post_with_token(self.admin, "/admin/config/propose", ADMIN_TOKEN, &body).await?;
        if response["result"] == "accepted" {
            return Ok(());
        }
        Err(Error::Request { address: self.admin, reason: format!("the change was not accepted: {response}") })
    }
}
