//! Simulated ordered rollouts of a slow version at seven daemons, some of whose servers are stopped meanwhile.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Decision, Outcome, Readiness, Rollout, Snapshot, Strata, Tally, ordered_plan};
use crate::store::Revision;

const DAEMONS: usize = 7;
const ZONES: usize = 3;
const STEP_MS: u64 = 10;
/// Interval of the holder's decisions.
const TICK_MS: u64 = 500;
/// Time until a daemon knows of a decision.
const NEWS_MS: u64 = 300;
/// Longest time that a daemon's tallies take to the holder.
const REPORT_MS: u64 = 100;
/// Time after a rollout's date for which its version is observed.
const AFTER_MS: u64 = 10_000;
/// Routes: share of the requests, usual time to the first response, latency target.
const ROUTES: [(f64, f64, f64); 3] = [(0.38, 90.0, 600.0), (0.48, 60.0, 500.0), (0.14, 40.0, 500.0)];
/// Spread of the times, as the standard deviation of their logarithm.
const SPREAD: f64 = 0.6;
/// Bad answers after which a version must be rolled back within `MAX_ROLLBACK_MS`.
const BAD_ANSWERS: u64 = 50;
const MAX_ROLLBACK_MS: u64 = 5_000;
const SEEDS: u64 = 25;
/// Most requests that a bad version may get: a fraction of all requests between order and date, plus a fixed number.
const MAX_EXPOSED: (f64, u64) = (0.1, 50);

/// Share of the requests whose prompt no server of the version in use has cached.
const UNCACHED_SHARE: f64 = 0.15;
/// Time constant with which a new version's servers cache the prompts of the traffic that they get.
const CACHING_MS: f64 = 4_000.0;
const GOOD_SEEDS: u64 = 100;
/// Least share of the good versions that must be completed.
const MIN_COMPLETED_SHARE: f64 = 0.99;

/// A version, and what befalls its servers.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Factor on the times of slow answers, and their share.
    factor: f64,
    slow_share: f64,
    /// Zones in which its servers are stopped, and when.
    stopped: (usize, u64),
    /// Servers in each zone; the old version has 6.
    servers: usize,
    /// Factor on the times of answers to prompts that are not cached.
    uncached_factor: f64,
    /// Share of its answers that miss the target at whatever pace, and the time in which it rises to that.
    late: (f64, u64),
    /// Requests per second at all daemons, and the seconds of the rollout.
    traffic: (f64, u64),
}

const GOOD: Scenario = Scenario {
    factor: 1.0,
    slow_share: 0.0,
    stopped: (0, 0),
    servers: 6,
    uncached_factor: 1.0,
    late: (0.0, 0),
    traffic: (190.0, 15),
};

#[derive(Clone, Copy, Debug)]
struct Answer {
    arrives: u64,
    daemon: usize,
    zone: usize,
    route: usize,
    is_new: bool,
    is_late: bool,
    is_bad: bool,
}

#[derive(Debug, Default)]
struct RunResult {
    outcome: Option<Outcome>,
    /// The last step that it reached.
    step: usize,
    /// Requests sent to it from the order to the date, and all requests of that time.
    sent: (u64, u64),
    /// Requests sent to the version too late after its bad answers.
    exposed: u64,
    /// Time from the 50th bad answer to the end.
    rollback_ms: Option<u64>,
}

