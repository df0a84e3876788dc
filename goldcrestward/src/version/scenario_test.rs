//! Simulated planned rollouts of good and bad versions: many seeded runs of each scenario against the real decision
//! logic.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    analysis::Strata,
    rollout::{Decision, Outcome, Readiness, Rollout, Snapshot},
    standardized::TallyPair,
    tally::Tally,
};
use crate::config::{RolloutMode, VersionPlan};

const RUNS: u64 = 200;
const TICK_S: u64 = 10;
const ROLLOUT_S: u64 = 3_600;
/// Shares of requests that fail or are late on both versions without a fault or disturbance.
const BASE_FAILED_SHARE: f64 = 0.003;
const BASE_LATE_SHARE: f64 = 0.02;

/// Requests a second, and the share of them on the second route.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    rate: f64,
    second_route_share: f64,
}

const SWANVALE: Traffic = Traffic { rate: 30.0, second_route_share: 0.3 };
const KLAASVIKAT: Traffic = Traffic { rate: 12.0, second_route_share: 0.4 };

/// Disturbance that affects both versions alike.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    None,
    /// Instances are reclaimed in waves: one in ten requests fails for 30 s, every ten minutes.
    ReclaimWaves,
    /// The pool is overloaded for a third of the rollout.
    Overload,
    /// The daemon that holds the rollout crashes every five minutes.
    HolderCrashes,
    /// The platform's key-value service is unavailable for ten minutes.
    Outage,
}

/// Fault of the new version, from a fraction of the rollout and a share of traffic on.
#[derive(Clone, Copy, Debug)]
struct Fault {
    failed: f64,
    late: f64,
    from_fraction: f64,
    second_route_only: bool,
    above_share: f64,
}

const GOOD: Fault = Fault { failed: 0.0, late: 0.0, from_fraction: 0.0, second_route_only: false, above_share: 0.0 };

#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    completed: bool,
    affected: u64,
    total: u64,
    max_unproven_share: f64,
    rollback_s: Option<u64>,
    outcomes: u32,
}

struct Run {
    random: SmallRng,
    traffic: Traffic,
    disturbance: Disturbance,
    fault: Fault,
    strata: Strata,
}

impl Run {
    fn draw(&mut self, count: f64) -> u64 {
        let whole = count.floor();
        whole as u64 + u64::from(self.random.random_bool(count - whole))
    }

    fn hits(&mut self, count: u64, share: f64) -> u64 {
        (0..count).filter(|_| self.random.random_bool(share.min(1.0))).count() as u64
    }

    fn tally(&mut self, count: u64, failed: f64, late: f64) -> Tally {
        Tally { count, failed: self.hits(count, failed), slow: self.hits(count, late) }
    }

    /// Adds the requests of one tick; returns how many the fault affected, and all.
    fn requests(&mut self, second: u64, share: f64) -> (u64, u64) {
        let mut failed = BASE_FAILED_SHARE;
        let mut late = BASE_LATE_SHARE;
        match self.disturbance {
            Disturbance::ReclaimWaves if second % 600 < 30 => failed += 0.1,
            Disturbance::Overload if (1_200..2_400).contains(&second) => late += 0.25,
            _ => {}
        }
        let is_faulty = second as f64 >= self.fault.from_fraction * ROLLOUT_S as f64 && share >= self.fault.above_share;
        let mut affected = 0;
        let mut all = 0;
        for (name, part) in
            [("first", 1.0 - self.traffic.second_route_share), ("second", self.traffic.second_route_share)]
        {
            let count = self.traffic.rate * TICK_S as f64 * part;
            let new = self.draw(count * share);
            let old = self.draw(count * (1.0 - share));
            let is_affected = is_faulty && (!self.fault.second_route_only || name == "second");
            let (more_failed, more_late) = if is_affected { (self.fault.failed, self.fault.late) } else { (0.0, 0.0) };
            let new_tally = self.tally(new, failed + more_failed, late + more_late);
            let old_tally = self.tally(old, failed, late);
            let pair = self.strata.entry((name.into(), "zone".into())).or_default();
            pair.new.add(new_tally);
            pair.old.add(old_tally);
            affected += if is_affected { new } else { 0 };
            all += new + old;
        }
        (affected, all)
    }
}

fn plan() -> VersionPlan {
    VersionPlan {
        name: "new".into(),
        rollout_key: "new".into(),
        pool: "pool".into(),
        start_ms: Some(0),
        date_ms: Some(ROLLOUT_S * 1_000),
        steps: vec![0.01, 0.05, 0.2, 0.5, 1.0],
        harm_threshold: 0.05,
        mode: RolloutMode::Planned,
    }
}

