//! Cost of one daemon at growing numbers of replicas.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    fleet::{Fleet, listener},
    rows::ReplicaRow,
};
use crate::{
    error::Result,
    platform::{Instance, InstanceState, Platform},
};

const REPLICA_COUNTS: [u64; 6] = [0, 375, 1_500, 3_000, 6_000, 12_000];
/// Time over which CPU use is measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);

const CONFIG: &str = "pools:\n  models: { kind: model }\nroutes:\n  chat: { pool: models, model: chat }\n";

/// Measures a daemon at each number of replicas.
pub(crate) async fn measure(seed: u64) -> Result<Vec<ReplicaRow>> {
    let mut rows = Vec::new();
    for replicas in REPLICA_COUNTS {
        let platform = Platform::start(listener().await?.0, seed)?;
        for number in 0..replicas {
            platform.put_instance(live_instance(number));
        }
        let fleet = Fleet::start(1, platform.address(), 1, CONFIG).await?;
        sleep(Duration::from_secs(4)).await;
        let (start, cpu_before) = (Instant::now(), fleet.cpu_seconds());
        sleep(MEASURE_TIME).await;
        let cpu_percent = 100.0 * (fleet.cpu_seconds() - cpu_before) / start.elapsed().as_secs_f64();
        let row = ReplicaRow { replicas, rss_mb: fleet.rss_mb(), cpu_percent };
        eprintln!("{row:?}");
        rows.push(row);
    }
    Ok(rows)
}

fn live_instance(number: u64) -> Instance {
    let region = number % 11;
    Instance {
        id: format!("instance-{number:08}"),
        address: SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 9_000)),
        pool: "models".into(),
        version: "models-1".into(),
        zone: format!("region-{region}-{}", number % 3),
        region: format!("region-{region}"),
        state: InstanceState::Live,
    }
}
