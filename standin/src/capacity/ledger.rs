//! Cost of seven daemons at growing rates of requests with an idempotency key.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    fleet::{Fleet, listener, live_instance},
    rows::LedgerRow,
};
use crate::{
    error::Result,
    load::{self, LoadPlan, Targets, Workload},
    platform::Platform,
    service::{Executions, Service},
};

/// Keyed requests per second.
const REQUEST_RATES: [f64; 5] = [10.0, 25.0, 50.0, 100.0, 200.0];
const DAEMON_COUNT: usize = 7;
/// Time during which requests are sent.
const SEND_TIME: Duration = Duration::from_secs(15);

const CONFIG: &str = "pools:\n  orders: { kind: plain }\nroutes:\n  once: { pool: orders, prefix: /orders/confirm, repeatable: false }\naccounts:\n  all: { key-sha256: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683 }\n";

/// Measures the site at each rate.
pub(crate) async fn measure(seed: u64) -> Result<Vec<LedgerRow>> {
    let mut rows = Vec::new();
    for rate in REQUEST_RATES {
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
        platform.put_instance(live_instance("orders", number, address));
    }
    let fleet = Fleet::start(DAEMON_COUNT, platform.address(), 1, CONFIG).await?;
    sleep(Duration::from_secs(3)).await;
    let writes = || platform.counters().get("txn:ledger").copied().unwrap_or(0) as f64;
    let plan = LoadPlan {
        targets: Targets::new(fleet.daemons.iter().map(|d| d.callers).collect()),
        key: "key".into(),
        workload: Workload::swanvale(),
        streams_per_second: 0.0,
        keyed_per_second: rate,
        duration: SEND_TIME,
        max_retries: 0,
        seed,
    };
    let (start, cpu_before, writes_before) = (Instant::now(), fleet.cpu_seconds(), writes());
    let report = load::run(plan, Arc::default()).await;
    let cpu_percent = 100.0 * (fleet.cpu_seconds() - cpu_before) / start.elapsed().as_secs_f64();
    // The ledger writes outcomes up to 1 s after the last claim.
    sleep(Duration::from_secs(2)).await;
    Ok(LedgerRow {
        calls_per_s: report.keyed as f64 / SEND_TIME.as_secs_f64(),
        writes_per_call: (writes() - writes_before) / report.keyed as f64,
        p50_ms: report.keyed_ms.p50,
        p95_ms: report.keyed_ms.p95,
        cpu_percent,
        rss_mb: fleet.rss_mb(),
        doubles: executions.lock().values().filter(|count| **count > 1).count() as u64,
    })
}
