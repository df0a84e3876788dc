//! Autoscaling: how many reclaimable and on-demand servers a pool needs in each availability zone.
//!
//! Where reclaimable servers are cheaper, they carry the load, with spare capacity for all of one zone's being
//! reclaimed at once. Where none are available and the remaining servers cannot carry the load, on-demand servers
//! are ordered in their place.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::Scaling,
    port::{DutyAnswer, PoolOrder},
    util::derive_value_traits,
};

/// Fraction of time for which a server may be busy and still serve requests in time, bursts included.
const TARGET_UTILIZATION: f64 = 0.45;
/// Spare reclaimable servers per zone, which absorb the load of a zone whose servers are reclaimed. They cost less
/// than on-demand spares.
const SPARE_RECLAIMABLE: u32 = 2;
/// Spare servers per zone of a pool with on-demand servers only, for the load of a neighbouring zone.
const SPARE_ON_DEMAND: u32 = 1;
/// Fraction of the load that must still be carried after two zones are lost in succession.
const SCARCE_LOAD_FRACTION: f64 = 0.75;
/// Time for which fewer reclaimable servers must suffice before the pool is scaled down: they cost little, and
/// their caches are lost.
const RECLAIMABLE_SCALE_DOWN_DELAY_MS: u64 = 10_000;
/// The same for on-demand servers; it is short, as other servers have replaced them by then.
const ON_DEMAND_SCALE_DOWN_DELAY_MS: u64 = 1_000;
/// Time beyond the boot time after which an ordered server counts as missing.
const BOOT_SLACK_MS: u64 = 2_500;
const REFUSED_RETRY_DELAY_MS: u64 = 2_000;

derive_value_traits! {
    /// Current servers and load of a pool in one availability zone.
    pub(crate) struct ZonePool {
        pub zone: Arc<str>,
        /// Live on-demand servers, which are never reclaimed.
        pub on_demand: u32,
        /// Live servers that the platform may reclaim.
        pub reclaimable: u32,
        /// Load of the zone's callers, in servers kept busy; `None` while it is unknown.
        pub busy_servers: Option<f64>,
        /// Capacity that is missing as live servers take fewer requests than others, in servers.
        pub lost_servers: f64,
    }
}

#[derive(Debug)]
struct PlacedOrder {
    count: u32,
    placed_ms: u64,
    refused: bool,
    /// When the target first fell below `count`, in ms.
    lower_since: Option<u64>,
    /// Live servers at the last check.
    live: u32,
    /// Servers that were lost since the order was placed.
    lost: u32,
}

impl PlacedOrder {
    fn new(count: u32, live: u32, placed_ms: u64, refused: bool) -> Self {
        Self { count, placed_ms, refused, lower_since: None, live, lost: 0 }
    }

    /// Counts servers that are gone although the order asks for them.
    fn update_live(&mut self, live: u32) {
        self.lost += self.live.min(self.count).saturating_sub(live);
        self.live = live;
    }
}

/// Pool, zone, and whether the servers are reclaimable.
type OrderKey = (Arc<str>, Arc<str>, bool);

/// Decides on orders, given those that were placed before.
#[derive(Debug, Default)]
pub(crate) struct Scaler {
    placed: HashMap<OrderKey, PlacedOrder>,
}

impl Scaler {
    /// Returns the orders to place for a pool at `now`, in ms.
    pub fn decide(&mut self, pool: &Arc<str>, scaling: &Scaling, zones: &[ZonePool], now: u64) -> Vec<PoolOrder> {
        let mut orders = Vec::new();
        for zone in zones {
            for (live, reclaimable) in [(zone.reclaimable, true), (zone.on_demand, false)] {
                if let Some(placed) = self.placed.get_mut(&(pool.clone(), zone.zone.clone(), reclaimable)) {
                    placed.update_live(live);
                }
            }
        }
        let substitutes = self.substitutes(pool, scaling, zones, now);
        for (zone, substitutes) in zones.iter().zip(substitutes) {
            let target = target(scaling, zone);
            let on_demand = target.on_demand + substitutes;
            // On-demand servers are released only once other servers have replaced them.
            let missing = target.reclaimable.saturating_sub(zone.reclaimable);
            let on_demand = on_demand.max((target.on_demand + missing).min(zone.on_demand)).min(scaling.max);
            let room = scaling.max.saturating_sub(on_demand.max(zone.on_demand));
            let reclaimable = target.reclaimable.min(room.max(zone.reclaimable));
            for (count, live, reclaimable) in
                [(reclaimable, zone.reclaimable, true), (on_demand, zone.on_demand, false)]
            {
                if reclaimable && scaling.reclaimable_price_ratio.is_none() {
                    continue;
                }
                let key = (pool.clone(), zone.zone.clone(), reclaimable);
                if self.is_due(&key, scaling, count, live, now) {
                    orders.push(PoolOrder { pool: pool.clone(), zone: zone.zone.clone(), count, reclaimable });
                }
            }
        }
        orders
    }

    /// Records the platform's answer to an order.
    pub fn record_answer(&mut self, order: &PoolOrder, answer: DutyAnswer, now: u64) {
        let key = (order.pool.clone(), order.zone.clone(), order.reclaimable);
        let refused = answer != DutyAnswer::Done;
        let live = self.placed.get(&key).map_or(0, |placed| placed.live);
        self.placed.insert(key, PlacedOrder::new(order.count, live, now, refused));
    }

