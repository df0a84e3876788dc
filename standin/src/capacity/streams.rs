//! One daemon that passes a growing number of streams on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    fleet::{Fleet, instance, listener},
    rows::StreamRow,
};
use crate::{
    engine::{Engine, EngineOptions},
    error::Result,
    load::{self, LoadPlan, Targets, Workload},
    platform::Platform,
};

/// Streams in flight.
const SIZES: [u64; 6] = [0, 50, 100, 200, 400, 800];
/// Engines that answer.
const ENGINES: usize = 8;
/// Tokens of an answer.
const TOKENS: usize = 400;
/// Time over which costs are measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Time of an answer of [`TOKENS`], about, in seconds.
const ANSWER_SECONDS: f64 = 10.0;

const CONFIG: &str = "pools:\n  models: { kind: model, concurrency: 512 }\nroutes:\n  chat: { pool: models, model: meal-planner }\naccounts:\n  all: { key-sha256: 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683 }\n";

/// Measures each number of streams.
pub(crate) async fn measure(seed: u64) -> Result<Vec<StreamRow>> {
    let mut rows = Vec::new();
    for streams in SIZES {
        let row = measure_one(streams, seed).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    Ok(rows)
}

async fn measure_one(streams: u64, seed: u64) -> Result<StreamRow> {
    let platform = Platform::start(listener().await?.0, seed)?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let (socket, address) = listener().await?;
        let options = EngineOptions { max_batch_size: 512, time_factor: 1.0, ..EngineOptions::default() };
        engines.push(Engine::start(socket, address, options));
        platform.put_instance(instance("models", number, address));
    }
    let fleet = Fleet::start(1, platform.address(), 1, CONFIG).await?;
    sleep(Duration::from_secs(2)).await;
    let plan = LoadPlan {
        targets: Targets::new(vec![fleet.nodes[0].callers]),
        key: "key".into(),
        workload: Workload { prefix_words: 20, suffix_words: 10, tokens: TOKENS, ..Workload::swanvale() },
        streams_per_second: streams as f64 / ANSWER_SECONDS,
        keyed_per_second: 0.0,
        duration: WINDOW + Duration::from_secs(10),
        max_retries: 0,
        seed,
    };
    let load = tokio::spawn(load::run(plan, Arc::default()));
    sleep(Duration::from_secs(9)).await;
    let (start, cpu) = (Instant::now(), fleet.cpu());
    let tokens = fleet.nodes[0].metric("tokens_total ", "").await;
    sleep(WINDOW).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu_percent = 100.0 * (fleet.cpu() - cpu) / seconds;
    let tokens_per_s = (fleet.nodes[0].metric("tokens_total ", "").await - tokens) / seconds;
    let rss_mb = fleet.rss();
    let in_flight = fleet.nodes[0].metric("in_flight ", "").await;
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
