//! Tests of the sums over the daemons of a site.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use super::{
    super::{
        changed_rows::ChangedRows,
        timing::{exchange_interval, other_region_stride},
    },
    FleetTable, Loads, RUNS_TIMEOUT_MS, Runs, SumHead, Works,
};
use crate::process::{loads::PeerLoad, run_counts::RunCounts, run_times::RunKind};

fn loads(rows: &[(u64, u32)]) -> Loads {
    rows.iter().map(|(replica, running)| (*replica, PeerLoad { running: *running, prefill_ms: 0.0 })).collect()
}

fn works(ms: f64) -> Works {
    BTreeMap::from([(Arc::from("pool"), ms)])
}

fn head(relay: &str, daemons: u32) -> SumHead<'_> {
    SumHead { relay, life: 1, daemons, period_ms: 200 }
}

fn name(n: usize) -> Arc<str> {
    format!("daemon-{n}").into()
}

#[test]
fn sums_do_not_depend_on_order_or_repetition() {
    let mut random = SmallRng::seed_from_u64(11);
    let reports: Vec<(usize, u32)> = (0..300).map(|n| (n, random.random_range(1..5))).collect();
    let expected: u32 = reports.iter().map(|(_, running)| running).sum();
    for _ in 0..5 {
        let mut repeated: Vec<_> = reports.iter().chain(&reports).copied().collect();
        repeated.shuffle(&mut random);
        let mut table = FleetTable::default();
        for (n, running) in repeated {
            table.apply_report(&name(n), 1, loads(&[(7, running)]), works(f64::from(running)), false, 100);
        }
        assert_eq!(table.zone_loads(200), loads(&[(7, expected)]));
        assert_eq!(table.zone_works(), works(f64::from(expected)));
        assert_eq!(table.heard_members(200), 300);
    }
}

#[test]
fn work_of_stopped_and_restarted_daemons_stays_in_the_sum() {
    let mut table = FleetTable::default();
    table.apply_report(&name(1), 1, loads(&[(7, 2)]), works(100.0), false, 0);
    table.apply_report(&name(2), 1, loads(&[(7, 1)]), works(50.0), false, 0);
    assert!(!table.apply_report(&name(1), 2, loads(&[]), works(10.0), false, 500), "a restart");
    assert_eq!(table.zone_works(), works(160.0));
    assert_eq!(table.zone_loads(600), loads(&[(7, 1)]), "the restarted daemon runs nothing");
    table.remove_member(&name(2));
    assert_eq!(table.zone_works(), works(160.0));
    table.expire(60_000);
    assert_eq!(table.zone_works(), works(160.0));
    assert_eq!(table.heard_members(60_000), 0);
}

#[test]
fn loads_of_all_but_the_recipient() {
    let mut table = FleetTable::default();
    table.apply_report(&name(1), 1, loads(&[(7, 2), (8, 1)]), works(0.0), false, 0);
    table.apply_report(&name(2), 1, loads(&[(7, 3)]), works(0.0), false, 0);
    table.apply_zone_sum(&"other".into(), head("far-1", 4), (loads(&[(7, 4), (9, 5)]), works(0.0)), 0);
    let all = table.all_loads(100);
    assert_eq!(table.without_member(&all, "daemon-1", 100), loads(&[(7, 7), (9, 5)]));
    assert_eq!(table.without_member(&all, "daemon-2", 100), loads(&[(7, 6), (8, 1), (9, 5)]));
    assert_eq!(table.all_loads(10_000), loads(&[]), "old reports do not count");
}

#[test]
fn load_that_is_not_refreshed_expires() {
    // The message that told of the load's end was lost, and the daemon goes on reporting other loads.
    let mut table = FleetTable::default();
    table.apply_report(&name(1), 1, loads(&[(7, 2), (8, 1)]), works(0.0), false, 0);
    for now in (200..=6_000).step_by(200) {
        table.apply_report(&name(1), 1, loads(&[(8, 1)]), works(0.0), false, now);
    }
    assert_eq!(table.zone_loads(6_000), loads(&[(8, 1)]));
    let all = table.all_loads(6_000);
    assert_eq!(table.without_member(&all, "daemon-1", 6_000), loads(&[]));
}

#[test]
fn sum_of_another_relay_replaces_the_zone() {
    let zone: Arc<str> = "other".into();
    let mut table = FleetTable::default();
    let figures = |running, ms| (loads(&[(7, running)]), works(ms));
    assert_eq!(table.apply_zone_sum(&zone, head("far-1", 4), figures(4, 100.0), 0), Some(false));
    assert_eq!(table.apply_zone_sum(&zone, head("far-1", 4), figures(5, 110.0), 200), Some(true));
    // The relay has stopped and another one, which knows other totals, speaks for the zone.
    assert_eq!(table.apply_zone_sum(&zone, head("far-2", 3), figures(2, 40.0), 1_200), Some(false));
    assert_eq!(table.all_loads(1_300), loads(&[(7, 2)]), "both relays' sums must not add up");
    assert_eq!(table.apply_zone_sum(&zone, head("far-2", 3), figures(3, 45.0), 1_400), Some(true));
}

