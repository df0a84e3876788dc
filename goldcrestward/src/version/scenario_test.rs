//! Moves of good and bad versions, many seeded runs of each kind, over the real decision core.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    analysis::Strata,
    rollout::{Decision, Outcome, Readiness, Rollout, Snapshot},
    standardized::Pair,
    tally::Tally,
};
use crate::config::{RolloutMode, VersionPlan};

const RUNS: u64 = 200;
const TICK_S: u64 = 10;
const MOVE_S: u64 = 3_600;
/// Requests of the old version that fail and that are late.
const FAILED: f64 = 0.003;
const LATE: f64 = 0.02;

/// Requests a second and the share of the second route.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    rate: f64,
    second: f64,
}

const SWANVALE: Traffic = Traffic { rate: 30.0, second: 0.3 };
const KLAASVIKAT: Traffic = Traffic { rate: 12.0, second: 0.4 };

/// What happens to both versions alike.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// A reclaim wave: one in ten requests fails for 30 s, every ten minutes.
    Wave,
    /// A pool that is overloaded for a third of the move.
    Overload,
    /// The move's holder dies every five minutes.
    HolderDies,
    /// The platform's service is away for ten minutes.
    Outage,
}

/// How the new version is bad, from a part of the move on.
#[derive(Clone, Copy, Debug)]
struct Fault {
    failed: f64,
    late: f64,
    from: f64,
    second_only: bool,
    above_share: f64,
}

const GOOD: Fault = Fault { failed: 0.0, late: 0.0, from: 0.0, second_only: false, above_share: 0.0 };

#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    full: bool,
    met: u64,
    total: u64,
    largest_unproven: f64,
    seconds: Option<u64>,
    outcomes: u32,
}

struct Run {
    random: SmallRng,
    traffic: Traffic,
    trouble: Trouble,
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

    /// One tick's requests; gives those of the new version and all.
    fn requests(&mut self, second: u64, share: f64) -> (u64, u64) {
        let mut failed = FAILED;
        let mut late = LATE;
        match self.trouble {
            Trouble::Wave if second % 600 < 30 => failed += 0.1,
            Trouble::Overload if (1_200..2_400).contains(&second) => late += 0.25,
            _ => {}
        }
        let bad = second as f64 >= self.fault.from * MOVE_S as f64 && share >= self.fault.above_share;
        let mut met = 0;
        let mut all = 0;
        for (name, part) in [("first", 1.0 - self.traffic.second), ("second", self.traffic.second)] {
            let count = self.traffic.rate * TICK_S as f64 * part;
            let new = self.draw(count * share);
            let old = self.draw(count * (1.0 - share));
            let hit = bad && (!self.fault.second_only || name == "second");
            let (more_failed, more_late) = if hit { (self.fault.failed, self.fault.late) } else { (0.0, 0.0) };
            let new_tally = self.tally(new, failed + more_failed, late + more_late);
            let old_tally = self.tally(old, failed, late);
            let pair = self.strata.entry((name.into(), "zone".into())).or_default();
            pair.new.add(new_tally);
            pair.old.add(old_tally);
            met += if hit { new } else { 0 };
            all += new + old;
        }
        (met, all)
    }
}

fn plan() -> VersionPlan {
    VersionPlan {
        name: "new".into(),
        rollout_key: "new".into(),
        pool: "pool".into(),
        start_ms: Some(0),
        date_ms: Some(MOVE_S * 1_000),
        steps: vec![0.01, 0.05, 0.2, 0.5, 1.0],
        harm_threshold: 0.05,
        mode: RolloutMode::Planned,
    }
}

