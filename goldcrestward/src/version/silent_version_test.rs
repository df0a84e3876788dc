//! Simulated ordered rollouts of versions whose servers fall silent for a short time, as sound servers may.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Decision, Outcome, Readiness, Rollout, SilenceRecord, Snapshot, Strata, Tally, ordered_plan};
use crate::store::Revision;

const ZONES: usize = 3;
/// Servers of the new version, one zone after the other.
const SERVERS: usize = 6;
const STEP_MS: u64 = 10;
/// Interval of the holder's decisions.
const TICK_MS: u64 = 500;
/// Time until a daemon knows of a decision.
const NEWS_MS: u64 = 300;
/// Longest time that a daemon's tallies take to the holder.
const REPORT_MS: u64 = 100;
/// Requests of a rollout, with which there is enough evidence to complete it.
const REQUESTS: f64 = 2_800.0;
/// Usual time to the response, its spread as the standard deviation of its logarithm, and the latency target.
const USUAL_MS: f64 = 60.0;
const SPREAD: f64 = 0.6;
const TARGET_MS: u64 = 500;
/// Wait of a request after which its server's health is checked.
const CHECK_AFTER_MS: u64 = 300;
/// Time until a server that is not silent answers a health check.
const HEALTH_MS: u64 = 10;
/// Idle time after which a request is sent to another server, if that is possible.
const IDLE_MS: u64 = 1_500;
const BAD_ANSWERS: u64 = 50;
const MAX_ROLLBACK_MS: u64 = 5_000;
/// Most requests that a bad version may get: a share of all requests during the rollout, plus a fixed number.
const MAX_EXPOSED: (f64, u64) = (0.1, 50);
const SEEDS: u64 = 100;
/// Least share of the good versions that must be completed.
const MIN_COMPLETED_SHARE: f64 = 0.99;

/// Which servers of the new version are silent, and when.
#[derive(Clone, Copy, Debug)]
enum Silences {
    None,
    AllAtOnce,
    OneAfterAnother,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    daemons: usize,
    /// Requests per second at all daemons.
    rate: f64,
    silences: Silences,
    silence_ms: u64,
    /// Factor on the times of the new version's slow answers, and their share.
    slow: (f64, f64),
    /// Share of the new version's requests that fail.
    failing: f64,
}

struct Request {
    sent_at: u64,
    daemon: usize,
    server: usize,
    is_new: bool,
    /// When the server would answer if it were not silent.
    due: u64,
    fails: bool,
    is_bad: bool,
}

#[derive(Debug, Default)]
struct RunResult {
    outcome: Option<Outcome>,
    /// Requests that the version got, and those that were sent too late after its bad answers.
    arrived: u64,
    late_exposure: u64,
}

/// When a server of the new version goes on, if it is silent.
fn silent_until(scenario: Scenario, server: usize, duration_ms: u64, now: u64) -> Option<u64> {
    let start = match scenario.silences {
        Silences::None => return None,
        Silences::AllAtOnce => duration_ms / 4,
        Silences::OneAfterAnother => duration_ms / 10 + server as u64 * duration_ms / 10,
    };
    (start..start + scenario.silence_ms).contains(&now).then_some(start + scenario.silence_ms)
}

