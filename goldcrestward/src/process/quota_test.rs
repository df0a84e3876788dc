//! Tests of quotas over several daemons that report their usage to each other late, or not at all.

use std::{collections::VecDeque, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{QuotaUsage, Quotas};
use crate::config::{Quota, QuotaUnit};

/// Time from one report to the next.
const REPORT_INTERVAL_MS: u64 = 200;
/// Latency of a message.
const LATENCY_MS: u64 = 25;
/// Window in which usage is checked.
const WINDOW_MS: u64 = 8_000;

struct Message {
    due_ms: u64,
    from: usize,
    totals: Vec<(Arc<str>, QuotaUsage)>,
}

/// Load on one account over several daemons.
struct Load {
    /// Units requested per second at each daemon before the burst.
    base_rates: Vec<f64>,
    /// Factor on the base rates during the burst, which lasts from 4 s to 20 s.
    burst_factor: f64,
    /// Daemons that are partitioned from the others.
    partitioned: Vec<usize>,
    /// Time in ms at which the partition begins.
    partitioned_since: u64,
    /// Units per request.
    units: f64,
}

struct Outcome {
    /// Maximum number of units used in a window.
    peak: f64,
    /// Units used during the burst, after its first second, as a fraction of what the quota allows.
    used: f64,
    /// Units refused before the burst.
    refused: f64,
}

fn simulate(load: &Load, quota: &Quota, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let account: Arc<str> = "account".into();
    let names: Vec<Arc<str>> = (0..load.base_rates.len()).map(|n| format!("daemon-{n}").into()).collect();
    let count = names.len();
    let mut daemons: Vec<Quotas> = names.iter().map(|_| Quotas::default()).collect();
    let mut messages: VecDeque<Message> = VecDeque::new();
    let mut charges: Vec<(u64, f64)> = Vec::new();
    let mut refused = 0.0;
    for now in 0..20_000_u64 {
        while messages.front().is_some_and(|message| message.due_ms <= now) {
            let Some(message) = messages.pop_front() else { break };
            for (n, daemon) in daemons.iter_mut().enumerate().filter(|(n, _)| *n != message.from) {
                let is_partitioned = now >= load.partitioned_since
                    && load.partitioned.contains(&n) != load.partitioned.contains(&message.from);
                for (name, total) in message.totals.iter().filter(|_| !is_partitioned) {
                    daemon.apply_peer_report(&names[message.from], 1, name, total, quota, now);
                }
            }
        }
        let in_burst = now >= 4_000;
        for (n, daemon) in daemons.iter_mut().enumerate() {
            let rate = load.base_rates[n] * if in_burst { load.burst_factor } else { 1.0 };
            if random.random_bool((rate / load.units / 1000.0).min(1.0)) {
                match daemon.charge(&account, quota, load.units, count, now) {
                    Ok(()) => charges.push((now, load.units)),
                    Err(_) if now > 1_500 && !in_burst => refused += load.units,
                    Err(_) => {}
                }
            }
            let is_due = daemon.is_report_due("account", quota, count);
            if is_due || (now + n as u64 * 29).is_multiple_of(REPORT_INTERVAL_MS) {
                messages.push_back(Message { due_ms: now + LATENCY_MS, from: n, totals: daemon.usage_report() });
            }
        }
    }
    let sum = |from: u64, to: u64| -> f64 { charges.iter().filter(|u| u.0 >= from && u.0 < to).map(|u| u.1).sum() };
    let peak = charges.iter().map(|u| sum(u.0, u.0 + WINDOW_MS)).fold(0.0, f64::max);
    let used = sum(5_000, 20_000) / (quota.rate * 15.0);
    Outcome { peak, used, refused }
}

/// Maximum number of units that the users accept in a window: 10% more than rate and burst, plus 72,000 units.
fn allowed(quota: &Quota) -> f64 {
    (quota.rate * WINDOW_MS as f64 / 1000.0 + quota.burst) * 1.1 + 72_000.0
}

fn tokens(rate: f64) -> Quota {
    Quota { rate, burst: rate, unit: QuotaUnit::Tokens(200) }
}

#[test]
fn quotas_hold_under_hot_account() {
    let cases = [
        ("even", vec![25_000.0; 7], vec![], 0),
        ("uneven", vec![80_000.0, 40_000.0, 20_000.0, 15_000.0, 10_000.0, 8_000.0, 2_000.0], vec![], 0),
        ("two daemons partitioned from the start", vec![25_000.0; 7], vec![1, 4], 0),
        ("two daemons partitioned", vec![25_000.0; 7], vec![1, 4], 3_000),
        ("one partitioned", vec![25_000.0; 7], vec![3], 3_000),
        ("partitioned in the burst", vec![25_000.0; 7], vec![1, 4], 6_000),
        ("half partitioned from the start", vec![30_000.0; 6], vec![0, 1, 2], 0),
        ("half partitioned", vec![30_000.0; 6], vec![0, 1, 2], 3_000),
        ("alone", vec![175_000.0], vec![], 0),
    ];
    for (name, base_rates, partitioned, partitioned_since) in cases {
        for units in [900.0, 9_200.0] {
            let quota = tokens(320_000.0);
            let load = Load {
                base_rates: base_rates.clone(),
                burst_factor: 7.5,
                partitioned: partitioned.clone(),
                partitioned_since,
                units,
            };
            let outcome = simulate(&load, &quota, 7);
            println!(
                "{name}, {units}: peak {:.2} of allowed, used {:.2}, refused before {:.0}",
                outcome.peak / allowed(&quota),
                outcome.used,
                outcome.refused
            );
            assert!(outcome.peak <= allowed(&quota), "{name}: {} units in a window", outcome.peak);
            assert!(outcome.used >= 0.85, "{name}: only {:.2} of the quota was given out", outcome.used);
            assert!(outcome.refused == 0.0, "{name}: {} units refused below the quota", outcome.refused);
        }
    }
}