fn run(traffic: Traffic, fault: Fault, trouble: Trouble, seed: u64) -> Ended {
    let mut run = Run { random: SmallRng::seed_from_u64(seed), traffic, trouble, fault, strata: Strata::new() };
    let mut rollout = Rollout::new(plan(), 0, 0);
    let mut ended = Ended::default();
    let mut step = 0;
    let mut proven = false;
    let mut back = false;
    for second in (0..=MOVE_S + 600).step_by(TICK_S as usize) {
        let share = if back { 0.0 } else { Rollout::share(&plan(), step) };
        let (met, all) = run.requests(second, share);
        ended.met += met;
        ended.total += all;
        if !proven {
            ended.largest_unproven = ended.largest_unproven.max(share);
        }
        if trouble == Trouble::HolderDies && second % 300 == 0 {
            rollout = Rollout::new(plan(), step, second * 1_000);
        }
        if ended.outcomes > 0 {
            continue;
        }
        let ready = Readiness { new: 12, old: 12 };
        let snapshot = Snapshot { now_ms: second * 1_000, strata: run.strata.clone(), ready };
        let Some(decision) = rollout.decide(&snapshot) else { continue };
        if let Decision::End(Outcome::RolledBack, _) = &decision
            && !back
        {
            // Taking back takes effect at once, with or without the service.
            back = true;
            ended.seconds = Some(second.saturating_sub((fault.from * MOVE_S as f64) as u64));
        }
        let away = trouble == Trouble::Outage && (1_500..2_100).contains(&second);
        if away {
            continue;
        }
        rollout.apply(&decision, second * 1_000);
        match decision {
            Decision::Advance(next) => {
                step = next;
                proven |= Rollout::share(&plan(), next) > 0.05;
            }
            Decision::End(outcome, _) => {
                ended.outcomes += 1;
                ended.full = outcome == Outcome::Completed;
                if ended.full {
                    step = plan().steps.len() + 1;
                }
            }
        }
    }
    ended
}

/// Plain ways to move, for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Baseline {
    /// Fixed steps; back when the step's rate of failed or late requests is above the old one's by the harm.
    Threshold,
    /// Fixed steps; back when a two-proportion z-test at the end of a step is significant at 1%.
    FixedHorizon,
}

fn run_baseline(baseline: Baseline, traffic: Traffic, fault: Fault, trouble: Trouble, seed: u64) -> Ended {
    let mut run = Run { random: SmallRng::seed_from_u64(seed), traffic, trouble, fault, strata: Strata::new() };
    let steps = plan().steps;
    let length = MOVE_S * 3 / 4 / steps.len() as u64;
    let (mut step, mut back) = (1, false);
    let mut before = Pair::default();
    let mut ended = Ended::default();
    for second in (0..=MOVE_S + 600).step_by(TICK_S as usize) {
        let share = if back { 0.0 } else { Rollout::share(&plan(), step) };
        let (met, all) = run.requests(second, share);
        ended.met += met;
        ended.total += all;
        if back || second == 0 || second % length != 0 || second > MOVE_S {
            continue;
        }
        let mut sum = Pair::default();
        for pair in run.strata.values() {
            sum.old.add(pair.old);
            sum.new.add(pair.new);
        }
        let since = Pair { old: sum.old - before.old, new: sum.new - before.new };
        before = sum;
        if baseline.condemns(&since) {
            back = true;
            ended.seconds = Some(second.saturating_sub((fault.from * MOVE_S as f64) as u64));
        } else {
            step = (step + 1).min(steps.len());
        }
    }
    ended.outcomes = 1;
    ended.full = !back;
    ended
}

