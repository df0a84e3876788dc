//! The stand-ins of a run, and the daemons in front of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use snafu::ResultExt;
use tokio::{net::TcpListener, time::sleep};

use super::{
    binaries::Binaries,
    changes::Change,
    daemon::{Daemon, DaemonOptions},
    plan::Build,
    promises::BrokenPromises,
};
use crate::{
    engine::{Engine, EngineOptions},
    error::{Error, FileSnafu, Result},
    load::Targets,
    platform::{Instance, InstanceState, Platform},
    reserved_port::ReservedPort,
    service::{Executions, Service},
};

/// Key of the account that the load uses.
pub(super) const LOAD_KEY: &str = "key";
const ENGINE_COUNT: usize = 4;
const SERVICE_COUNT: usize = 2;
/// Speeds the engines up, so that streams are short.
const ENGINE_TIME_FACTOR: f64 = 0.3;
/// Time from the notice of a reclaim to the end of the engine.
const RECLAIM_NOTICE: Duration = Duration::from_secs(3);
/// Limit of a run's wait for a daemon to start or to exit.
const PROCESS_LIMIT: Duration = Duration::from_secs(30);
/// Limit of a run's wait for the first configuration.
const FIRST_CONFIG_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

// The quota is far above the load, so that the daemons share it without refusing a request.
const CONFIG: &str = "\
zones:
  region-0-a: { region: region-0 }
  region-1-a: { region: region-1 }
pools:
  models: { kind: model, checks-fences: true }
  orders: { kind: plain }
routes:
  chat: { pool: models, model: meal-planner, timeout-seconds: 60, retry-percent: 100 }
  confirm: { pool: orders, prefix: /orders/confirm, repeatable: false, timeout-seconds: 20 }
accounts:
  load:
    key-sha256: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683
    requests-per-second: 1000
";

pub(super) struct Site {
    pub platform: Platform,
    /// Executions of the load's keyed requests.
    pub executions: Executions,
    pub targets: Targets,
    /// Callers' addresses of the daemons that were killed or did not stop.
    pub killed: BTreeSet<SocketAddr>,
    pub daemons: Vec<Daemon>,
    binaries: Binaries,
    logs: Option<PathBuf>,
    engines: Vec<Engine>,
    /// The engine that is reclaimed next.
    next_reclaim: usize,
    /// Ports of the stand-ins, kept so that no other server answers at the address of a killed one.
    ports: Vec<ReservedPort>,
}

impl Site {
    /// Starts the stand-ins and the daemons, with the old program, and puts the first configuration into force.
    pub async fn start(binaries: Binaries, daemons: usize, seed: u64, logs: Option<PathBuf>) -> Result<Self> {
        let port = reserve_port()?;
        let platform = Platform::start(listen(&port)?, seed)?;
        let mut site = Self {
            platform,
            executions: Executions::default(),
            targets: Targets::default(),
            killed: BTreeSet::new(),
            daemons: Vec::new(),
            binaries,
            logs,
            engines: Vec::new(),
            next_reclaim: 0,
            ports: vec![port],
        };
        for _ in 0..ENGINE_COUNT {
            site.add_engine()?;
        }
        for number in 0..SERVICE_COUNT {
            site.add_service("orders", number, site.executions.clone())?;
            site.add_service("probes", number, Executions::default())?;
        }
        for slot in 0..daemons {
            let daemon = site.spawn(slot, 0, Build::Old)?;
            site.daemons.push(daemon);
        }
        site.put_first_config().await?;
        for slot in 0..daemons {
            if !site.wait_until_ready(slot).await {
                let (address, name) = (site.daemons[slot].callers, &site.daemons[slot].name);
                let reason = format!("{name} is not ready {} s after its start", PROCESS_LIMIT.as_secs());
                return Err(Error::Request { address, reason });
            }
        }
        Ok(site)
    }

    /// Stops a daemon gracefully. Callers go on to send requests there until it has ended. Returns the time until the exit.
    pub async fn stop(&mut self, slot: usize, broken: &mut BrokenPromises) -> Option<f64> {
        let start = Instant::now();
        let daemon = &mut self.daemons[slot];
        let status = daemon.stop(PROCESS_LIMIT).await;
        self.targets.remove(daemon.callers);
        match status {
            Some(status) if status.success() => return Some(start.elapsed().as_secs_f64()),
            Some(status) => broken.push(format!("{} was stopped and ended with {status}", daemon.name)),
            None => {
                broken.push(format!("{} runs {} s after SIGTERM", daemon.name, PROCESS_LIMIT.as_secs()));
                self.kill(slot);
            }
        }
        None
    }

    /// Kills a daemon without notice. Returns its name.
    pub fn kill(&mut self, slot: usize) -> String {
        let daemon = &mut self.daemons[slot];
        daemon.kill();
        self.killed.insert(daemon.callers);
        self.targets.remove(daemon.callers);
        daemon.name.clone()
    }

    /// Starts a daemon in the place of one that has ended. Returns the time until it was ready.
    pub async fn replace(&mut self, slot: usize, build: Build, broken: &mut BrokenPromises) -> Result<Option<f64>> {
        let start = Instant::now();
        self.daemons[slot] = self.spawn(slot, self.daemons[slot].generation + 1, build)?;
        if self.wait_until_ready(slot).await {
            return Ok(Some(start.elapsed().as_secs_f64()));
        }
        let name = &self.daemons[slot].name;
        broken.push(format!("{name} is not ready {} s after its start", PROCESS_LIMIT.as_secs()));
        Ok(None)
    }

