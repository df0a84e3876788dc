//! Tests of the rows of messages.

use prost::Message;

use super::{MAX_CLOCKS, MAX_COUNTS, MAX_LOADS, MAX_QUOTAS, MAX_RUNS, MAX_WORKS, quota_level, quota_total};
use crate::pb;

/// Space in a datagram beside members and facts, the envelope and the MAC.
const BODY_BYTES: usize = 4096 - 1000 - 200;
const NAME: &str = "an-account-name-";

#[test]
fn largest_messages_fit_into_a_datagram() {
    let loads = vec![pb::ReplicaLoad { replica: 1, running: 300, reading_ms: 20_000 }; MAX_LOADS];
    let usage = pb::QuotaUse { account: NAME.into(), used: 1.5, asked: 1.5, used_before: 1.5 };
    let work = pb::PoolWork { pool: NAME.into(), total_ms: 1.5, zone: NAME.into() };
    let count = pb::AccountCount { account: NAME.into(), count: 70_000 };
    let window = pb::WindowCounts { window: 400_000_000, counts: vec![count; MAX_COUNTS] };
    let level = pb::QuotaLevel { account: NAME.into(), level: 1.5, counted: 1.5, reachable: 0.5 };
    let run = pb::RunCounts { route: NAME.into(), size: 32, counts: vec![10_000; 14], longest_ms: 100_000 };
    let runs = vec![run; MAX_RUNS];
    let (life, unix_ms) = (1_800_000_000_000, 1_800_000_000_000);
    let report = pb::Report {
        life,
        unix_ms,
        loads: loads.clone(),
        quotas: vec![usage.clone(); MAX_QUOTAS],
        windows: vec![window],
        works: vec![pb::PoolWork { zone: String::new(), ..work.clone() }; MAX_WORKS],
        holds_duties: true,
        runs: runs.clone(),
    };
    let sum = pb::ZoneSum {
        period_ms: u32::MAX,
        life,
        zone: NAME.into(),
        daemons: 300,
        unix_ms,
        clock_differences: vec![-3_000; MAX_CLOCKS],
        loads: loads.clone(),
        quotas: vec![usage; MAX_QUOTAS],
        works: vec![pb::PoolWork { zone: String::new(), ..work.clone() }; MAX_WORKS],
        runs: runs.clone(),
    };
    let (quotas, works) = (vec![level; MAX_QUOTAS], vec![work; MAX_WORKS]);
    let summary = pb::Summary { life, agreed_ms: unix_ms, loads, quotas, works, runs };
    for (kind, bytes) in
        [("report", report.encoded_len()), ("sum", sum.encoded_len()), ("summary", summary.encoded_len())]
    {
        assert!(bytes <= BODY_BYTES, "a {kind} of {bytes} bytes");
    }
}

#[test]
fn quota_rows_that_are_no_numbers_are_dropped() {
    let usage = |used| pb::QuotaUse { account: NAME.into(), used, asked: 1.0, used_before: 0.0 };
    let level = |level| pb::QuotaLevel { account: NAME.into(), level, counted: 0.0, reachable: 1.0 };
    assert!(quota_total(&usage(1.0)).is_some() && quota_level(&level(-1.0)).is_some());
    for wrong in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(quota_total(&usage(wrong)).is_none() && quota_level(&level(wrong)).is_none(), "{wrong}");
    }
}
