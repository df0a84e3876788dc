//! Runs the subcommands of the stand-ins.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::net::UdpSocket;

use crate::{
    args::{Command, LoadArgs, Registration, UpgradeArgs},
    capacity,
    engine::{Engine, EngineOptions},
    error::{FileSnafu, PromisesBrokenSnafu, Result},
    fault_proxy::{FaultProxy, LinkFaults},
    http::listen,
    load::{self, LoadPlan, Targets, Workload},
    platform::{Instance, InstanceState, Platform},
    service::{Executions, Service},
    upgrade::{self, Phase, UpgradeOptions},
};

/// Runs a subcommand to its end; the servers run until the process is stopped.
///
/// # Errors
/// Fails when a socket, file or other process cannot be used.
pub fn run(command: Command) -> Result<()> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build().context(FileSnafu { path: "runtime" })?;
    runtime.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> Result<()> {
    match command {
        Command::Platform { listen: address, seed } => {
            let _platform = Platform::start(listen(address)?, seed)?;
            std::future::pending().await
        }
        Command::Engine { listen: address, seed, model, max_batch_size, time_factor, registration } => {
            let options = EngineOptions { model, max_batch_size, time_factor, seed, ..EngineOptions::default() };
            let engine = Engine::start(listen(address)?, address, options);
            register(address, registration).await?;
            engine.wait_for_crash().await;
            Ok(())
        }
        Command::Service { listen: address, seed, registration } => {
            let _service = Service::start(listen(address)?, address, Executions::default(), seed);
            register(address, registration).await?;
            std::future::pending().await
        }
        Command::FaultProxy { listen: address, seed, upstream, loss, delay_ms, cut_answers } => {
            let proxy = FaultProxy::new(upstream, seed);
            proxy.set_faults(LinkFaults { loss, delay_ms, cut_answers, ..LinkFaults::default() });
            let socket = UdpSocket::bind(address).await.context(FileSnafu { path: address.to_string() })?;
            tokio::spawn(proxy.clone().forward_udp(socket));
            proxy.forward_tcp(listen(address)?).await;
            Ok(())
        }
        Command::Capacity(args) => capacity::run(&args).await,
        Command::Load(args) => run_load(args).await,
        Command::Upgrade(args) => run_upgrade(args).await,
    }
}

async fn register(address: SocketAddr, registration: Option<Registration>) -> Result<()> {
    let Some(registration) = registration else { return Ok(()) };
    let instance = Instance {
        id: registration.id,
        address,
        pool: registration.pool,
        version: registration.version,
        zone: registration.zone,
        region: registration.region,
        state: InstanceState::Live,
    };
    let _: Value = crate::http::put(registration.platform, "/v1/instances", &instance).await?;
    Ok(())
}

async fn run_load(args: LoadArgs) -> Result<()> {
    let mut workload = match args.workload.as_str() {
        "klaasvikat" => Workload::klaasvikat(),
        _ => Workload::swanvale(),
    };
    workload.tokens = args.tokens.unwrap_or(workload.tokens);
    let plan = LoadPlan {
        targets: Targets::new(args.target),
        key: args.key,
        workload,
        streams_per_second: args.streams,
        keyed_per_second: args.keyed,
        duration: Duration::from_secs(args.seconds),
        max_retries: args.max_retries,
        seed: args.seed,
    };
    let report = if args.beside.is_empty() {
        json!(load::run(plan, Arc::default()).await)
    } else {
        let beside_plan = LoadPlan { targets: Targets::new(args.beside), ..plan.clone() };
        let (targets_report, beside_report) =
            tokio::join!(load::run(plan, Arc::default()), load::run(beside_plan, Arc::default()));
        json!({ "targets": targets_report, "beside": beside_report })
    };
    writeln!(io::stdout().lock(), "{report:#}").context(FileSnafu { path: "standard output" })
}

async fn run_upgrade(args: UpgradeArgs) -> Result<()> {
    let UpgradeArgs { old, new, daemons, seed, logs, json } = args;
    if let Some(folder) = &logs {
        std::fs::create_dir_all(folder).context(FileSnafu { path: folder.display().to_string() })?;
    }
    let phases = Phase::ALL.to_vec();
    let report = upgrade::run(UpgradeOptions { old, new, daemons, phases, seed, logs }).await?;
    let mut out = io::stdout().lock();
    let written = if json { writeln!(out, "{:#}", json!(report)) } else { report.write_table(&mut out) };
    written.context(FileSnafu { path: "standard output" })?;
    snafu::ensure!(report.broken.is_empty(), PromisesBrokenSnafu { count: report.broken.len() });
    Ok(())
}
