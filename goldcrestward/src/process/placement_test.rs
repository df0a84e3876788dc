//! Tests of placement, each named for the load pattern that it answers.

use super::{Candidate, Locality, PromptCost, place};

/// Time to read the shared part of a long prompt, in ms.
const SHARED_MS: f64 = 63.0;
/// Time to read the rest of it, in ms.
const OWN_MS: f64 = 29.0;

fn server(hash: u64, locality: Locality) -> Candidate {
    Candidate { hash, locality, running: 0, prefill_ms: 0.0, slots: 48, cold: false, failure_score: 0.0 }
}

fn site() -> Vec<Candidate> {
    let hashes = (1..=9_u64).map(|n| n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let distances = [Locality::SameZone, Locality::SameRegion, Locality::OtherRegion];
    hashes.enumerate().map(|(n, hash)| server(hash, distances[n / 3])).collect()
}

fn long_prompt(session: u64) -> PromptCost {
    PromptCost { affinity: Some(session), prefix_ms: SHARED_MS, suffix_ms: OWN_MS }
}

fn chosen(servers: &[Candidate], demand: &PromptCost, salt: u64) -> usize {
    place(servers, demand, salt).expect("a server").index
}

#[test]
fn session_keeps_its_server() {
    let servers = site();
    for session in 0..50 {
        let first = chosen(&servers, &long_prompt(session), 0);
        assert_eq!(servers[first].locality, Locality::SameZone);
        assert!((1..20).all(|salt| chosen(&servers, &long_prompt(session), salt) == first), "session {session}");
    }
}

#[test]
fn sessions_spread_over_the_zone() {
    let servers = site();
    let mut counts = [0; 9];
    (0..300).for_each(|session| counts[chosen(&servers, &long_prompt(session), session)] += 1);
    assert!(counts[..3].iter().all(|count| *count > 60), "{counts:?}");
}

#[test]
fn hot_session_overflows_once_reading_anew_is_sooner() {
    let mut servers = site();
    let home = chosen(&servers, &long_prompt(1), 0);
    servers[home].prefill_ms = 2.0;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), home);
    servers[home].prefill_ms = SHARED_MS * 1.2;
    let other = chosen(&servers, &long_prompt(1), 0);
    assert_ne!(other, home);
    assert_ne!(servers[other].locality, Locality::OtherRegion);
}

#[test]
fn burst_of_long_prompts_spreads_by_work_and_not_by_count() {
    let mut servers = site();
    (servers[0].running, servers[0].prefill_ms) = (2, 180.0);
    (servers[1].running, servers[1].prefill_ms) = (9, 0.0);
    (servers[2].running, servers[2].prefill_ms) = (3, 90.0);
    let chat = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 5.0 };
    assert_eq!(chosen(&servers, &chat, 3), 1);
}

#[test]
fn zone_that_is_lost_goes_to_the_next() {
    let servers: Vec<_> = site().into_iter().filter(|server| server.locality != Locality::SameZone).collect();
    let index = chosen(&servers, &long_prompt(1), 0);
    assert_eq!(servers[index].locality, Locality::SameRegion);
    let far: Vec<_> = servers.into_iter().filter(|server| server.locality == Locality::OtherRegion).collect();
    assert_eq!(far[chosen(&far, &long_prompt(1), 0)].locality, Locality::OtherRegion);
}

#[test]
fn other_region_helps_only_when_the_own_is_late() {
    let mut servers = site();
    let set = |servers: &mut Vec<Candidate>, ms: f64| {
        servers.iter_mut().filter(|s| s.locality != Locality::OtherRegion).for_each(|s| s.prefill_ms = ms);
    };
    let chat = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 5.0 };
    set(&mut servers, 40.0);
    assert_ne!(servers[chosen(&servers, &chat, 1)].locality, Locality::OtherRegion);
    set(&mut servers, 90.0);
    assert_eq!(servers[chosen(&servers, &chat, 1)].locality, Locality::OtherRegion);
}

#[test]
fn failing_server_with_good_health_is_avoided_but_not_for_ever() {
    let mut servers = site();
    let home = chosen(&servers, &long_prompt(1), 0);
    servers[home].failure_score = 0.35;
    assert_ne!(chosen(&servers, &long_prompt(1), 0), home);
    // What is left of one failure after some answers and some seconds.
    servers[home].failure_score = 0.005;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), home);
}

#[test]
fn nearly_full_servers_yield_to_one_with_a_place() {
    let mut servers = site();
    servers.iter_mut().for_each(|server| server.running = 48);
    servers[8].running = 20;
    let placed = place(&servers, &long_prompt(1), 0).expect("a server");
    assert!(!placed.free || placed.index == 8);
    servers.iter_mut().for_each(|server| server.running = 60);
    servers[8].running = 40;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), 8);
    assert!(place(&[], &long_prompt(1), 0).is_none());
}

#[test]
fn server_that_has_just_started_is_taken_when_others_are_busier() {
    let mut servers = site();
    servers.truncate(2);
    servers[0].cold = true;
    let chat = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 5.0 };
    assert_eq!(chosen(&servers, &chat, 1), 1);
    servers[1].prefill_ms = 60.0;
    assert_eq!(chosen(&servers, &chat, 1), 0);
}
