//! Measures the load that callers put on a pool in each availability zone, as the number of servers kept busy.

use std::{collections::HashMap, sync::Arc};

/// Time without a report after which a daemon's work no longer counts.
const REPORT_TIMEOUT_MS: u64 = 3_000;
/// Time constant of the moving average.
const AVERAGING_MS: f64 = 3_000.0;

#[derive(Debug)]
struct Meter {
    zone: Arc<str>,
    epoch: u64,
    total_ms: f64,
    updated_ms: u64,
    /// Moving average.
    busy_servers: f64,
}

/// The work that all daemons send to pools, by daemon and pool.
#[derive(Debug, Default)]
pub(crate) struct DemandMeters {
    meters: HashMap<(Arc<str>, Arc<str>), Meter>,
}

impl DemandMeters {
    /// Records the total work in ms that the daemon `from` has sent to a pool since its process started at `epoch`.
    pub fn record(&mut self, from: &Arc<str>, zone: &Arc<str>, epoch: u64, pool: &Arc<str>, total_ms: f64, now: u64) {
        let new_meter = || Meter { zone: zone.clone(), epoch, total_ms, updated_ms: now, busy_servers: 0.0 };
        let meter = self.meters.entry((from.clone(), pool.clone())).or_insert_with(new_meter);
        if meter.epoch != epoch {
            *meter = new_meter();
        }
        let elapsed = now.saturating_sub(meter.updated_ms) as f64;
        if elapsed <= 0.0 {
            return;
        }
        let weight = (elapsed / AVERAGING_MS).min(1.0);
        meter.busy_servers += weight * ((total_ms - meter.total_ms) / elapsed - meter.busy_servers);
        (meter.total_ms, meter.updated_ms) = (total_ms, now);
    }

    /// Returns how many servers of a pool the callers of an availability zone keep busy.
    pub fn busy_servers(&self, pool: &str, zone: &str, now: u64) -> f64 {
        let matching =
            self.meters.iter().filter(|((_, meter_pool), meter)| **meter_pool == *pool && *meter.zone == *zone);
        matching
            .filter(|(_, meter)| now.saturating_sub(meter.updated_ms) < REPORT_TIMEOUT_MS)
            .map(|(_, meter)| meter.busy_servers)
            .sum()
    }
}

#[cfg(test)]
#[path = "demand_test.rs"]
mod demand_test;
