//! The time for which a server wants nothing, at one daemon and with many daemons at one server.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Hold, MAX_TIME};

/// Numbers of daemons.
const SIZES: [usize; 3] = [7, 87, 195];
const SEEDS: u64 = 4;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 20_000;
/// Time that the server names, and time after a refusal from which requests of the daemon count.
const HOLD_MS: u64 = 2_000;
const GRACE_MS: u64 = 500;
/// Requests of one daemon that may reach the server between the two.
const MAX_IN_HOLD: usize = 2;
/// Time from a request to its answer, at most.
const MAX_ROUND_TRIP_MS: u64 = 150;

fn hold(seconds: u64, now: u64) -> Hold {
    let mut hold = Hold::default();
    hold.state(Duration::from_secs(seconds), now).expect("a time that makes sense");
    hold
}

#[test]
fn state_refuses_absurd_times() {
    for time in [Duration::ZERO, MAX_TIME + Duration::from_secs(1), Duration::from_secs(u64::MAX)] {
        let mut hold = Hold::default();
        assert_eq!(hold.state(time, 5), None);
        assert_eq!((hold.wait(5), hold.is_active(5)), (0, false), "{time:?}");
    }
    assert_eq!(Hold::default().state(MAX_TIME, 5), Some(5 + MAX_TIME.as_millis() as u64));
}

#[test]
fn later_refusal_never_shortens_the_time() {
    let mut hold = hold(5, 1_000);
    assert_eq!(hold.state(Duration::from_secs(1), 2_000), Some(6_000));
    assert_eq!((hold.wait(2_000), hold.wait(5_999), hold.wait(6_000)), (4_000, 1, 0));
    assert!(hold.is_active(5_999) && !hold.is_active(6_000));
}

#[test]
fn few_requests_are_sent_after_the_end_until_one_is_taken() {
    let mut hold = hold(1, 0);
    let mut sent = Vec::new();
    for now in 0..3_000 {
        if hold.wait(now) == 0 {
            hold.record_sent(now);
            sent.push(now);
        }
    }
    assert_eq!(sent, [1_000, 1_001, 2_000, 2_001]);
    hold.record_taken(999);
    assert_eq!(hold.wait(2_002), 998, "a request that was sent before the end says nothing");
    hold.record_taken(1_000);
    assert_eq!(hold.wait(2_002), 0);
}

/// Daemons that all want more than the server bears. Bound: in no time that it names to a daemon does it get more than two
/// requests of that daemon after the grace. Goal: it is never idle for longer than that time and a first period.
#[test]
fn server_under_load_gets_few_requests_in_the_times_that_it_names() {
    for daemons in SIZES {
        for seed in 0..SEEDS {
            let mut random = SmallRng::seed_from_u64(seed);
            let mut holds = vec![Hold::default(); daemons];
            // When a daemon's refusals happened, and requests that it got since the grace of each.
            let mut refused: Vec<Vec<(u64, usize)>> = vec![Vec::new(); daemons];
            // Answers on their way, in the order of the requests: time, daemon, when it was sent, and whether it was refused.
            let mut answers: VecDeque<(u64, usize, u64, bool)> = VecDeque::new();
            let (mut room, mut last_taken) = (0.0_f64, 0);
            for now in (0..RUN_MS).step_by(STEP_MS as usize) {
                for (at, daemon, sent_at, is_refused) in std::mem::take(&mut answers) {
                    if at > now {
                        answers.push_back((at, daemon, sent_at, is_refused));
                    } else if is_refused {
                        holds[daemon].state(Duration::from_millis(HOLD_MS), now).expect("a time that makes sense");
                    } else {
                        holds[daemon].record_taken(sent_at);
                    }
                }
                // The server takes 40 requests a second, the daemons want twice that, whatever their number.
                room = (room + 0.04 * STEP_MS as f64).min(8.0);
                for daemon in 0..daemons {
                    let wants = random.random_bool((0.08 * STEP_MS as f64 / daemons as f64).min(1.0));
                    if !wants || holds[daemon].wait(now) > 0 {
                        continue;
                    }
                    holds[daemon].record_sent(now);
                    for (at, count) in &mut refused[daemon] {
                        *count += usize::from((*at + GRACE_MS..*at + HOLD_MS).contains(&now));
                    }
                    let is_refused = room < 1.0;
                    if is_refused {
                        refused[daemon].push((now, 0));
                    } else {
                        room -= 1.0;
                        last_taken = now;
                    }
                    let answered_at = now + random.random_range(1..=MAX_ROUND_TRIP_MS);
                    answers.push_back((answered_at, daemon, now, is_refused));
                }
                let idle = now - last_taken;
                assert!(idle <= HOLD_MS + 1_000, "{daemons} daemons, seed {seed}: idle for {idle} ms at {now}");
            }
            let most = refused.iter().flatten().map(|(_, count)| *count).max().unwrap_or(0);
            assert!(!refused.iter().all(Vec::is_empty), "{daemons} daemons, seed {seed}: nothing was refused");
            assert!(most <= MAX_IN_HOLD, "{daemons} daemons, seed {seed}: {most} requests, allowed {MAX_IN_HOLD}");
        }
    }
}
