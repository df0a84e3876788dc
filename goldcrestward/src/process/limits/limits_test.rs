//! Tests of limits over several daemons, with one share allocator and with a partitioned site.

use std::sync::Arc;

use super::{AccountLimits, AdmissionPermit};
use crate::config::{Account, Limits};

fn account(requests: f64, concurrency: f64) -> Account {
    Account {
        name: "account".into(),
        key_hashes: Vec::new(),
        routes: Vec::new(),
        weight: 1.0,
        limits: Limits { requests, tokens: f64::INFINITY, concurrency },
        priority: None,
        quota: None,
    }
}

/// Requests admitted per second by daemons that get `rates` requests a second, in `partitions` partitions.
/// The first three seconds, in which shares settle, are not counted.
fn admitted(limit: f64, rates: &[f64], partitions: usize, seconds: u64) -> f64 {
    let account = account(limit, f64::INFINITY);
    let daemons: Vec<Arc<AccountLimits>> = rates.iter().map(|_| Arc::default()).collect();
    let mut count = 0.0;
    let mut pending = vec![0.0; rates.len()];
    let settled = 3_000;
    for now in (0..settled + seconds * 1_000).step_by(10) {
        for (n, rate) in rates.iter().enumerate() {
            pending[n] += rate / 100.0;
            while pending[n] >= 1.0 {
                pending[n] -= 1.0;
                let is_admitted = daemons[n].admit(&account, rates.len() / partitions, now).is_ok();
                count += if is_admitted && now >= settled { 1.0 } else { 0.0 };
            }
        }
        if now % 1_000 == 0 {
            for (n, daemon) in daemons.iter().enumerate() {
                let allocator = &daemons[n % partitions];
                let usage = daemon.collect_demand();
                let share = |u| allocator.allocate_share(&account.name, &account.limits, &n.to_string(), u, now);
                daemon.apply_shares(usage.iter().map(share).collect(), now);
            }
        }
    }
    count / seconds as f64
}

#[test]
fn admit_site_limit_holds_for_every_spread() {
    let cases: [(&str, &[f64]); 4] = [
        ("even", &[20.0; 7]),
        ("all at one", &[140.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]),
        ("uneven", &[70.0, 30.0, 20.0, 10.0, 5.0, 4.0, 1.0]),
        ("few", &[80.0, 60.0]),
    ];
    for (name, rates) in cases {
        let rate = admitted(40.0, rates, 1, 20);
        assert!(rate <= 40.0 * 1.1, "{name}: {rate} of 40 a second");
        assert!(rate >= 40.0 * 0.85, "{name}: {rate} of 40 a second");
    }
}

#[test]
fn admit_partitioned_site_overshoots_by_the_number_of_partitions_at_most() {
    let rate = admitted(40.0, &[20.0; 6], 2, 20);
    assert!(rate <= 2.0 * 40.0 * 1.1, "{rate} of 40 a second in two partitions");
}

#[test]
fn admit_concurrency_is_released_on_drop() {
    let limits: Arc<AccountLimits> = Arc::default();
    let account = account(f64::INFINITY, 2.0);
    let admit = || limits.admit(&account, 1, 0);
    let held: Vec<AdmissionPermit> = (0..2).map(|_| admit().expect("within the limit")).collect();
    assert!(admit().is_err());
    drop(held);
    assert!(admit().is_ok());
}

#[test]
fn admit_tokens_in_debt_refuses_until_paid() {
    let limits: Arc<AccountLimits> = Arc::default();
    let mut account = account(f64::INFINITY, f64::INFINITY);
    account.limits.tokens = 10.0;
    let first = limits.admit(&account, 1, 0).expect("within the limit");
    first.charge(50);
    assert!(limits.admit(&account, 1, 1_000).is_err());
    assert!(limits.admit(&account, 1, 6_000).is_ok());
}
