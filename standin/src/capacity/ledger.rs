//! Seven daemons that take a growing number of keyed calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    fleet::{Fleet, instance, listener},
    rows::LedgerRow,
};
use crate::{
    error::Result,
    load::{self, LoadPlan, Targets, Workload},
    platform::Platform,
    service::{Executions, Service},
};

/// Keyed calls a second.
const RATES: [f64; 5] = [10.0, 25.0, 50.0, 100.0, 200.0];
/// Daemons.
const DAEMONS: usize = 7;
/// Time over which calls are sent.
const WINDOW: Duration = Duration::from_secs(15);

const CONFIG: &str = "pools:\n  orders: { kind: plain }\nroutes:\n  once: { pool: orders, prefix: /orders/confirm, repeatable: false }\naccounts:\n  all: { key-sha256: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683 }\n";

/// Measures each rate.
pub(crate) async fn measure(seed: u64) -> Result<Vec<LedgerRow>> {
    let mut rows = Vec::new();
    for rate in RATES {
        let row = measure_one(rate, seed).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    Ok(rows)
}

async fn measure_one(rate: f64, seed: u64) -> Result<LedgerRow> {
    let platform = Platform::start(listener().await?.0, seed)?;
    let executions = Executions::default();
    let mut services = Vec::new();
    for number in 0..3 {
        let (socket, address) = listener().await?;
        services.push(Service::start(socket, address, executions.clone(), seed));
        platform.put_instance(instance("orders", number, address));
    }
    let fleet = Fleet::start(DAEMONS, platform.address(), 1, CONFIG).await?;
    sleep(Duration::from_secs(3)).await;
    let writes = || platform.counters().get("txn:ledger").copied().unwrap_or(0) as f64;
    let plan = LoadPlan {
        targets: Targets::new(fleet.nodes.iter().map(|n| n.callers).collect()),
        key: "key".into(),
        workload: Workload::swanvale(),
        streams_per_second: 0.0,
        keyed_per_second: rate,
        duration: WINDOW,
        max_retries: 0,
        seed,
    };
    let (start, cpu, before) = (Instant::now(), fleet.cpu(), writes());
    let report = load::run(plan, Arc::default()).await;
    let cpu_percent = 100.0 * (fleet.cpu() - cpu) / start.elapsed().as_secs_f64();
    // Outcomes are written up to a second after the last claim.
    sleep(Duration::from_secs(2)).await;
    Ok(LedgerRow {
        calls_per_s: report.keyed as f64 / WINDOW.as_secs_f64(),
        writes_per_call: (writes() - before) / report.keyed as f64,
        p50_ms: report.keyed_ms.p50,
        p95_ms: report.keyed_ms.p95,
        cpu_percent,
        rss_mb: fleet.rss(),
        doubles: executions.lock().values().filter(|count| **count > 1).count() as u64,
    })
}