fn run(traffic: Traffic, fault: Fault, disturbance: Disturbance, seed: u64) -> RunResult {
    let mut run = Run { random: SmallRng::seed_from_u64(seed), traffic, disturbance, fault, strata: Strata::new() };
    let mut rollout = Rollout::new(plan(), 0, 0);
    let mut result = RunResult::default();
    let mut step = 0;
    let mut proven = false;
    let mut rolled_back = false;
    for second in (0..=ROLLOUT_S + 600).step_by(TICK_S as usize) {
        let share = if rolled_back { 0.0 } else { Rollout::share(&plan(), step) };
        let (affected, all) = run.requests(second, share);
        result.affected += affected;
        result.total += all;
        if !proven {
            result.max_unproven_share = result.max_unproven_share.max(share);
        }
        if disturbance == Disturbance::HolderCrashes && second % 300 == 0 {
            rollout = Rollout::new(plan(), step, second * 1_000);
        }
        if result.outcomes > 0 {
            continue;
        }
        let ready = Readiness { new: 12, old: 12 };
        let snapshot = Snapshot { now_ms: second * 1_000, strata: run.strata.clone(), ready };
        let Some(decision) = rollout.decide(&snapshot) else { continue };
        if let Decision::End(Outcome::RolledBack, _) = &decision
            && !rolled_back
        {
            // A rollback takes effect at once, whether or not the key-value service is available.
            rolled_back = true;
            result.rollback_s = Some(second.saturating_sub((fault.from_fraction * ROLLOUT_S as f64) as u64));
        }
        let is_outage = disturbance == Disturbance::Outage && (1_500..2_100).contains(&second);
        if is_outage {
            continue;
        }
        rollout.apply(&decision, second * 1_000);
        match decision {
            Decision::Advance(next) => {
                step = next;
                proven |= Rollout::share(&plan(), next) > 0.05;
            }
            Decision::End(outcome, _) => {
                result.outcomes += 1;
                result.completed = outcome == Outcome::Completed;
                if result.completed {
                    step = plan().steps.len() + 1;
                }
            }
        }
    }
    result
}

/// Simple rollout strategies, for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Baseline {
    /// Fixed steps; rolls back when the rate of failed or late requests in a step exceeds that of the old version by
    /// more than the allowed harm.
    Threshold,
    /// Fixed steps; rolls back when a two-proportion z-test at the end of a step is significant at 1%.
    FixedHorizon,
}

fn run_baseline(baseline: Baseline, traffic: Traffic, fault: Fault, disturbance: Disturbance, seed: u64) -> RunResult {
    let mut run = Run { random: SmallRng::seed_from_u64(seed), traffic, disturbance, fault, strata: Strata::new() };
    let steps = plan().steps;
    let step_s = ROLLOUT_S * 3 / 4 / steps.len() as u64;
    let (mut step, mut rolled_back) = (1, false);
    let mut before = TallyPair::default();
    let mut result = RunResult::default();
    for second in (0..=ROLLOUT_S + 600).step_by(TICK_S as usize) {
        let share = if rolled_back { 0.0 } else { Rollout::share(&plan(), step) };
        let (affected, all) = run.requests(second, share);
        result.affected += affected;
        result.total += all;
        if rolled_back || second == 0 || second % step_s != 0 || second > ROLLOUT_S {
            continue;
        }
        let mut sum = TallyPair::default();
        for pair in run.strata.values() {
            sum.old.add(pair.old);
            sum.new.add(pair.new);
        }
        let since = TallyPair { old: sum.old - before.old, new: sum.new - before.new };
        before = sum;
        if baseline.rolls_back(&since) {
            rolled_back = true;
            result.rollback_s = Some(second.saturating_sub((fault.from_fraction * ROLLOUT_S as f64) as u64));
        } else {
            step = (step + 1).min(steps.len());
        }
    }
    result.outcomes = 1;
    result.completed = !rolled_back;
    result
}

impl Baseline {
    fn rolls_back(self, pair: &TallyPair) -> bool {
        let (new, old) = (pair.new, pair.old);
        [(new.failed, old.failed), (new.slow, old.slow)].into_iter().any(|(new_hits, old_hits)| {
            let (n, m) = (new.count.max(1) as f64, old.count.max(1) as f64);
            let (p, q) = (new_hits as f64 / n, old_hits as f64 / m);
            match self {
                Self::Threshold => p > q + plan().harm_threshold,
                Self::FixedHorizon => {
                    let pooled = (new_hits + old_hits) as f64 / (n + m);
                    let error = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
                    error > 0.0 && (p - q) / error > 2.326
                }
            }
        })
    }
}

struct Scenario {
    name: &'static str,
    fault: Fault,
    disturbance: Disturbance,
}

