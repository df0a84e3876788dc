//! The stand-ins and daemons of the demonstration.

use std::{collections::BTreeMap, net::SocketAddr};

use parking_lot::Mutex;
use serde_json::{Value, json};
use snafu::ResultExt;
use standin::{
    engine::{Engine, EngineOptions},
    platform::{Instance, InstanceState, Platform},
    service::{Executions, Service},
};
use tokio::net::{TcpListener, UdpSocket};

use super::error::{ConfigurationSnafu, DaemonSnafu, Result, SettingsSnafu, SocketSnafu, StandInSnafu};
use crate::{
    process::{Daemon, Overrides, Settings},
    util::sha256_hex,
};

/// Token of the demonstration's operators.
pub(crate) const TOKEN: &str = "demo-operator";
/// Factor on the engines' times.
const ENGINE_TIME_FACTOR: f64 = 1.0;
/// Time that changes of the instance list take to show, in ms.
const LIST_LAG_MS: u64 = 300;

/// The embedded configuration: both users' examples, merged into one site.
const FILES: [(&str, &str); 12] = [
    ("10-zones-swanvale.yaml", include_str!("../../../examples/swanvale/10-zones.yaml")),
    ("11-zones-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/10-zones.yaml")),
    ("20-prices-swanvale.yaml", include_str!("../../../examples/swanvale/20-prices.yaml")),
    ("21-prices-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/20-prices.yaml")),
    ("30-pools-swanvale.yaml", include_str!("../../../examples/swanvale/30-pools.yaml")),
    ("31-pools-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/30-pools.yaml")),
    ("40-routes-swanvale.yaml", include_str!("../../../examples/swanvale/40-routes.yaml")),
    ("41-routes-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/40-routes.yaml")),
    ("50-accounts-swanvale.yaml", include_str!("../../../examples/swanvale/50-accounts.yaml")),
    ("51-accounts-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/50-accounts.yaml")),
    ("60-versions-swanvale.yaml", include_str!("../../../examples/swanvale/60-versions.yaml")),
    ("61-versions-klaasvikat.yaml", include_str!("../../../examples/klaasvikat/60-versions.yaml")),
];

/// An engine with its place in the platform's list.
struct Row {
    engine: Engine,
    instance: Instance,
}

/// A whole site.
pub(crate) struct DemoSite {
    platform: Platform,
    engines: Mutex<BTreeMap<String, Row>>,
    _services: Vec<Service>,
    executions: Executions,
    seed: u64,
}

/// What an engine is started as.
pub(crate) struct Place<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The version.
    pub version: &'a str,
    /// The region; the zone is this with a letter.
    pub region: &'a str,
    /// The zone's letter.
    pub letter: char,
}

impl DemoSite {
    /// Starts the platform and the plain services.
    pub async fn start(seed: u64) -> Result<Self> {
        let platform = Platform::start(listener().await?, seed).context(StandInSnafu)?;
        platform.set_faults(standin::platform::PlatformFaults { list_lag_ms: LIST_LAG_MS, ..Default::default() });
        let executions = Executions::default();
        let mut services = Vec::new();
        for (pool, region) in [("orders", "perth-metro"), ("bookings", "pohja")] {
            for letter in ['a', 'b', 'c'] {
                let socket = listener().await?;
                let address = socket.local_addr().context(SocketSnafu)?;
                services.push(Service::start(socket, address, executions.clone(), seed));
                let place = Place { pool, version: &format!("{pool}-1"), region, letter };
                platform.put_instance(instance(&place, address));
            }
        }
        Ok(Self { platform, engines: Mutex::default(), _services: services, executions, seed })
    }

    /// Starts an engine and lists it.
    pub async fn start_engine(&self, place: &Place<'_>) -> Result<()> {
        let socket = listener().await?;
        let address = socket.local_addr().context(SocketSnafu)?;
        let options = EngineOptions {
            model: place.pool.into(),
            time_factor: ENGINE_TIME_FACTOR,
            seed: self.seed,
            ..EngineOptions::default()
        };
        let engine = Engine::start(socket, address, options);
        let instance = instance(place, address);
        self.platform.put_instance(instance.clone());
        self.engines.lock().insert(instance.id.clone(), Row { engine, instance });
        Ok(())
    }

