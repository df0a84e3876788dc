//! Tests of the autoscaler against a simulated platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Scaler, ZonePool, lost_share};
use crate::{
    config::Scaling,
    port::{DutyAnswer, PoolOrder},
};

/// Interval between two decisions.
const TICK_MS: u64 = 500;

fn scaling(reclaimable_price_ratio: Option<f64>) -> Scaling {
    let zone_prices = ["a", "b", "c"].into_iter().map(|zone| (Arc::from(zone), 1.0)).collect();
    Scaling { min: 1, max: 8, boot_time: Duration::from_secs(4), reclaimable_price_ratio, zone_prices }
}

/// Carries out orders to grow after the boot time, and orders to shrink at once.
struct FakePlatform {
    scaler: Scaler,
    scaling: Scaling,
    /// On-demand and reclaimable servers by zone.
    zones: BTreeMap<Arc<str>, (u32, u32)>,
    starting: Vec<(u64, PoolOrder)>,
    busy_servers: Option<f64>,
    /// Zones where orders of reclaimable servers are refused.
    zones_without_reclaimable: Vec<&'static str>,
    now: u64,
    orders: Vec<PoolOrder>,
}

impl FakePlatform {
    fn new(on_demand: u32, price: Option<f64>) -> Self {
        Self {
            scaler: Scaler::default(),
            scaling: scaling(price),
            zones: ["a", "b", "c"].into_iter().map(|zone| (Arc::from(zone), (on_demand, 0))).collect(),
            starting: Vec::new(),
            busy_servers: None,
            zones_without_reclaimable: Vec::new(),
            now: 0,
            orders: Vec::new(),
        }
    }

    fn run_for(&mut self, seconds: u64) {
        let until = self.now + seconds * 1_000;
        while self.now < until {
            self.now += TICK_MS;
            self.start_servers();
            let zones: Vec<_> = self
                .zones
                .iter()
                .map(|(zone, (on_demand, reclaimable))| ZonePool {
                    zone: zone.clone(),
                    on_demand: *on_demand,
                    reclaimable: *reclaimable,
                    busy_servers: self.busy_servers,
                    lost_servers: 0.0,
                })
                .collect();
            for order in self.scaler.decide(&"pool".into(), &self.scaling, &zones, self.now) {
                let refused = order.reclaimable && self.zones_without_reclaimable.contains(&&*order.zone);
                let answer = if refused { DutyAnswer::Refused } else { DutyAnswer::Done };
                self.scaler.record_answer(&order, answer, self.now);
                assert!(order.count <= self.scaling.max, "{order:?}");
                self.orders.push(order.clone());
                if !refused {
                    self.starting.push((self.now, order));
                }
            }
        }
    }

    fn start_servers(&mut self) {
        let boot = self.scaling.boot_time.as_millis() as u64;
        let now = self.now;
        for (at, order) in &self.starting {
            let Some(zone) = self.zones.get_mut(&order.zone) else { continue };
            let live = if order.reclaimable { &mut zone.1 } else { &mut zone.0 };
            if order.count <= *live || now >= at + boot {
                *live = order.count;
            }
        }
        self.starting.retain(|(at, _)| now < at + boot);
    }

    fn totals(&self) -> (u32, u32) {
        self.zones.values().fold((0, 0), |sum, zone| (sum.0 + zone.0, sum.1 + zone.1))
    }
}

#[test]
fn on_demand_servers_are_replaced_one_for_one_while_load_is_unknown() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    for _ in 0..20 {
        platform.run_for(1);
        let (on_demand, reclaimable) = platform.totals();
        assert!(on_demand + reclaimable >= 12, "only {on_demand} and {reclaimable} servers at {} ms", platform.now);
    }
    assert_eq!(platform.totals(), (0, 12));
}

#[test]
fn oscillating_load_does_not_make_orders_flap() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(0.9);
    platform.run_for(20);
    platform.orders.clear();
    for n in 0..30 {
        platform.busy_servers = Some(if n % 2 == 0 { 0.8 } else { 1.0 });
        platform.run_for(2);
    }
    assert!(platform.orders.len() <= 6, "{} orders: {:?}", platform.orders.len(), platform.orders);
}

#[test]
fn reclaimed_zones_are_replaced_by_on_demand_servers() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(1.3);
    platform.run_for(20);
    let before = platform.totals();
    assert_eq!(before.0, 0);
    platform.zones_without_reclaimable = vec!["a", "b", "c"];
    for zone in ["a", "b"] {
        platform.zones.get_mut(zone).expect("a zone").1 = 0;
        platform.run_for(7);
    }
    // The remaining servers must carry the load of all three zones at a utilization of at most 75 %.
    let (on_demand, reclaimable) = platform.totals();
    assert!(f64::from(on_demand + reclaimable) >= 3.0 * 1.3 / 0.75, "{on_demand} and {reclaimable} servers are left");
    platform.zones_without_reclaimable.clear();
    platform.run_for(30);
    assert_eq!(platform.totals().0, 0, "on-demand servers were not released");
}