impl Baseline {
    fn condemns(self, pair: &Pair) -> bool {
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

struct Cell {
    name: &'static str,
    fault: Fault,
    trouble: Trouble,
}

const CELLS: [Cell; 14] = [
    Cell { name: "good", fault: GOOD, trouble: Trouble::None },
    Cell { name: "good, reclaim waves", fault: GOOD, trouble: Trouble::Wave },
    Cell { name: "good, overload", fault: GOOD, trouble: Trouble::Overload },
    Cell { name: "good, holder dies", fault: GOOD, trouble: Trouble::HolderDies },
    Cell { name: "good, outage", fault: GOOD, trouble: Trouble::Outage },
    Cell { name: "fails 1 in 20 at once", fault: Fault { failed: 0.05, ..GOOD }, trouble: Trouble::None },
    Cell { name: "fails 1 in 4 at once", fault: Fault { failed: 0.25, ..GOOD }, trouble: Trouble::None },
    Cell { name: "late 1 in 10 at once", fault: Fault { late: 0.1, ..GOOD }, trouble: Trouble::None },
    Cell {
        name: "fails 1 in 10 on one route",
        fault: Fault { failed: 0.1, second_only: true, ..GOOD },
        trouble: Trouble::None,
    },
    Cell {
        name: "fails 1 in 10 under load",
        fault: Fault { failed: 0.1, above_share: 0.5, ..GOOD },
        trouble: Trouble::None,
    },
    Cell { name: "fails 1 in 10 from half", fault: Fault { failed: 0.1, from: 0.5, ..GOOD }, trouble: Trouble::None },
    Cell { name: "fails 1 in 10 from 85%", fault: Fault { failed: 0.1, from: 0.85, ..GOOD }, trouble: Trouble::None },
    Cell { name: "fails 1 in 20, holder dies", fault: Fault { failed: 0.05, ..GOOD }, trouble: Trouble::HolderDies },
    Cell { name: "fails 1 in 10, outage", fault: Fault { failed: 0.1, from: 0.42, ..GOOD }, trouble: Trouble::Outage },
];

#[test]
fn baselines_for_comparison() {
    println!("baseline,traffic,version,full,taken back,met");
    let mut lines = 0;
    for baseline in [Baseline::Threshold, Baseline::FixedHorizon] {
        for (traffic_name, traffic) in [("swanvale", SWANVALE), ("klaasvikat", KLAASVIKAT)] {
            for cell in &CELLS {
                let ends: Vec<Ended> =
                    (0..RUNS).map(|seed| run_baseline(baseline, traffic, cell.fault, cell.trouble, seed)).collect();
                let full = ends.iter().filter(|e| e.full).count() as u64;
                let met = ends.iter().map(|e| e.met).sum::<u64>() / RUNS;
                println!("{baseline:?},{traffic_name},{},{full},{},{met}", cell.name.replace(',', ";"), RUNS - full);
                lines += 1;
            }
        }
    }
    assert_eq!(lines, 2 * 2 * CELLS.len(), "a kind of move was left out");
}

#[test]
fn moves_end_as_their_versions_deserve() {
    let mut lines =
        vec!["traffic,version,on time,taken back,met %,met,seconds to zero p50,p95,largest share unproven".to_owned()];
    let mut wrong = Vec::new();
    for (traffic_name, traffic) in [("swanvale", SWANVALE), ("klaasvikat", KLAASVIKAT)] {
        let results: Vec<Vec<Ended>> = std::thread::scope(|scope| {
            let spawn = |cell: &'static Cell| {
                scope.spawn(move || (0..RUNS).map(|seed| run(traffic, cell.fault, cell.trouble, seed)).collect())
            };
            let handles: Vec<_> = CELLS.iter().map(spawn).collect();
            handles.into_iter().map(|handle| handle.join().expect("the runs end")).collect()
        });
        for (cell, ends) in CELLS.iter().zip(results) {
            let full = ends.iter().filter(|e| e.full).count() as u64;
            let mut seconds: Vec<u64> = ends.iter().filter_map(|e| e.seconds).collect();
            seconds.sort_unstable();
            let at = |part: f64| seconds.get((seconds.len() as f64 * part) as usize).map_or("-".into(), u64::to_string);
            let met = ends.iter().map(|e| e.met).sum::<u64>() / RUNS;
            let total = ends.iter().map(|e| e.total).sum::<u64>() / RUNS;
            let largest = ends.iter().map(|e| e.largest_unproven).fold(0.0, f64::max);
            lines.push(format!(
                "{traffic_name},{},{full},{},{:.2},{met},{},{},{largest}",
                cell.name.replace(',', ";"),
                RUNS - full,
                100.0 * met as f64 / total as f64,
                at(0.5),
                at(0.95)
            ));
            let good = cell.fault.failed == 0.0 && cell.fault.late == 0.0;
            let as_deserved = if good { full * 100 >= RUNS * 99 } else { full == 0 };
            let one_outcome = ends.iter().all(|e| e.outcomes == 1);
            if !as_deserved || !one_outcome || largest > 0.05 {
                wrong.push(format!("{traffic_name}, {}: {full} of {RUNS} full", cell.name));
            }
        }
    }
    println!("{}", lines.join("\n"));
    assert!(wrong.is_empty(), "{wrong:#?}");
}
