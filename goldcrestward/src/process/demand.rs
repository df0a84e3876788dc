//! How much work callers ask of a pool in each availability zone, in servers kept busy.

use std::{collections::HashMap, sync::Arc};

/// Time after which a daemon that says nothing no longer counts, in ms.
const SILENT_MS: u64 = 3_000;
/// Time over which work is averaged, in ms.
const AVERAGE_MS: f64 = 3_000.0;

#[derive(Debug)]
struct Meter {
    zone: Arc<str>,
    life: u64,
    total_ms: f64,
    at: u64,
    /// Busy servers, averaged.
    busy: f64,
}

/// The work of all daemons, by daemon and pool.
#[derive(Debug, Default)]
pub(crate) struct DemandMeters {
    meters: HashMap<(Arc<str>, Arc<str>), Meter>,
}

impl DemandMeters {
    /// Takes in the work in ms that the daemon `from` has given to a pool in its life that began at `life`.
    pub fn record(&mut self, from: &Arc<str>, zone: &Arc<str>, life: u64, pool: &Arc<str>, total_ms: f64, now: u64) {
        let fresh = || Meter { zone: zone.clone(), life, total_ms, at: now, busy: 0.0 };
        let meter = self.meters.entry((from.clone(), pool.clone())).or_insert_with(fresh);
        if meter.life != life {
            *meter = fresh();
        }
        let elapsed = now.saturating_sub(meter.at) as f64;
        if elapsed <= 0.0 {
            return;
        }
        let weight = (elapsed / AVERAGE_MS).min(1.0);
        meter.busy += weight * ((total_ms - meter.total_ms) / elapsed - meter.busy);
        (meter.total_ms, meter.at) = (total_ms, now);
    }

    /// Servers of a pool that the callers of an availability zone keep busy.
    pub fn busy(&self, pool: &str, zone: &str, now: u64) -> f64 {
        let here = self.meters.iter().filter(|((_, of), meter)| **of == *pool && *meter.zone == *zone);
        here.filter(|(_, meter)| now.saturating_sub(meter.at) < SILENT_MS).map(|(_, meter)| meter.busy).sum()
    }
}

#[cfg(test)]
#[path = "demand_test.rs"]
mod demand_test;