#[test]
fn growing_load_scales_the_pool_up() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(0.5);
    platform.run_for(20);
    let (_, before) = platform.totals();
    platform.busy_servers = Some(2.0);
    platform.run_for(6);
    let (_, after) = platform.totals();
    assert!(after >= before + 6, "{before} and then {after} servers");
}

#[test]
fn pool_without_reclaimable_servers_scales_on_demand_servers() {
    let mut platform = FakePlatform::new(4, None);
    platform.busy_servers = Some(0.3);
    platform.run_for(30);
    assert!(platform.orders.iter().all(|order| !order.reclaimable));
    let (on_demand, _) = platform.totals();
    assert!((3..12).contains(&on_demand), "{on_demand} servers");
}

#[test]
fn order_undone_by_a_late_one_is_placed_again() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(0.9);
    platform.run_for(20);
    // The platform carries out an earlier, unanswered order late.
    platform.zones.get_mut("a").expect("a zone").1 = 1;
    platform.run_for(14);
    assert_eq!(platform.zones["a"].1, platform.zones["b"].1);
}

#[test]
fn reclaimed_servers_are_reordered_although_the_target_fell() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(1.3);
    platform.run_for(20);
    platform.zones_without_reclaimable = vec!["a"];
    platform.zones.get_mut("a").expect("a zone").1 = 0;
    platform.orders.clear();
    // The on-demand substitutes leave room for fewer reclaimable servers than before.
    platform.run_for(8);
    let attempts = platform.orders.iter().filter(|order| order.reclaimable && &*order.zone == "a").count();
    assert!(attempts >= 3, "ordered {attempts} times: {:?}", platform.orders);
    platform.busy_servers = Some(0.9);
    platform.zones_without_reclaimable.clear();
    platform.run_for(7);
    assert!(platform.zones["a"].1 >= 3, "{:?}", platform.zones);
}

#[test]
fn zone_lost_soon_after_an_order_is_replaced_at_once() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(0.9);
    platform.run_for(20);
    // A wave of load is answered with an order; all servers of a zone, starting ones included, are reclaimed next.
    platform.busy_servers = Some(2.2);
    platform.run_for(2);
    platform.zones_without_reclaimable = vec!["a", "b", "c"];
    platform.starting.retain(|(_, order)| &*order.zone != "a");
    platform.zones.get_mut("a").expect("a zone").1 = 0;
    platform.orders.clear();
    platform.run_for(2);
    let attempts: Vec<_> = platform.orders.iter().filter(|order| &*order.zone == "a").collect();
    assert!(attempts.iter().any(|order| order.reclaimable), "not ordered again: {:?}", platform.orders);
    let ordered: u32 = platform.orders.iter().filter(|order| !order.reclaimable).map(|order| order.count).sum();
    assert!(ordered >= 1, "no substitutes ordered within 2 s: {:?}", platform.orders);
}

#[test]
fn successive_zone_losses_leave_enough_on_demand_servers() {
    let mut platform = FakePlatform::new(4, Some(0.2));
    platform.busy_servers = Some(1.2);
    platform.run_for(20);
    platform.zones_without_reclaimable = vec!["a", "b", "c"];
    for (zone, seconds) in [("a", 4), ("b", 3), ("c", 1)] {
        platform.zones.get_mut(zone).expect("a zone").1 = 0;
        platform.run_for(seconds);
    }
    // On-demand servers alone must stay below full utilization, as all reclaimable ones are gone.
    let (on_demand, _) = platform.totals();
    assert!(f64::from(on_demand) > 3.0 * 1.2, "{on_demand} servers are left: {:?}", platform.zones);
    platform.run_for(6);
    // Substitutes for one zone must not count again as substitutes for the next.
    let (on_demand, _) = platform.totals();
    assert!(f64::from(on_demand) >= 3.0 * 1.2 / 0.45 * 0.75, "{on_demand} servers are left: {:?}", platform.zones);
}

#[test]
fn decide_orders_replacements_for_servers_that_take_few_requests() {
    let zone = |name: &str, lost_servers| ZonePool {
        zone: name.into(),
        on_demand: 0,
        reclaimable: 5,
        busy_servers: Some(1.3),
        lost_servers,
    };
    for (lost_servers, expected) in [(0.0, vec![]), (1.6, vec![("a", 7)])] {
        let zones = [zone("a", lost_servers), zone("b", 0.0), zone("c", 0.0)];
        let orders = Scaler::default().decide(&"pool".into(), &scaling(Some(0.2)), &zones, 60_000);
        let reclaimable = orders.iter().filter(|order| order.reclaimable);
        assert_eq!(reclaimable.map(|order| (&*order.zone, order.count)).collect::<Vec<_>>(), expected);
    }
    assert!((lost_share(3.6, 50.0) - 0.6).abs() < 1e-9);
    assert!(lost_share(0.0, 50.0) == 1.0 && lost_share(100.0, 50.0) == 0.0);
}
