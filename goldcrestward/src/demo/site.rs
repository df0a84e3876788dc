//! Stand-ins and daemons of the demonstration's site.

use std::{collections::BTreeMap, net::SocketAddr};

use parking_lot::Mutex;
use serde_json::{Value, json};
use snafu::ResultExt;
use standin::{
    engine::{Engine, EngineOptions},
    platform::{Instance, InstanceState, Platform},
    reserved_port::ReservedPort,
    service::{Executions, Service},
};
use tokio::net::TcpListener;

use super::{
    daemon::DemoDaemon,
    error::{ConfigurationSnafu, Result, SettingsSnafu, SocketSnafu, StandInSnafu},
};
use crate::{
    process::{Overrides, Settings},
    util::sha256_hex,
};

pub(crate) const ADMIN_TOKEN: &str = "demo-operator";
/// Factor applied to the engines' simulated times.
const ENGINE_TIME_FACTOR: f64 = 1.0;
/// Time until a change shows in the platform's instance list, in ms.
const LIST_LAG_MS: u64 = 300;

/// Embedded configuration: the examples of both users, merged into one site.
const CONFIG_FILES: [(&str, &str); 12] = [
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

/// An engine and its instance in the platform's list.
struct ListedEngine {
    engine: Engine,
    instance: Instance,
}

/// Platform, engines and services of the site.
pub(crate) struct DemoSite {
    platform: Platform,
    engines: Mutex<BTreeMap<String, ListedEngine>>,
    _services: Vec<Service>,
    executions: Executions,
    /// Ports of all stand-ins and daemons, so that nothing else answers at the address of a stopped one.
    ports: Mutex<Vec<ReservedPort>>,
    seed: u64,
}

/// Location and version of an instance to start.
pub(crate) struct InstanceSpec<'a> {
    pub pool: &'a str,
    pub version: &'a str,
    /// Region; the zone is named after it, with `zone_letter` appended.
    pub region: &'a str,
    pub zone_letter: char,
}

impl DemoSite {
    /// Starts the platform and the plain services.
    pub async fn start(seed: u64) -> Result<Self> {
        let mut ports = Vec::new();
        let platform = Platform::start(listen(&mut ports)?.0, seed).context(StandInSnafu)?;
        platform.set_faults(standin::platform::PlatformFaults { list_lag_ms: LIST_LAG_MS, ..Default::default() });
        let executions = Executions::default();
        let mut services = Vec::new();
        for (pool, region) in [("orders", "perth-metro"), ("bookings", "pohja")] {
            for zone_letter in ['a', 'b', 'c'] {
                let (socket, address) = listen(&mut ports)?;
                services.push(Service::start(socket, address, executions.clone(), seed));
                let spec = InstanceSpec { pool, version: &format!("{pool}-1"), region, zone_letter };
                platform.put_instance(instance(&spec, address));
            }
        }
        let ports = Mutex::new(ports);
        Ok(Self { platform, engines: Mutex::default(), _services: services, executions, ports, seed })
    }

    /// Starts an engine and adds it to the platform's list.
    pub async fn start_engine(&self, spec: &InstanceSpec<'_>) -> Result<()> {
        let (socket, address) = listen(&mut self.ports.lock())?;
        let options = EngineOptions {
            model: spec.pool.into(),
            time_factor: ENGINE_TIME_FACTOR,
            seed: self.seed,
            ..EngineOptions::default()
        };
        let engine = Engine::start(socket, address, options);
        let instance = instance(spec, address);
        self.platform.put_instance(instance.clone());
        self.engines.lock().insert(instance.id.clone(), ListedEngine { engine, instance });
        Ok(())
    }

    /// Lists every engine of a zone with a reclaim notice and returns their number.
    pub fn send_reclaim_notice(&self, zone: &str) -> usize {
        self.set_state(zone, InstanceState::Leaving)
    }

