//! Rows of the CSV files of measurements.

use std::path::Path;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// Cost of the control plane at one number of daemons, without traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlRow {
    pub daemons: u64,
    /// CPU use of a daemon while idle, in percent of a core.
    pub idle_cpu_percent: f64,
    /// Resident memory of a daemon, in megabytes.
    pub rss_mb: f64,
    /// Peer messages that a daemon sends per second while idle.
    pub idle_messages_per_s: f64,
    /// Bytes that a daemon sends to peers per second while idle.
    pub idle_bytes_per_s: f64,
    /// Calls of the whole site to the key-value service per second while idle.
    pub idle_kv_calls_per_s: f64,
    /// Watches of the whole site on the key-value service: computed from the number of daemons, not measured.
    pub watches: f64,
    /// CPU use of a daemon at 0.9 changes per second, in percent of a core.
    pub changing_cpu_percent: f64,
    /// Bytes that a daemon sends to peers per second at 0.9 changes per second.
    pub changing_bytes_per_s: f64,
    /// Calls of the whole site to the key-value service per second at 0.9 changes per second.
    pub changing_kv_calls_per_s: f64,
    /// Seconds until one change is in force on the last daemon.
    pub one_in_force_s: f64,
    /// Seconds from the first of 50 changes until the last is in force on the last daemon.
    pub burst_in_force_s: f64,
    /// Seconds until another daemon marks a killed daemon as dead.
    pub detect_s: f64,
}

/// Cost of one daemon at one number of replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRow {
    pub replicas: u64,
    /// Resident memory of the daemon, in megabytes.
    pub rss_mb: f64,
    /// CPU use while the instance list does not change, in percent of a core.
    pub cpu_percent: f64,
}

/// Cost of one daemon that forwards streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamRow {
    /// Streams in flight at the end of the measurement.
    pub streams: u64,
    /// Tokens forwarded per second.
    pub tokens_per_s: f64,
    /// CPU use, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
    /// Median time to the first token, in ms.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token, in ms.
    pub first_token_p95_ms: f64,
    /// Streams without a complete and correct response.
    pub broken: u64,
}

/// Cost of requests with an idempotency key at a site of seven daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Keyed requests per second.
    pub calls_per_s: f64,
    /// Transactions of the ledger on the key-value service per keyed request.
    pub writes_per_call: f64,
    /// Median time of a keyed request, in ms.
    pub p50_ms: f64,
    /// 95th percentile of the time of a keyed request, in ms.
    pub p95_ms: f64,
    /// CPU use of a daemon, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of a daemon, in megabytes.
    pub rss_mb: f64,
    /// Idempotency keys executed more than once.
    pub doubles: u64,
}

/// Writes rows to a CSV file.
///
/// # Errors
/// Fails when the file cannot be written.
pub fn write<T: Serialize>(path: &Path, rows: &[T]) -> Result<()> {
    let fail = |error: csv::Error| Error::File { path: path.display().to_string(), source: error.into() };
    let mut writer = csv::Writer::from_path(path).map_err(fail)?;
    for row in rows {
        writer.serialize(row).map_err(fail)?;
    }
    writer.flush().map_err(|source| Error::File { path: path.display().to_string(), source })
}

/// Reads the rows of a CSV file.
///
/// # Errors
/// Fails when the file cannot be read or a row cannot be parsed.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let fail = |error: csv::Error| Error::File { path: path.display().to_string(), source: error.into() };
    let mut reader = csv::Reader::from_path(path).map_err(fail)?;
    reader.deserialize().collect::<std::result::Result<_, _>>().map_err(fail)
}
