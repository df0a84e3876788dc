//! Measures the load that callers put on a pool in each availability zone, as the number of servers kept busy.
//!
//! The relays of the zones report it.

use std::{collections::HashMap, sync::Arc};

/// Time without a report after which a zone's work no longer counts.
const REPORT_TIMEOUT_MS: u64 = 3_000;
/// Time constant of the moving average.
const AVERAGING_MS: f64 = 3_000.0;

#[derive(Debug)]
struct Meter {
    reporter: (Arc<str>, u64),
    total_ms: f64,
    updated_ms: u64,
    /// Moving average.
    busy_servers: f64,
}

/// The work that the daemons of each availability zone send to pools, by zone and pool.
#[derive(Debug, Default)]
pub(crate) struct DemandMeters {
    meters: HashMap<(Arc<str>, Arc<str>), Meter>,
}

impl DemandMeters {
    /// Records the total work in ms that a zone has sent to a pool, as its relay `reporter` with this start time knows
    /// it. Another relay knows another total, from which the measurement goes on.
    pub fn record(&mut self, zone: &Arc<str>, reporter: (&str, u64), pool: &Arc<str>, total_ms: f64, now: u64) {
        let reporter = (Arc::from(reporter.0), reporter.1);
        let new_meter = || Meter { reporter: reporter.clone(), total_ms, updated_ms: now, busy_servers: 0.0 };
        let meter = self.meters.entry((zone.clone(), pool.clone())).or_insert_with(new_meter);
        if meter.reporter != reporter {
            (meter.reporter, meter.total_ms) = (reporter, total_ms);
            meter.updated_ms = now;
            return;
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
    pub fn busy_servers(&self, pool: &Arc<str>, zone: &Arc<str>, now: u64) -> f64 {
        let meter = self.meters.get(&(zone.clone(), pool.clone()));
        let meter = meter.filter(|meter| now.saturating_sub(meter.updated_ms) < REPORT_TIMEOUT_MS);
        meter.map_or(0.0, |meter| meter.busy_servers)
    }
}

#[cfg(test)]
#[path = "demand_test.rs"]
mod demand_test;
