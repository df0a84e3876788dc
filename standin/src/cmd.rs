//! Carries out the commands of the stand-ins.

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
    args::{Command, LoadArgs, Registration},
    capacity,
    engine::{Engine, EngineOptions},
    error::{FileSnafu, Result},
    faults::{FaultProxy, LinkFaults},
    http::listen,
    load::{self, LoadPlan, Targets, Workload},
    platform::{Instance, InstanceState, Platform},
    service::{Executions, Service},
};

/// Carries a command out.
///
/// # Errors
/// Says what could not be done.
pub fn run(command: Command) -> Result<()> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build().context(FileSnafu { path: "runtime" })?;
    runtime.block_on(perform(command))
}

async fn perform(command: Command) -> Result<()> {
    match command {
        Command::Platform { listen: address, seed } => {
            let _platform = Platform::start(listen(address)?, seed)?;
            std::future::pending().await
        }
        Command::Engine { listen: address, seed, model, batch, factor, registration } => {
            let options =
                EngineOptions { model, max_batch_size: batch, time_factor: factor, seed, ..EngineOptions::default() };
            let engine = Engine::start(listen(address)?, address, options);
            register(address, registration).await?;
            engine.crashed().await;
            Ok(())
        }
        Command::Service { listen: address, seed, registration } => {
            let _service = Service::start(listen(address)?, address, Executions::default(), seed);
            register(address, registration).await?;
            std::future::pending().await
        }
        Command::Faults { listen: address, seed, upstream, loss, delay_ms, cut_answers } => {
            let link = FaultProxy::new(upstream, seed);
            link.set_faults(LinkFaults { loss, delay_ms, cut_answers, ..LinkFaults::default() });
            let socket = UdpSocket::bind(address).await.context(FileSnafu { path: address.to_string() })?;
            tokio::spawn(link.clone().forward_udp(socket));
            link.forward_tcp(listen(address)?).await;
            Ok(())
        }
        Command::Capacity(args) => capacity::run(&args).await,
        Command::Load(args) => send(args).await,
    }
}

async fn register(address: SocketAddr, registration: Option<Registration>) -> Result<()> {
    let Some(given) = registration else { return Ok(()) };
    let instance = Instance {
        id: given.id,
        address,
        pool: given.pool,
        version: given.version,
        zone: given.zone,
        region: given.region,
        state: InstanceState::Live,
    };
    let _: Value = crate::http::put(given.platform, "/v1/instances", &instance).await?;
    Ok(())
}

async fn send(args: LoadArgs) -> Result<()> {
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
        max_retries: args.tries,
        seed: args.seed,
    };
    let report = if args.beside.is_empty() {
        json!(load::run(plan, Arc::default()).await)
    } else {
        let other = LoadPlan { targets: Targets::new(args.beside), ..plan.clone() };
        let (through, beside) = tokio::join!(load::run(plan, Arc::default()), load::run(other, Arc::default()));
        json!({ "targets": through, "beside": beside })
    };
    writeln!(io::stdout().lock(), "{report:#}").context(FileSnafu { path: "standard output" })
}