/// Guards against sums of far zones that are taken for those of a new relay, so that what the zones use is never charged.
#[test]
fn zone_sums_continue_after_one_was_lost() {
    let zone: Arc<str> = "far".into();
    for (zones, members) in [(3, 3), (6, 33), (33, 22)] {
        let period_ms = exchange_interval(members).as_millis() as u64 * u64::from(other_region_stride(zones));
        let mut table = FleetTable::default();
        let head = SumHead { period_ms, ..head("far-1", 4) };
        let mut apply = |now| table.apply_zone_sum(&zone, head, (loads(&[(7, 4)]), works(0.0)), now);
        assert_eq!(apply(0), Some(false));
        for (number, now) in [1, 2, 4, 5, 7].map(|number| (number, number * period_ms)) {
            assert_eq!(apply(now), Some(true), "{zones} zones: sum {number} after {period_ms} ms each");
        }
        let reach = table.reach(8, 9 * period_ms);
        assert!(reach.zones.iter().all(|(_, _, is_heard)| *is_heard), "{zones} zones: silent after one lost sum");
        assert_eq!(table.all_loads(9 * period_ms), loads(&[(7, 4)]), "{zones} zones: expired after one lost sum");
    }
}

#[test]
fn reach_counts_silent_daemons_until_they_leave() {
    let zone: Arc<str> = "other".into();
    let mut table = FleetTable::default();
    for n in 0..3 {
        table.apply_report(&name(n), 1, loads(&[]), works(0.0), false, 0);
    }
    table.apply_zone_sum(&zone, head("far-1", 4), Default::default(), 0);
    let reach = table.reach(7, 100);
    assert_eq!((reach.own, reach.total, reach.zones), (3, 7, vec![(zone.clone(), 4, true)]));
    // One daemon and the other zone go silent; the membership counts them out before they are forgotten.
    table.apply_report(&name(0), 1, loads(&[]), works(0.0), false, 9_000);
    table.apply_report(&name(1), 1, loads(&[]), works(0.0), false, 9_000);
    table.expire(9_000);
    let reach = table.reach(2, 9_100);
    assert_eq!((reach.own, reach.total, reach.zones), (2, 7, vec![(zone, 4, false)]));
    table.remove_member("daemon-2");
    assert_eq!(table.reach(2, 9_100).total, 6);
    table.expire(40_000);
    assert_eq!(table.reach(2, 40_000).total, 2);
}

/// A site of model replicas with long prompts, whose loads change a lot, and plain servers with six slots and short requests.
#[test]
fn loads_of_small_servers_are_sent_beside_those_of_long_prompts() {
    const ROWS: usize = 44;
    let mut random = SmallRng::seed_from_u64(5);
    let (models, servers) = (66_u64, 6_u64);
    let (mut sender, mut received) = (ChangedRows::default(), BTreeMap::<u64, (PeerLoad, u64)>::new());
    for round in 0..200_u64 {
        let mut current = Loads::new();
        for replica in 0..models {
            let (running, prefill_ms) = (random.random_range(10..50), random.random_range(0.0..800.0));
            current.insert(replica, PeerLoad { running, prefill_ms });
        }
        for replica in models..models + servers {
            current.insert(replica, PeerLoad { running: random.random_range(1..6), prefill_ms: 0.0 });
        }
        for (replica, load) in sender.take(&current, ROWS, round * 200) {
            received.insert(replica, (load, round));
        }
        if round > 3 {
            for replica in models..models + servers {
                let (known, sent) = &received[&replica];
                let is_current = *known == current[&replica];
                assert!(is_current || round - sent <= 3, "server {replica} is {} rounds old", round - sent);
            }
        }
    }
}

#[test]
fn extreme_figures_of_a_peer_do_no_harm() {
    let zones: [Arc<str>; 2] = ["one".into(), "two".into()];
    let mut table = FleetTable::default();
    for zone in &zones {
        table.apply_zone_sum(zone, head("far", u32::MAX), (loads(&[(7, u32::MAX)]), works(f64::MAX)), 0);
    }
    table.apply_report(&name(1), u64::MAX, loads(&[(7, u32::MAX)]), works(f64::MAX), false, 0);
    assert_eq!(table.all_loads(0), loads(&[(7, u32::MAX)]));
    assert_eq!(table.reach(usize::MAX, 0).total, u32::MAX);
    assert_eq!(table.without_member(&table.all_loads(0), "daemon-1", 0), loads(&[]));
}

fn runs(rows: &[(u64, u32)]) -> Runs {
    let mut counts = RunCounts::default();
    rows.iter().for_each(|(ms, count)| counts.record(Duration::from_millis(*ms), *count));
    Runs::from([(RunKind::new(Arc::from("route"), Some(100)), counts)])
}

#[test]
fn runs_of_the_own_zone_and_of_others_are_summed() {
    let mut table = FleetTable::default();
    let zone: Arc<str> = "far".into();
    for (n, ms) in [(1, 1_000), (2, 9_000)] {
        table.apply_report(&name(n), 1, loads(&[]), works(0.0), false, 0);
        table.apply_member_runs(&name(n), runs(&[(ms, 5)]), 0);
    }
    table.apply_zone_sum(&zone, head("relay", 3), (loads(&[]), works(0.0)), 0);
    table.apply_zone_runs(&zone, runs(&[(1_000, 40)]), 0);
    assert_eq!(table.zone_runs(1), runs(&[(1_000, 5), (9_000, 5)]));
    assert_eq!(table.all_runs(1), runs(&[(1_000, 45), (9_000, 5)]));
    // What is reported again takes the place of what was.
    table.apply_member_runs(&name(2), runs(&[(1_000, 1)]), 1);
    assert_eq!(table.all_runs(1), runs(&[(1_000, 46)]));
    table.remove_member(&name(1));
    assert_eq!(table.zone_runs(1), runs(&[(1_000, 1)]));
    assert_eq!(table.all_runs(1 + RUNS_TIMEOUT_MS), Runs::new());
}
