//! The evidence on a version at a decision, for log lines.

use std::fmt;

use super::standardized::StandardizedTally;

/// Shares by which more requests of the new version than of the old one fail or are late, the larger of the two.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddedHarm {
    pub estimate: f64,
    /// The bound that must be below the allowed harm before a version goes on.
    pub upper: f64,
}

/// The counts that a decision was made on; those of the old version are weighted to the periods and zones of the new one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    pub tally: StandardizedTally,
    pub harm: AddedHarm,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { tally, harm } = self;
        let new = tally.new;
        write!(f, "requests={} failed={} late={} ", new.count, new.failed, new.slow)?;
        let (old, old_failed, old_late) = (tally.effective_count(), tally.old_failed(), tally.old_slow());
        write!(f, "old_requests={old} old_failed={old_failed} old_late={old_late} ")?;
        write!(f, "harm={:.3} harm_upper={:.3}", harm.estimate, harm.upper)
    }
}

#[cfg(test)]
#[path = "evidence_test.rs"]
mod evidence_test;
