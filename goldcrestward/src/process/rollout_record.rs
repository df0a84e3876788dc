//! The stored state of a rollout, for the next daemon that holds it and for operators.

use std::sync::Arc;

use log::warn;
use serde::{Deserialize, Serialize};

use super::shared::Shared;
use crate::{
    store::{Purpose, Revision, Row},
    version::StandardizedTally,
};

/// Record of a rollout in the platform's key-value store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutRecord {
    /// The new version.
    pub version: Arc<str>,
    /// Latest step, counted from 1; 0 before the first.
    pub step: usize,
    /// Label of the outcome; `None` while the rollout is running.
    pub outcome: Option<String>,
    /// Why the rollout ended that way; empty while it is running.
    pub reason: String,
    /// Unix time in ms of the last write.
    pub at_ms: u64,
    /// Name of the daemon that recorded the start or the latest decision.
    pub holder: Arc<str>,
    /// Evidence at the time of the last write.
    #[serde(default)]
    pub evidence: EvidenceSummary,
    /// What keeps the rollout from its next step; empty if nothing does.
    #[serde(default)]
    pub obstacle: String,
    /// Unix time in ms at which an ordered rollout began; 0 for a planned one.
    #[serde(default)]
    pub begun_ms: u64,
}

/// Request counts of a rollout. Those of the old version are weighted to match the periods and zones in
/// which the new version ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvidenceSummary {
    /// Requests of the new version.
    pub new: u64,
    /// Failed requests of the new version.
    pub new_failed: u64,
    /// Late requests of the new version.
    pub new_late: u64,
    /// Effective number of requests of the old version after weighting.
    pub old: u64,
    /// How many of these failed.
    pub old_failed: u64,
    /// How many of these were late.
    pub old_late: u64,
}

impl From<StandardizedTally> for EvidenceSummary {
    fn from(tally: StandardizedTally) -> Self {
        Self {
            new: tally.new.count,
            new_failed: tally.new.failed,
            new_late: tally.new.slow,
            old: tally.effective_count(),
            old_failed: tally.old_failed(),
            old_late: tally.old_slow(),
        }
    }
}

/// Key prefix of the rollout records of a site.
pub(crate) fn record_prefix(site: &str) -> String {
    format!("/goldcrestward/{site}/moves/")
}

/// A record in the store.
pub(crate) struct StoredRecord {
    pub key: String,
    pub revision: Revision,
    /// `None` if it cannot be read.
    pub record: Option<RolloutRecord>,
}

/// Reads the records of all rollouts. Returns `None` if the store does not answer.
pub(crate) async fn read_records(shared: &Shared, prefix: &str) -> Option<Vec<StoredRecord>> {
    let (rows, _) = shared.kv.list(Purpose::Rollout, prefix, Revision::NONE).await.ok()?;
    let parse = |row: Row| {
        let record = decode_record(&row, prefix);
        if let Err(error) = &record {
            warn!("event=rollout-record-unreadable key={:?} revision={} error={error:?}", row.key, row.revision);
        }
        StoredRecord { key: row.key, revision: row.revision, record: record.ok() }
    };
    Some(rows.into_iter().map(parse).collect())
}

fn decode_record(row: &Row, prefix: &str) -> Result<RolloutRecord, String> {
    let record: RolloutRecord = serde_json::from_slice(&row.value).map_err(|error| error.to_string())?;
    if row.key.strip_prefix(prefix) != Some(&*record.version) {
        return Err(format!("the record is of the rollout {:?}", record.version));
    }
    Ok(record)
}