fn normal(random: &mut SmallRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

fn run(scenario: Scenario, seed: u64) -> RunResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let duration = Duration::from_secs((REQUESTS / scenario.rate).ceil().max(12.0) as u64);
    let duration_ms = duration.as_millis() as u64;
    let plan = ordered_plan("pool".into(), "new".into(), duration, Revision::new(0, 7), 0);
    let mut rollout = Rollout::new(plan.clone(), 0, 0);
    let mut result = RunResult::default();
    let mut strata = Strata::new();
    let mut records: Vec<SilenceRecord> = (0..scenario.daemons * SERVERS).map(|_| SilenceRecord::default()).collect();
    let mut checks: Vec<(u64, usize)> = Vec::new();
    let mut requests: Vec<Request> = Vec::new();
    let mut snapshots: VecDeque<(u64, Strata)> = VecDeque::new();
    let mut shares = vec![(0, 0.0)];
    let (mut bad, mut bad_since) = (0, None);
    for now in (0..duration_ms).step_by(STEP_MS as usize) {
        let share = shares.iter().rev().find(|(at, _)| *at <= now).map_or(0.0, |(_, share)| *share);
        let mean = scenario.rate * STEP_MS as f64 / 1_000.0;
        for _ in 0..mean.floor() as u64 + u64::from(random.random_bool(mean.fract())) {
            let (daemon, is_new) = (random.random_range(0..scenario.daemons), random.random_bool(share));
            let server = random.random_range(0..SERVERS);
            let is_slow = is_new && random.random_bool(scenario.slow.1);
            let fails = is_new && random.random_bool(scenario.failing);
            let factor = if is_slow { scenario.slow.0 } else { 1.0 };
            let time = (USUAL_MS * factor * (SPREAD * normal(&mut random)).exp()) as u64;
            let is_bad = is_slow || fails;
            requests.push(Request { sent_at: now, daemon, server, is_new, due: now + time, fails, is_bad });
            result.arrived += u64::from(is_new);
            result.late_exposure += u64::from(is_new && bad_since.is_some_and(|at| now > at + MAX_ROLLBACK_MS));
        }
        checks.retain(|(at, record)| {
            let is_answered = *at <= now;
            if is_answered {
                records[*record].end_check(now);
            }
            !is_answered
        });
        requests.retain_mut(|request| {
            let silent = silent_until(scenario, request.server, duration_ms, now).filter(|_| request.is_new);
            let record_index = request.daemon * SERVERS + request.server;
            let waited = now - request.sent_at;
            if request.is_new && waited >= CHECK_AFTER_MS && records[record_index].begin_check(now) {
                checks.push((silent.unwrap_or(now) + HEALTH_MS, record_index));
            }
            let key = ("route".into(), format!("zone-{}", request.server % ZONES).into());
            let pair = strata.entry(key).or_default();
            let tally = if request.is_new { &mut pair.new } else { &mut pair.old };
            let is_explained = request.is_new && records[record_index].explains(request.sent_at, TARGET_MS, now);
            let is_given_up = silent.is_some() && waited >= IDLE_MS;
            if is_given_up {
                tally.add(Tally { count: u64::from(!is_explained), failed: u64::from(!is_explained), slow: 0 });
                return false;
            }
            if silent.is_some() || request.due > now {
                return true;
            }
            let slow = u64::from(waited > TARGET_MS && !is_explained);
            tally.add(Tally { count: 1, failed: u64::from(request.fails), slow });
            bad += u64::from(request.is_bad);
            if bad >= BAD_ANSWERS {
                bad_since.get_or_insert(now);
            }
            false
        });
        if result.outcome.is_some() || !now.is_multiple_of(TICK_MS) {
            continue;
        }
        snapshots.push_back((now + random.random_range(0..=REPORT_MS) + TICK_MS, strata.clone()));
        let has_arrived = snapshots.front().is_some_and(|(at, _)| *at <= now);
        let Some((_, strata)) = has_arrived.then(|| snapshots.pop_front()).flatten() else { continue };
        let ready = Readiness { new: SERVERS, old: SERVERS };
        let Some(decision) = rollout.decide(&Snapshot { now_ms: now, strata, ready }) else { continue };
        rollout.apply(&decision, now);
        match decision {
            Decision::Advance(step) => shares.push((now + NEWS_MS, Rollout::share(&plan, step))),
            Decision::End(outcome, _) => {
                shares.push((now + NEWS_MS, if outcome == Outcome::Completed { 1.0 } else { 0.0 }));
                result.outcome = Some(outcome);
            }
        }
    }
    result
}

/// Runs the scenario at several numbers of daemons and loads.
fn run_all(silences: Silences, silence_ms: u64, slow: (f64, f64), failing: f64) -> Vec<(Scenario, Vec<RunResult>)> {
    let sites = [(3, 70.0), (7, 190.0), (24, 600.0)];
    let scenarios = sites.map(|(daemons, rate)| Scenario { daemons, rate, silences, silence_ms, slow, failing });
    scenarios.map(|scenario| (scenario, (0..SEEDS).map(|seed| run(scenario, seed)).collect())).into()
}

/// Guards against good versions that are rolled back because their servers were silent once, for less than two seconds.
#[test]
fn versions_whose_servers_are_silent_once_are_completed() {
    let mut failures = Vec::new();
    for (silences, silence_ms) in [
        (Silences::None, 0),
        (Silences::AllAtOnce, 1_000),
        (Silences::AllAtOnce, 1_900),
        (Silences::OneAfterAnother, 1_000),
        (Silences::OneAfterAnother, 1_900),
    ] {
        for (scenario, results) in run_all(silences, silence_ms, (1.0, 0.0), 0.0) {
            let completed = results.iter().filter(|result| result.outcome == Some(Outcome::Completed)).count();
            let line = format!("{scenario:?}: {completed} of {SEEDS} completed");
            println!("{line}");
            if (completed as f64) < MIN_COMPLETED_SHARE * SEEDS as f64 {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against bad versions that go on because their failed or late answers are taken for silences.
#[test]
fn bad_versions_whose_servers_are_silent_are_rolled_back_soon_after_bad_answers() {
    let mut failures = Vec::new();
    for silences in [Silences::None, Silences::AllAtOnce, Silences::OneAfterAnother] {
        for (slow, failing) in [((16.0, 0.6), 0.0), ((16.0, 1.0), 0.0), ((1.0, 0.0), 0.3), ((1.0, 0.0), 0.5)] {
            for (scenario, results) in run_all(silences, 1_900, slow, failing) {
                let completed = results.iter().filter(|result| result.outcome != Some(Outcome::RolledBack)).count();
                let late = results.iter().map(|result| result.late_exposure).max().unwrap_or_default();
                let arrived = results.iter().map(|result| result.arrived).max().unwrap_or_default();
                let all = scenario.rate * (REQUESTS / scenario.rate).ceil().max(12.0);
                let line =
                    format!("{scenario:?}: {completed} not rolled back, {late} sent too late, {arrived} of {all}");
                println!("{line}");
                if completed > 0 || late > 0 || arrived > (MAX_EXPOSED.0 * all) as u64 + MAX_EXPOSED.1 {
                    failures.push(line);
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
