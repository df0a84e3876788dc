//! Rows of the messages between daemons, and their conversion from and to the types inside.

use std::{sync::Arc, time::Duration};

use super::fleet_table::{Loads, Runs, Works};
use crate::{
    pb,
    process::{
        loads::PeerLoad,
        quota::{QuotaLevel, QuotaTotal},
        run_counts::RunCounts,
        run_times::RunKind,
    },
};

/// Largest numbers of rows of each kind in one message, which has to fit into a datagram.
pub(super) const MAX_LOADS: usize = 44;
pub(super) const MAX_QUOTAS: usize = 24;
pub(super) const MAX_COUNTS: usize = 20;
pub(super) const MAX_WORKS: usize = 12;
pub(super) const MAX_RUNS: usize = 2;
/// Largest number of clocks in the sum of a zone.
pub(super) const MAX_CLOCKS: usize = 16;
pub(super) fn loads_from(rows: &[pb::ReplicaLoad]) -> Loads {
    let load = |row: &pb::ReplicaLoad| PeerLoad { running: row.running, prefill_ms: f64::from(row.reading_ms) };
    rows.iter().map(|row| (row.replica, load(row))).collect()
}

/// Decodes work by pool, without figures that are no finite numbers.
pub(super) fn works_from(rows: &[pb::PoolWork]) -> Works {
    let finite = rows.iter().filter(|work| work.total_ms.is_finite());
    finite.map(|work| (work.pool.as_str().into(), work.total_ms)).collect()
}

pub(super) fn load_rows(rows: Vec<(u64, PeerLoad)>) -> Vec<pb::ReplicaLoad> {
    let row = |(replica, load): (u64, PeerLoad)| {
        let PeerLoad { running, prefill_ms } = load;
        pb::ReplicaLoad { replica, running, reading_ms: prefill_ms.round() as u32 }
    };
    rows.into_iter().map(row).collect()
}

pub(super) fn quota_rows(rows: Vec<(Arc<str>, QuotaTotal)>) -> Vec<pb::QuotaUse> {
    let row = |(name, total): (Arc<str>, QuotaTotal)| {
        let QuotaTotal { used, asked, used_before } = total;
        pb::QuotaUse { account: name.to_string(), used, asked, used_before }
    };
    rows.into_iter().map(row).collect()
}

/// Decodes an account's usage; `None` if its figures are no finite numbers, which would spoil all later sums.
pub(super) fn quota_total(row: &pb::QuotaUse) -> Option<QuotaTotal> {
    let pb::QuotaUse { used, asked, used_before, .. } = *row;
    let is_valid = [used, asked, used_before].iter().all(|units| units.is_finite());
    is_valid.then_some(QuotaTotal { used, asked, used_before })
}

/// Decodes an account's level; `None` if its figures are no finite numbers.
pub(super) fn quota_level(row: &pb::QuotaLevel) -> Option<QuotaLevel> {
    let pb::QuotaLevel { level, counted, reachable, .. } = *row;
    let is_valid = [level, counted, reachable].iter().all(|units| units.is_finite());
    is_valid.then_some(QuotaLevel { level, counted, reachable })
}

/// Decodes run times; a row without runs is gone.
pub(super) fn runs_from(rows: &[pb::RunCounts]) -> Runs {
    let run = |row: &pb::RunCounts| {
        let kind = RunKind { route: row.route.as_str().into(), size: row.size };
        (kind, RunCounts::new(&row.counts, Duration::from_millis(row.longest_ms.into())))
    };
    rows.iter().map(run).collect()
}

pub(super) fn run_rows(rows: Vec<(RunKind, RunCounts)>) -> Vec<pb::RunCounts> {
    let row = |(kind, counts): (RunKind, RunCounts)| pb::RunCounts {
        route: kind.route.to_string(),
        size: kind.size,
        counts: counts.counts().to_vec(),
        longest_ms: u32::try_from(counts.longest().as_millis()).unwrap_or(u32::MAX),
    };
    rows.into_iter().map(row).collect()
}

pub(super) fn work_row(((zone, pool), total_ms): ((Arc<str>, Arc<str>), f64)) -> pb::PoolWork {
    pb::PoolWork { pool: pool.to_string(), total_ms, zone: zone.to_string() }
}

#[cfg(test)]
#[path = "rows_test.rs"]
mod rows_test;