    /// Stops every engine of a zone and lists it as gone.
    pub fn reclaim(&self, zone: &str) {
        self.set_state(zone, InstanceState::Gone);
        self.engines.lock().retain(|_, listed| {
            if listed.instance.zone == zone {
                listed.engine.kill();
            }
            listed.instance.zone != zone
        });
    }

    fn set_state(&self, zone: &str, state: InstanceState) -> usize {
        let mut engines = self.engines.lock();
        let in_zone = engines.values_mut().filter(|listed| listed.instance.zone == zone);
        let changed = in_zone.map(|listed| {
            listed.instance.state = state;
            self.platform.put_instance(listed.instance.clone());
        });
        changed.count()
    }

    /// Starts a daemon, which serves once there is a configuration.
    pub async fn start_daemon(&self, name: &str, region: &str) -> Result<DemoDaemon> {
        DemoDaemon::start(self.settings(name, region)?).await
    }

    /// Settings of a daemon, with ports of its own.
    pub fn settings(&self, name: &str, region: &str) -> Result<Settings> {
        let overrides = Overrides {
            site: Some("demo".into()),
            name: Some(name.into()),
            region: Some(region.into()),
            zone: Some(format!("{region}-a")),
            callers: Some(self.reserve_port()?),
            admin: Some(self.reserve_port()?),
            peers: Some(self.reserve_port()?),
            platform: Some(self.platform.address()),
            peer_secrets: Some(vec![format!("demonstration-secret-{}", self.seed)]),
            admin_token_sha256: Some(sha256_hex(ADMIN_TOKEN.as_bytes())),
            ..Overrides::default()
        };
        Settings::try_from(overrides).context(SettingsSnafu)
    }

    fn reserve_port(&self) -> Result<SocketAddr> {
        let port = ReservedPort::new().context(SocketSnafu)?;
        let address = port.address();
        self.ports.lock().push(port);
        Ok(address)
    }

    /// Number of idempotency keys that were executed more than once.
    pub fn count_double_executions(&self) -> usize {
        self.executions.lock().values().filter(|count| **count > 1).count()
    }

    /// Number of the given idempotency keys that were executed.
    pub fn count_executed(&self, keys: &[String]) -> usize {
        let executions = self.executions.lock();
        keys.iter().filter(|key| executions.contains_key(*key)).count()
    }
}

/// Proposes the embedded configuration to a daemon.
pub(crate) async fn propose_config(admin: SocketAddr) -> Result<()> {
    let changes: Vec<_> = CONFIG_FILES.iter().map(|(name, text)| json!({ "name": name, "text": text })).collect();
    propose_changes(admin, changes).await
}

/// Proposes configuration changes to a daemon.
pub(crate) async fn propose_changes(admin: SocketAddr, changes: Vec<Value>) -> Result<()> {
    let args = crate::args::AdminArgs { admin, token: ADMIN_TOKEN.into(), json: true };
    let body = json!({ "changes": changes });
    let response = crate::cmd::send_request(&args, http::Method::POST, "/admin/config/propose", Some(&body)).await;
    match response {
        Ok((http::StatusCode::OK, _)) => Ok(()),
        Ok((_, value)) => ConfigurationSnafu { reason: value.to_string() }.fail(),
        Err(error) => ConfigurationSnafu { reason: error.to_string() }.fail(),
    }
}

fn instance(spec: &InstanceSpec<'_>, address: SocketAddr) -> Instance {
    let zone = format!("{}-{}", spec.region, spec.zone_letter);
    Instance {
        id: format!("{}-{zone}-{}", spec.version, address.port()),
        address,
        pool: spec.pool.into(),
        version: spec.version.into(),
        zone,
        region: spec.region.into(),
        state: InstanceState::Live,
    }
}

/// Listens on a port that is kept in `ports`.
fn listen(ports: &mut Vec<ReservedPort>) -> Result<(TcpListener, SocketAddr)> {
    let port = ReservedPort::new().context(SocketSnafu)?;
    let listener = port.listen().context(SocketSnafu)?;
    let address = port.address();
    ports.push(port);
    Ok((listener, address))
}
