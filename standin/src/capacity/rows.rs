//! The rows of the measurements, as they stand in CSV files.

use std::path::Path;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// The control plane of a site of some daemons, without traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlRow {
    /// Daemons.
    pub daemons: u64,
    /// Share of a core that a daemon uses with nothing going on, in percent.
    pub idle_cpu_percent: f64,
    /// Resident memory of a daemon, in megabytes.
    pub rss_mb: f64,
    /// Messages that a daemon sends a second with nothing going on.
    pub idle_messages_per_s: f64,
    /// Bytes that a daemon sends a second with nothing going on.
    pub idle_bytes_per_s: f64,
    /// Calls of the whole site to the key-value service a second with nothing going on.
    pub idle_kv_calls_per_s: f64,
    /// Waiting watches of the whole site.
    pub watches: f64,
    /// Share of a core at 0.9 changes a second, in percent.
    pub changing_cpu_percent: f64,
    /// Bytes sent a second at 0.9 changes a second.
    pub changing_bytes_per_s: f64,
    /// Calls of the whole site to the key-value service a second at 0.9 changes a second.
    pub changing_kv_calls_per_s: f64,
    /// Seconds until one change is in force on the last daemon.
    pub one_in_force_s: f64,
    /// Seconds from the first of 50 changes until the last is in force on the last daemon.
    pub burst_in_force_s: f64,
    /// Seconds until a killed daemon is found dead by another.
    pub detect_s: f64,
}

/// A daemon that knows some replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Replicas.
    pub replicas: u64,
    /// Resident memory of the daemon, in megabytes.
    pub rss_mb: f64,
    /// Share of a core with the list unchanged, in percent.
    pub cpu_percent: f64,
}

/// A daemon that passes streams on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamRow {
    /// Streams in flight, about.
    pub streams: u64,
    /// Tokens passed on a second.
    pub tokens_per_s: f64,
    /// Share of a core, in percent.
    pub cpu_percent: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
    /// Median time to the first token, in ms.
    pub first_token_p50_ms: f64,
    /// Time to the first token for 95 in 100, in ms.
    pub first_token_p95_ms: f64,
    /// Answers that were not whole.
    pub broken: u64,
}

/// Keyed calls at a site of seven daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Keyed calls a second.
    pub calls_per_s: f64,
    /// Writes to the key-value service for each call.
    pub writes_per_call: f64,
    /// Median time of a call, in ms.
    pub p50_ms: f64,
    /// Time of a call for 95 in 100, in ms.
    pub p95_ms: f64,
    /// Share of a core of a daemon, in percent.
    pub cpu_percent: f64,
    /// Resident memory of a daemon, in megabytes.
    pub rss_mb: f64,
    /// Calls executed twice.
    pub doubles: u64,
}

/// Writes rows.
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

/// Reads rows.
///
/// # Errors
/// Fails when the file cannot be read.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let fail = |error: csv::Error| Error::File { path: path.display().to_string(), source: error.into() };
    let mut reader = csv::Reader::from_path(path).map_err(fail)?;
    reader.deserialize().collect::<std::result::Result<_, _>>().map_err(fail)
}