    /// Replaces the daemons that have ended by themselves.
    pub async fn replace_ended(&mut self, broken: &mut BrokenPromises) -> Result<()> {
        for slot in 0..self.daemons.len() {
            let daemon = &mut self.daemons[slot];
            let Some(status) = daemon.exit_status() else { continue };
            broken.push(format!("{} ended by itself with {status}", daemon.name));
            self.targets.remove(daemon.callers);
            let build = daemon.build;
            self.replace(slot, build, broken).await?;
        }
        Ok(())
    }

    /// Announces that an engine is reclaimed, starts another one and ends it after the notice, in the background.
    pub fn reclaim_engine(&mut self) -> Result<()> {
        let number = self.next_reclaim;
        self.next_reclaim += 1;
        self.add_engine()?;
        let (engine, platform) = (self.engines[number].clone(), self.platform.clone());
        let row = |state| engine_row(number, engine.address(), state);
        platform.put_instance(row(InstanceState::Leaving));
        let gone = row(InstanceState::Gone);
        tokio::spawn(async move {
            sleep(RECLAIM_NOTICE).await;
            engine.kill();
            platform.put_instance(gone);
        });
        Ok(())
    }

    /// Proposes a change to a daemon until it is acknowledged. Returns when that was.
    pub async fn propose(&self, slot: usize, files: &[(String, Option<String>)], limit: Duration) -> Result<Instant> {
        let start = Instant::now();
        loop {
            match self.daemons[slot].propose(files).await {
                Ok(()) => return Ok(Instant::now()),
                Err(error) if start.elapsed() > limit => return Err(error),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Slots of the daemons that run.
    pub fn running(&mut self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|slot| self.daemons[*slot].exit_status().is_none()).collect()
    }

    /// Waits until the running daemons count exactly themselves as alive. Returns the time until then.
    pub async fn wait_until_agreed(&mut self, limit: Duration, broken: &mut BrokenPromises) -> Option<f64> {
        let start = Instant::now();
        loop {
            let running = self.running();
            let names: BTreeSet<_> = running.iter().map(|slot| self.daemons[*slot].name.clone()).collect();
            let mut views = BTreeMap::new();
            for slot in running {
                let daemon = &self.daemons[slot];
                views.insert(daemon.name.clone(), daemon.alive_members().await);
            }
            if views.values().all(|view| *view == names) {
                return Some(start.elapsed().as_secs_f64());
            }
            if start.elapsed() > limit {
                broken.check_members(&names, &views, &format!("after {} s", limit.as_secs()));
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn put_first_config(&self) -> Result<()> {
        let mut files = Change::first_files();
        files.push(("10-site.yaml".into(), Some(CONFIG.into())));
        self.propose(0, &files, FIRST_CONFIG_LIMIT).await?;
        Ok(())
    }

    async fn wait_until_ready(&mut self, slot: usize) -> bool {
        let daemon = &mut self.daemons[slot];
        let is_ready = daemon.wait_until_ready(PROCESS_LIMIT).await;
        if is_ready {
            self.targets.add(daemon.callers);
        }
        is_ready
    }

    fn spawn(&self, slot: usize, generation: usize, build: Build) -> Result<Daemon> {
        Daemon::start(&DaemonOptions {
            binary: self.binaries.of(build),
            build,
            slot,
            generation,
            platform: self.platform.address(),
            join: self.daemons.iter().enumerate().filter(|(at, _)| *at != slot).map(|(_, d)| d.peers).collect(),
            logs: self.logs.as_deref(),
        })
    }

    fn add_engine(&mut self) -> Result<()> {
        let port = reserve_port()?;
        let number = self.engines.len();
        let options =
            EngineOptions { time_factor: ENGINE_TIME_FACTOR, seed: number as u64 + 1, ..EngineOptions::default() };
        self.engines.push(Engine::start(listen(&port)?, port.address(), options));
        self.platform.put_instance(engine_row(number, port.address(), InstanceState::Live));
        self.ports.push(port);
        Ok(())
    }

    fn add_service(&mut self, pool: &str, number: usize, executions: Executions) -> Result<()> {
        let port = reserve_port()?;
        Service::start(listen(&port)?, port.address(), executions, number as u64 + 1);
        self.platform.put_instance(row(pool, number, port.address(), InstanceState::Live));
        self.ports.push(port);
        Ok(())
    }
}

fn engine_row(number: usize, address: SocketAddr, state: InstanceState) -> Instance {
    row("models", number, address, state)
}

fn row(pool: &str, number: usize, address: SocketAddr, state: InstanceState) -> Instance {
    let region = format!("region-{}", number % 2);
    Instance {
        id: format!("{pool}-{number}"),
        address,
        pool: pool.into(),
        version: format!("{pool}-1"),
        zone: format!("{region}-a"),
        region,
        state,
    }
}

fn reserve_port() -> Result<ReservedPort> {
    ReservedPort::new().context(FileSnafu { path: "a free port" })
}

fn listen(port: &ReservedPort) -> Result<TcpListener> {
    port.listen().context(FileSnafu { path: port.address().to_string() })
}