    /// Gives every engine of a zone its reclaim notice.
    pub fn notify(&self, zone: &str) -> usize {
        self.set_state(zone, InstanceState::Leaving)
    }

    /// Ends every engine of a zone.
    pub fn reclaim(&self, zone: &str) {
        self.set_state(zone, InstanceState::Gone);
        self.engines.lock().retain(|_, row| {
            if row.instance.zone == zone {
                row.engine.kill();
            }
            row.instance.zone != zone
        });
    }

    fn set_state(&self, zone: &str, state: InstanceState) -> usize {
        let mut engines = self.engines.lock();
        let rows = engines.values_mut().filter(|row| row.instance.zone == zone);
        let changed = rows.map(|row| {
            row.instance.state = state;
            self.platform.put_instance(row.instance.clone());
        });
        changed.count()
    }

    /// Starts a daemon that serves once there is a configuration.
    pub async fn start_daemon(&self, name: &str, region: &str) -> Result<Daemon> {
        let settings = self.settings(name, region).await?;
        Daemon::start(settings, None).await.context(DaemonSnafu)
    }

    /// Settings of a daemon on free ports.
    pub async fn settings(&self, name: &str, region: &str) -> Result<Settings> {
        let overrides = Overrides {
            site: Some("demo".into()),
            name: Some(name.into()),
            region: Some(region.into()),
            zone: Some(format!("{region}-a")),
            callers: Some(free_port().await?),
            admin: Some(free_port().await?),
            peers: Some(free_port().await?),
            platform: Some(self.platform.address()),
            peer_secrets: Some(vec![format!("demonstration-secret-{}", self.seed)]),
            admin_token_sha256: Some(sha256_hex(TOKEN.as_bytes())),
            ..Overrides::default()
        };
        Settings::try_from(overrides).context(SettingsSnafu)
    }

    /// Keys that were executed more than once.
    pub fn doubles(&self) -> usize {
        self.executions.lock().values().filter(|count| **count > 1).count()
    }

    /// Keys among these that were executed.
    pub fn executed(&self, keys: &[String]) -> usize {
        let executions = self.executions.lock();
        keys.iter().filter(|key| executions.contains_key(*key)).count()
    }
}

/// Proposes the embedded configuration to a daemon.
pub(crate) async fn configure(admin: SocketAddr) -> Result<()> {
    let changes: Vec<_> = FILES.iter().map(|(name, text)| json!({ "name": name, "text": text })).collect();
    propose(admin, changes).await
}

/// Proposes changes to a daemon.
pub(crate) async fn propose(admin: SocketAddr, changes: Vec<Value>) -> Result<()> {
    let args = crate::args::AdminArgs { admin, token: TOKEN.into(), json: true };
    let body = json!({ "changes": changes });
    let answer = crate::cmd::send_request(&args, http::Method::POST, "/admin/config/propose", Some(&body)).await;
    match answer {
        Ok((http::StatusCode::OK, _)) => Ok(()),
        Ok((_, value)) => ConfigurationSnafu { reason: value.to_string() }.fail(),
        Err(error) => ConfigurationSnafu { reason: error.to_string() }.fail(),
    }
}

fn instance(place: &Place<'_>, address: SocketAddr) -> Instance {
    let zone = format!("{}-{}", place.region, place.letter);
    Instance {
        id: format!("{}-{zone}-{}", place.version, address.port()),
        address,
        pool: place.pool.into(),
        version: place.version.into(),
        zone,
        region: place.region.into(),
        state: InstanceState::Live,
    }
}

async fn listener() -> Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await.context(SocketSnafu)
}

/// A port that is free for TCP and UDP now.
async fn free_port() -> Result<SocketAddr> {
    loop {
        let socket = listener().await?;
        let address = socket.local_addr().context(SocketSnafu)?;
        if UdpSocket::bind(address).await.is_ok() {
            return Ok(address);
        }
    }
}