fn normal(random: &mut SmallRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

fn run(scenario: Scenario, seed: u64) -> RunResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let (rate, rollout_s) = scenario.traffic;
    let plan = ordered_plan("pool".into(), "new".into(), Duration::from_secs(rollout_s), Revision::new(0, 7), 0);
    let mut rollout = Rollout::new(plan.clone(), 0, 0);
    let mut result = RunResult::default();
    let mut tallies = vec![Strata::new(); DAEMONS];
    let mut answers: Vec<Answer> = Vec::new();
    let mut snapshots: VecDeque<(u64, Strata)> = VecDeque::new();
    // The shares of traffic, and when the daemons know of them.
    let mut shares = vec![(0, 0.0)];
    let (mut bad, mut bad_since) = (0, None);
    // Share of the new version's traffic for which it has not had the time to cache prompts.
    let (mut unseen, mut earlier_share) = (0.0, 0.0);
    for now in (0..rollout_s * 1_000 + AFTER_MS).step_by(STEP_MS as usize) {
        let share = shares.iter().rev().find(|(at, _)| *at <= now).map_or(0.0, |(_, share)| *share);
        if share > earlier_share {
            unseen = (unseen * earlier_share + share - earlier_share) / share;
            earlier_share = share;
        }
        unseen *= (-(STEP_MS as f64) / CACHING_MS).exp();
        let (stopped_zones, stopped_at) = scenario.stopped;
        let first_zone = if now >= stopped_at { stopped_zones } else { 0 };
        let mean = rate * STEP_MS as f64 / 1_000.0;
        for _ in 0..mean.floor() as u64 + u64::from(random.random_bool(mean.fract())) {
            let point = random.random::<f64>();
            let route = if point < ROUTES[0].0 { 0 } else { usize::from(point >= ROUTES[0].0 + ROUTES[1].0) + 1 };
            let daemon = random.random_range(0..DAEMONS);
            let is_new = first_zone < ZONES && random.random_bool(share);
            let zone = if is_new { random.random_range(first_zone..ZONES) } else { daemon % ZONES };
            let is_bad = is_new && random.random_bool(scenario.slow_share);
            let factor = if is_bad { scenario.factor } else { 1.0 };
            let uncached_share = if is_new { UNCACHED_SHARE + (1.0 - UNCACHED_SHARE) * unseen } else { UNCACHED_SHARE };
            let is_uncached = scenario.uncached_factor > 1.0 && random.random_bool(uncached_share);
            let factor = if is_uncached { factor * scenario.uncached_factor } else { factor };
            let (_, usual, target) = ROUTES[route];
            let mut took = usual * factor * (SPREAD * normal(&mut random)).exp();
            let (late_share, ramp_ms) = scenario.late;
            let late_share = late_share * (now as f64 / ramp_ms.max(1) as f64).min(1.0);
            let is_held_up = is_new && late_share > 0.0 && random.random_bool(late_share);
            if is_held_up {
                took += target;
            }
            answers.push(Answer {
                arrives: now + took as u64,
                daemon,
                zone,
                route,
                is_new,
                is_late: took > target,
                is_bad: is_bad || is_held_up,
            });
            if now < rollout_s * 1_000 {
                result.sent = (result.sent.0 + u64::from(is_new), result.sent.1 + 1);
            }
            result.exposed += u64::from(is_new && bad_since.is_some_and(|at| now > at + MAX_ROLLBACK_MS));
        }
        for answer in answers.extract_if(.., |answer| answer.arrives <= now) {
            let key = (format!("route-{}", answer.route).into(), format!("zone-{}", answer.zone).into());
            let pair = tallies[answer.daemon].entry(key).or_default();
            let tally = if answer.is_new { &mut pair.new } else { &mut pair.old };
            tally.add(Tally { count: 1, failed: 0, slow: u64::from(answer.is_late) });
            bad += u64::from(answer.is_bad);
            if bad >= BAD_ANSWERS {
                bad_since.get_or_insert(now);
            }
        }
        if result.outcome.is_some() || !now.is_multiple_of(TICK_MS) {
            continue;
        }
        let mut strata = Strata::new();
        for (key, pair) in tallies.iter().flatten() {
            let sum = strata.entry(key.clone()).or_default();
            sum.old.add(pair.old);
            sum.new.add(pair.new);
        }
        snapshots.push_back((now + random.random_range(0..=REPORT_MS) + TICK_MS, strata));
        let has_arrived = snapshots.front().is_some_and(|(at, _)| *at <= now);
        let Some((_, strata)) = has_arrived.then(|| snapshots.pop_front()).flatten() else { continue };
        let ready = Readiness { new: scenario.servers * (ZONES - first_zone), old: 6 * ZONES };
        let Some(decision) = rollout.decide(&Snapshot { now_ms: now, strata, ready }) else { continue };
        rollout.apply(&decision, now);
        match decision {
            Decision::Advance(step) => {
                result.step = step;
                shares.push((now + NEWS_MS, Rollout::share(&plan, step)));
            }
            Decision::End(outcome, _) => {
                let share = if outcome == Outcome::Completed { 1.0 } else { 0.0 };
                shares.push((now + NEWS_MS, share));
                result.outcome = Some(outcome);
                result.rollback_ms = bad_since.map(|at| now - at);
            }
        }
    }
    result
}

