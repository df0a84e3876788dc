//! Changes of the configuration, and whether a daemon has put them into force.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};
use tokio::time::{sleep, timeout};

use super::CHANGE_LIMIT;
use crate::load::{Client, RequestOutcome};

/// Key of the account whose requests check the routes.
const PROBE_KEY: &str = "probe";
/// A route that exists from the start.
const FIRST_PATH: &str = "/probes";
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// One change: a new route, and a key that is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Change(pub usize);

impl Change {
    /// Files of the proposal, `None` to remove one. The key that the next change withdraws is added.
    pub fn files(self) -> Vec<(String, Option<String>)> {
        let Self(number) = self;
        let route = format!("routes:\n  step-{number}: {{ pool: probes, prefix: {} }}\n", self.path());
        vec![
            (format!("20-step-{number}.yaml"), Some(route)),
            (self.key_file(), None),
            (Self(number + 1).key_file(), Some(Self(number + 1).key_text())),
        ]
    }

    /// Files that have to be in force before the first change.
    pub fn first_files() -> Vec<(String, Option<String>)> {
        let text = format!(
            "pools:\n  probes: {{ kind: plain }}\nroutes:\n  probes: {{ pool: probes, prefix: {FIRST_PATH} }}\n{}",
            account("probe", PROBE_KEY)
        );
        vec![("15-probes.yaml".into(), Some(text)), (Self(0).key_file(), Some(Self(0).key_text()))]
    }

    fn path(self) -> String {
        format!("/steps/{}", self.0)
    }

    fn key(self) -> String {
        format!("withdrawn-{}", self.0)
    }

    fn key_file(self) -> String {
        format!("30-key-{}.yaml", self.0)
    }

    fn key_text(self) -> String {
        account(&self.key(), &self.key())
    }
}

/// Configuration of an account without limits.
fn account(name: &str, key: &str) -> String {
    let hash: String = Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect();
    format!("accounts:\n  {name}: {{ key-sha256: {hash} }}\n")
}

/// Asks daemons whether changes are in force, as a caller on connections that it keeps.
#[derive(Clone, Default)]
pub(super) struct Prober {
    client: Client,
    /// Number of probes sent, which makes their idempotency keys differ.
    sent: Arc<AtomicU64>,
}

impl Prober {
    /// Time from `acknowledged` until a daemon serves the route and refuses the key of a change.
    ///
    /// # Errors
    /// Returns what the daemon answered instead at the end of [`CHANGE_LIMIT`].
    pub async fn time_until_in_force(
        &self,
        change: Change,
        target: SocketAddr,
        acknowledged: Instant,
    ) -> Result<Duration, String> {
        loop {
            let result = self.check(change, target).await;
            let elapsed = acknowledged.elapsed();
            match result {
                Ok(()) if elapsed <= CHANGE_LIMIT => return Ok(elapsed),
                Ok(()) => return Err(format!("followed only after {:.1} s", elapsed.as_secs_f64())),
                Err(answers) if elapsed > CHANGE_LIMIT => return Err(answers),
                Err(_) => sleep(PROBE_INTERVAL).await,
            }
        }
    }

    /// Whether a daemon serves the route and refuses the key of a change.
    ///
    /// # Errors
    /// Returns what the daemon answered instead.
    pub async fn check(&self, change: Change, target: SocketAddr) -> Result<(), String> {
        let mut answers = Vec::new();
        let route = self.send(target, PROBE_KEY, &change.path()).await;
        if route != RequestOutcome::Complete {
            answers.push(format!("route {}: {route:?}", change.path()));
        }
        let key = self.send(target, &change.key(), FIRST_PATH).await;
        if !matches!(&key, RequestOutcome::Refused(reason, _) if reason == "unauthenticated") {
            answers.push(format!("key {}: {key:?}", change.key()));
        }
        if answers.is_empty() { Ok(()) } else { Err(answers.join(", ")) }
    }

    /// Whether the key that a change will withdraw is still accepted.
    pub async fn accepts_key(&self, change: Change, target: SocketAddr) -> bool {
        self.send(target, &change.key(), FIRST_PATH).await == RequestOutcome::Complete
    }

    async fn send(&self, target: SocketAddr, key: &str, path: &str) -> RequestOutcome {
        let id = format!("probe-{}", self.sent.fetch_add(1, Ordering::Relaxed));
        let request = self.client.keyed(target, key, path, &id);
        timeout(CHANGE_LIMIT, request).await.unwrap_or(RequestOutcome::Unanswered)
    }
}