    /// Number of reclaimable servers that are ordered and still starting.
    fn starting_reclaimable(&self, pool: &Arc<str>, scaling: &Scaling, zone: &ZonePool, now: u64) -> u32 {
        let placed = self.placed.get(&(pool.clone(), zone.zone.clone(), true));
        let starting = |placed: &&PlacedOrder| {
            !placed.refused && now.saturating_sub(placed.placed_ms) <= boot_deadline_ms(scaling)
        };
        placed.filter(starting).map_or(0, |placed| placed.count.saturating_sub(zone.reclaimable + placed.lost))
    }

    /// On-demand servers that each zone needs in place of missing reclaimable ones: live servers count first, then new
    /// ones are added zone by zone until the pool's requirement is met.
    fn substitutes(&self, pool: &Arc<str>, scaling: &Scaling, zones: &[ZonePool], now: u64) -> Vec<u32> {
        let mut unmet = self.required_on_demand(pool, scaling, zones, now);
        let missing: Vec<u32> = zones
            .iter()
            .map(|zone| {
                let expected = zone.reclaimable + self.starting_reclaimable(pool, scaling, zone, now);
                target(scaling, zone).reclaimable.saturating_sub(expected)
            })
            .collect();
        let mut substitutes: Vec<u32> = Vec::new();
        for (zone, missing) in zones.iter().zip(&missing) {
            substitutes.push(zone.on_demand.min(*missing).min(unmet));
            unmet -= substitutes[substitutes.len() - 1];
        }
        for (count, missing) in substitutes.iter_mut().zip(&missing) {
            let more = (missing - *count).min(unmet);
            *count += more;
            unmet -= more;
        }
        substitutes
    }

    /// On-demand servers that the pool needs in case the zone with the most reclaimable servers loses them next. While
    /// a zone is short of reclaimable servers, the loss of a second zone is assumed too, as reclaims come in waves.
    fn required_on_demand(&self, pool: &Arc<str>, scaling: &Scaling, zones: &[ZonePool], now: u64) -> u32 {
        let required: u32 = zones.iter().map(|zone| required_servers(zone).min(scaling.max)).sum();
        let mut reclaimable: Vec<u32> =
            zones.iter().map(|zone| zone.reclaimable + self.starting_reclaimable(pool, scaling, zone, now)).collect();
        let scarce = zones.iter().zip(&reclaimable).any(|(zone, live)| *live < target(scaling, zone).reclaimable / 2);
        reclaimable.sort_unstable();
        let (lost_zones, required) =
            if scarce { (2, (f64::from(required) * SCARCE_LOAD_FRACTION).ceil() as u32) } else { (1, required) };
        let remaining: u32 = reclaimable[..reclaimable.len().saturating_sub(lost_zones)].iter().sum();
        required.saturating_sub(remaining)
    }

    /// Whether an order for `count` servers must be placed while `live` servers are up.
    fn is_due(&mut self, key: &OrderKey, scaling: &Scaling, count: u32, live: u32, now: u64) -> bool {
        let placed = self.placed.entry(key.clone()).or_insert_with(|| PlacedOrder::new(live, live, 0, false));
        let since = now.saturating_sub(placed.placed_ms);
        if placed.refused && since < REFUSED_RETRY_DELAY_MS {
            return false;
        }
        // With ordered servers missing, a smaller order releases none, so it need not wait.
        let is_overdue = since > boot_deadline_ms(scaling) || placed.lost > 0;
        let is_short = live < count && (placed.refused || is_overdue);
        if count < placed.count && !is_short {
            let lower = *placed.lower_since.get_or_insert(now);
            let delay = if key.2 { RECLAIMABLE_SCALE_DOWN_DELAY_MS } else { ON_DEMAND_SCALE_DOWN_DELAY_MS };
            return now.saturating_sub(lower) >= delay;
        }
        placed.lower_since = None;
        count > placed.count || placed.refused || (live != count && is_overdue)
    }
}

struct ZoneTarget {
    on_demand: u32,
    reclaimable: u32,
}

/// Servers that a zone's load requires, without spares.
fn required_servers(zone: &ZonePool) -> u32 {
    zone.busy_servers.map_or(0, |busy_servers| (busy_servers / TARGET_UTILIZATION + zone.lost_servers).ceil() as u32)
}

/// Share of its capacity that a server loses which takes only `per_second` requests with this mean work.
pub(crate) fn lost_share(per_second: f64, mean_work_ms: f64) -> f64 {
    (1.0 - per_second * mean_work_ms / 1000.0 / TARGET_UTILIZATION).clamp(0.0, 1.0)
}

/// Servers that a zone should have when every order can be filled.
fn target(scaling: &Scaling, zone: &ZonePool) -> ZoneTarget {
    if scaling.reclaimable_price_ratio.is_none_or(|price| price >= 1.0) {
        let all = if zone.busy_servers.is_some() { required_servers(zone) + SPARE_ON_DEMAND } else { zone.on_demand };
        return ZoneTarget { on_demand: all.clamp(scaling.min, scaling.max), reclaimable: 0 };
    }
    let reclaimable = match zone.busy_servers {
        Some(_) => required_servers(zone) + SPARE_RECLAIMABLE,
        // Until the load is known, reclaimable servers replace the present ones one for one.
        None => zone.on_demand.max(zone.reclaimable),
    };
    ZoneTarget { on_demand: 0, reclaimable: reclaimable.clamp(scaling.min, scaling.max) }
}

/// Time after an order at which its servers should be up, in ms.
fn boot_deadline_ms(scaling: &Scaling) -> u64 {
    scaling.boot_time.as_millis() as u64 + BOOT_SLACK_MS
}

#[cfg(test)]
#[path = "scaler_test.rs"]
mod scaler_test;