/// Checks versions that are slow by some factor, in a share of their answers, whatever becomes of their servers.
fn check(kinds: &[(f64, f64)]) {
    let mut failures = Vec::new();
    for (factor, slow_share) in kinds.iter().copied() {
        for stopped in [(0, 0), (1, 3_000), (2, 1_000), (2, 5_000)] {
            let scenario = Scenario { factor, slow_share, stopped, servers: 2, ..GOOD };
            let results: Vec<RunResult> = (0..SEEDS).map(|seed| run(scenario, seed)).collect();
            let exposed = results.iter().map(|result| result.exposed).max().unwrap_or_default();
            let over = results.iter().filter(|result| result.exposed > 0).count();
            let completed = results.iter().filter(|result| result.outcome == Some(Outcome::Completed)).count();
            let longest = results.iter().filter_map(|result| result.rollback_ms).max();
            let line = format!("{scenario:?}: {completed} completed, {over} of {SEEDS} exposed by {exposed} at most");
            println!("{line}, rolled back {longest:?} ms after {BAD_ANSWERS} bad answers at most");
            if over > 0 || completed > 0 {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against slow versions that go on after many bad answers while servers of theirs are stopped by an earlier order.
#[test]
fn versions_slower_than_the_target_are_rolled_back_soon_after_bad_answers() {
    check(&[(8.0, 0.6), (8.0, 1.0), (16.0, 0.3)]);
}

/// Guards against versions that are several times slower than the old one, though most of their answers meet the target.
#[test]
fn versions_slower_within_the_target_are_rolled_back_soon_after_bad_answers() {
    known_red::report!();
    check(&[(4.0, 0.6)]);
}

/// Guards against good versions that are rolled back because their servers have few prompts cached at first.
#[test]
fn good_versions_without_cached_prompts_are_completed() {
    for uncached_factor in [1.0, 2.0] {
        let scenario = Scenario { uncached_factor, ..GOOD };
        let results: Vec<RunResult> = (0..GOOD_SEEDS).map(|seed| run(scenario, seed)).collect();
        let completed = results.iter().filter(|result| result.outcome == Some(Outcome::Completed)).count();
        println!("{scenario:?}: {completed} of {GOOD_SEEDS} completed");
        assert!(completed as f64 >= MIN_COMPLETED_SHARE * GOOD_SEEDS as f64, "{scenario:?}: {completed} completed");
    }
}

/// Checks versions a share of whose answers is late, none of the old version's, from the start or rising to it: that
/// they get nothing too late and, if `limits_share`, no more than the accepted share of the requests.
fn check_late(late_shares: &[f64], limits_share: bool) {
    let mut failures = Vec::new();
    for (rate, rollout_s) in [(30.0, 12), (30.0, 30), (100.0, 15), (100.0, 30), (200.0, 12), (200.0, 15), (200.0, 30)] {
        for late_share in late_shares.iter().copied() {
            for ramp_ms in [0, 500 * rollout_s] {
                let scenario = Scenario { late: (late_share, ramp_ms), traffic: (rate, rollout_s), ..GOOD };
                let results: Vec<RunResult> = (0..SEEDS).map(|seed| run(scenario, seed)).collect();
                let exposed = results.iter().map(|result| result.exposed).max().unwrap_or_default();
                let over = results.iter().filter(|result| result.exposed > 0).count();
                let is_overexposed = |result: &&RunResult| {
                    let (sent, all) = result.sent;
                    sent > (MAX_EXPOSED.0 * all as f64) as u64 + MAX_EXPOSED.1
                };
                let overexposed = results.iter().filter(is_overexposed).count();
                let completed = results.iter().filter(|result| result.outcome == Some(Outcome::Completed)).count();
                let at_last = results.iter().filter(|result| result.step >= 3).count();
                let line = format!(
                    "{rate}/s, {rollout_s} s, {late_share} late after {ramp_ms} ms: {overexposed} of {SEEDS} with too large a \
                     share, {over} with {exposed} requests too late at most"
                );
                println!("{line}; {completed} completed, {at_last} at 80% of traffic");
                if over > 0 || (limits_share && overexposed > 0) {
                    failures.push(line);
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against versions that go on after many bad answers while a fifth of their answers is late, as some of these were
/// left out for a burst.
#[test]
fn versions_late_in_a_fifth_of_their_answers_get_nothing_after_many_bad_answers() {
    check_late(&[0.14, 0.22], false);
}

/// Guards against versions that get further steps while a part of their answers is late and none of the old version's.
#[test]
fn versions_late_in_some_of_their_answers_get_no_further_steps() {
    known_red::report!();
    check_late(&[0.07, 0.14, 0.22], true);
}
