//! What is written down of a move, for its next holder and for operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::version::StandardizedTally;

/// The record of a move in the platform's service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// The version.
    pub version: Arc<str>,
    /// The step reached.
    pub step: usize,
    /// How the move ended, once it has.
    pub outcome: Option<String>,
    /// Why.
    pub reason: String,
    /// Unix time in ms of the last change.
    pub at_ms: u64,
    /// The daemon that wrote it.
    pub holder: Arc<str>,
    /// The evidence as it was then.
    #[serde(default)]
    pub evidence: Evidence,
    /// Why the move does not go on, if it does not.
    #[serde(default)]
    pub obstacle: String,
    /// Unix time in ms at which an ordered move began; 0 for a planned one.
    #[serde(default)]
    pub begun_ms: u64,
}

/// Evidence on a move in numbers: the old version's are weighted to the periods of the new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evidence {
    /// Requests of the new version.
    pub new: u64,
    /// Those that failed.
    pub new_failed: u64,
    /// Those that were late.
    pub new_late: u64,
    /// Requests of the old version that its weighted record is worth.
    pub old: u64,
    /// Those that failed.
    pub old_failed: u64,
    /// Those that were late.
    pub old_late: u64,
}

impl From<StandardizedTally> for Evidence {
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