const SCENARIOS: [Scenario; 14] = [
    Scenario { name: "good", fault: GOOD, disturbance: Disturbance::None },
    Scenario { name: "good, reclaim waves", fault: GOOD, disturbance: Disturbance::ReclaimWaves },
    Scenario { name: "good, overload", fault: GOOD, disturbance: Disturbance::Overload },
    Scenario { name: "good, holder crashes", fault: GOOD, disturbance: Disturbance::HolderCrashes },
    Scenario { name: "good, outage", fault: GOOD, disturbance: Disturbance::Outage },
    Scenario { name: "fails 1 in 20 at once", fault: Fault { failed: 0.05, ..GOOD }, disturbance: Disturbance::None },
    Scenario { name: "fails 1 in 4 at once", fault: Fault { failed: 0.25, ..GOOD }, disturbance: Disturbance::None },
    Scenario { name: "late 1 in 10 at once", fault: Fault { late: 0.1, ..GOOD }, disturbance: Disturbance::None },
    Scenario {
        name: "fails 1 in 10 on one route",
        fault: Fault { failed: 0.1, second_route_only: true, ..GOOD },
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "fails 1 in 10 under load",
        fault: Fault { failed: 0.1, above_share: 0.5, ..GOOD },
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "fails 1 in 10 from half",
        fault: Fault { failed: 0.1, from_fraction: 0.5, ..GOOD },
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "fails 1 in 10 from 85%",
        fault: Fault { failed: 0.1, from_fraction: 0.85, ..GOOD },
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "fails 1 in 20, holder crashes",
        fault: Fault { failed: 0.05, ..GOOD },
        disturbance: Disturbance::HolderCrashes,
    },
    Scenario {
        name: "fails 1 in 10, outage",
        fault: Fault { failed: 0.1, from_fraction: 0.42, ..GOOD },
        disturbance: Disturbance::Outage,
    },
];

#[test]
fn baselines_for_comparison() {
    println!("baseline,traffic,version,completed,rolled back,affected");
    let mut lines = 0;
    for baseline in [Baseline::Threshold, Baseline::FixedHorizon] {
        for (traffic_name, traffic) in [("swanvale", SWANVALE), ("klaasvikat", KLAASVIKAT)] {
            for scenario in &SCENARIOS {
                let results: Vec<RunResult> = (0..RUNS)
                    .map(|seed| run_baseline(baseline, traffic, scenario.fault, scenario.disturbance, seed))
                    .collect();
                let completed = results.iter().filter(|r| r.completed).count() as u64;
                let affected = results.iter().map(|r| r.affected).sum::<u64>() / RUNS;
                println!(
                    "{baseline:?},{traffic_name},{},{completed},{},{affected}",
                    scenario.name.replace(',', ";"),
                    RUNS - completed
                );
                lines += 1;
            }
        }
    }
    assert_eq!(lines, 2 * 2 * SCENARIOS.len(), "a scenario was left out");
}

#[test]
fn rollouts_complete_good_and_roll_back_bad_versions() {
    let mut lines = vec![
        "traffic,version,completed,rolled back,affected %,affected,seconds to rollback p50,p95,largest unproven share"
            .to_owned(),
    ];
    let mut failures = Vec::new();
    for (traffic_name, traffic) in [("swanvale", SWANVALE), ("klaasvikat", KLAASVIKAT)] {
        let results_by_scenario: Vec<Vec<RunResult>> = std::thread::scope(|scope| {
            let spawn = |scenario: &'static Scenario| {
                scope.spawn(move || {
                    (0..RUNS).map(|seed| run(traffic, scenario.fault, scenario.disturbance, seed)).collect()
                })
            };
            let handles: Vec<_> = SCENARIOS.iter().map(spawn).collect();
            handles.into_iter().map(|handle| handle.join().expect("the runs end")).collect()
        });
        for (scenario, results) in SCENARIOS.iter().zip(results_by_scenario) {
            let completed = results.iter().filter(|r| r.completed).count() as u64;
            let mut rollback_s: Vec<u64> = results.iter().filter_map(|r| r.rollback_s).collect();
            rollback_s.sort_unstable();
            let at = |part: f64| {
                rollback_s.get((rollback_s.len() as f64 * part) as usize).map_or("-".into(), u64::to_string)
            };
            let affected = results.iter().map(|r| r.affected).sum::<u64>() / RUNS;
            let total = results.iter().map(|r| r.total).sum::<u64>() / RUNS;
            let max_unproven_share = results.iter().map(|r| r.max_unproven_share).fold(0.0, f64::max);
            lines.push(format!(
                "{traffic_name},{},{completed},{},{:.2},{affected},{},{},{max_unproven_share}",
                scenario.name.replace(',', ";"),
                RUNS - completed,
                100.0 * affected as f64 / total as f64,
                at(0.5),
                at(0.95)
            ));
            let is_good = scenario.fault.failed == 0.0 && scenario.fault.late == 0.0;
            let is_as_expected = if is_good { completed * 100 >= RUNS * 99 } else { completed == 0 };
            let one_outcome = results.iter().all(|r| r.outcomes == 1);
            if !is_as_expected || !one_outcome || max_unproven_share > 0.05 {
                failures.push(format!("{traffic_name}, {}: {completed} of {RUNS} completed", scenario.name));
            }
        }
    }
    println!("{}", lines.join("\n"));
    assert!(failures.is_empty(), "{failures:#?}");
}
