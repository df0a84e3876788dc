//! What lives as long as a version of backend servers: evidence on it, and the move of traffic to it.

mod bound;
mod judge;
mod mover;
mod share;
mod tally;

pub(crate) use judge::Pair;
pub(crate) use mover::{Decision, Mover, Outcome, Readiness, Reading};
pub(crate) use share::{Choice, choose};
pub(crate) use tally::{EvidenceTable, Sample, Tally, TallyKey};
