//! Cost of one daemon at growing numbers of forwarded streams.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    fleet::{Fleet, listener, live_instance},
    rows::StreamRow,
};
use crate::{
    engine::{Engine, EngineOptions},
    error::Result,
    load::{self, LoadPlan, Targets, Workload},
    platform::Platform,
};

/// Intended numbers of streams in flight.
const STREAM_COUNTS: [u64; 6] = [0, 50, 100, 200, 400, 800];
const ENGINE_COUNT: usize = 8;
const ANSWER_TOKENS: usize = 400;
/// Time over which CPU use and tokens are measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Approximate duration of an answer of [`ANSWER_TOKENS`] tokens, in seconds.
const ANSWER_SECONDS: f64 = 10.0;

const CONFIG: &str = "pools:\n  models: { kind: model, concurrency: 512 }\nroutes:\n  chat: { pool: models, model: meal-planner }\naccounts:\n  all: { key-sha256: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683 }\n";

/// Measures a daemon at each number of streams.
pub(crate) async fn measure(seed: u64) -> Result<Vec<StreamRow>> {
    let mut rows = Vec::new();
    for streams in STREAM_COUNTS {
        let row = measure_one(streams, seed).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    Ok(rows)
}

async fn measure_one(streams: u64, seed: u64) -> Result<StreamRow> {
    let platform = Platform::start(listener().await?.0, seed)?;
    let mut engines = Vec::new();
    for number in 0..ENGINE_COUNT {
        let (socket, address) = listener().await?;
        let options = EngineOptions { max_batch_size: 512, time_factor: 1.0, ..EngineOptions::default() };
        engines.push(Engine::start(socket, address, options));
        platform.put_instance(live_instance("models", number, address));
    }
    let fleet = Fleet::start(1, platform.address(), 1, CONFIG).await?;
    sleep(Duration::from_secs(2)).await;
    let plan = LoadPlan {
        targets: Targets::new(vec![fleet.daemons[0].callers]),
        key: "key".into(),
        workload: Workload { prefix_words: 20, suffix_words: 10, tokens: ANSWER_TOKENS, ..Workload::swanvale() },
        streams_per_second: streams as f64 / ANSWER_SECONDS,
        keyed_per_second: 0.0,
        duration: MEASURE_TIME + Duration::from_secs(10),
        max_retries: 0,
        seed,
    };
    let load = tokio::spawn(load::run(plan, Arc::default()));
    sleep(Duration::from_secs(9)).await;
    let (start, cpu_before) = (Instant::now(), fleet.cpu_seconds());
    let tokens_before = fleet.daemons[0].metric_sum("tokens_total ", "").await;
    sleep(MEASURE_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu_percent = 100.0 * (fleet.cpu_seconds() - cpu_before) / seconds;
    let tokens_per_s = (fleet.daemons[0].metric_sum("tokens_total ", "").await - tokens_before) / seconds;
    let rss_mb = fleet.rss_mb();
    let in_flight = fleet.daemons[0].metric_sum("in_flight ", "").await;
    let report = load.await.unwrap_or_default();
    Ok(StreamRow {
        streams: in_flight as u64,
        tokens_per_s,
        cpu_percent,
        rss_mb,
        first_token_p50_ms: report.first_token_ms.p50,
        first_token_p95_ms: report.first_token_ms.p95,
        broken: report.streams - report.whole,
    })
}
