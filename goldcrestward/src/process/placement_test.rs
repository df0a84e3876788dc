//! Tests of placement, each named after the load pattern that it covers.

use super::{Candidate, Locality, PromptCost, place};

/// Time to prefill the shared prefix of a long prompt.
const PREFIX_MS: f64 = 63.0;
/// Time to prefill the rest of a long prompt.
const SUFFIX_MS: f64 = 29.0;

fn server(hash: u64, locality: Locality) -> Candidate {
    Candidate {
        hash,
        locality,
        running: 0,
        prefill_ms: 0.0,
        slots: 48,
        cold: false,
        failure_score: 0.0,
        unreached: false,
    }
}

fn site() -> Vec<Candidate> {
    let hashes = (1..=9_u64).map(|n| n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let localities = [Locality::SameZone, Locality::SameRegion, Locality::OtherRegion];
    hashes.enumerate().map(|(n, hash)| server(hash, localities[n / 3])).collect()
}

fn long_prompt(session: u64) -> PromptCost {
    PromptCost { affinity: Some(session), prefix_ms: PREFIX_MS, suffix_ms: SUFFIX_MS }
}

fn chosen(servers: &[Candidate], prompt_cost: &PromptCost, salt: u64) -> usize {
    place(servers, prompt_cost, salt).expect("a server").index
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
fn hot_session_overflows_once_a_new_prefill_is_faster() {
    let mut servers = site();
    let preferred = chosen(&servers, &long_prompt(1), 0);
    servers[preferred].prefill_ms = 2.0;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), preferred);
    servers[preferred].prefill_ms = PREFIX_MS * 1.2;
    let other = chosen(&servers, &long_prompt(1), 0);
    assert_ne!(other, preferred);
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
fn lost_zone_falls_back_to_region_and_then_to_other_region() {
    let servers: Vec<_> = site().into_iter().filter(|server| server.locality != Locality::SameZone).collect();
    let index = chosen(&servers, &long_prompt(1), 0);
    assert_eq!(servers[index].locality, Locality::SameRegion);
    let other_region: Vec<_> = servers.into_iter().filter(|server| server.locality == Locality::OtherRegion).collect();
    assert_eq!(other_region[chosen(&other_region, &long_prompt(1), 0)].locality, Locality::OtherRegion);
}

#[test]
fn other_region_is_chosen_only_when_own_region_is_slow() {
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
fn failing_server_with_good_health_is_avoided_but_not_forever() {
    let mut servers = site();
    let preferred = chosen(&servers, &long_prompt(1), 0);
    servers[preferred].failure_score = 0.35;
    assert_ne!(chosen(&servers, &long_prompt(1), 0), preferred);
    // Score of one failure after a few successes and a few seconds.
    servers[preferred].failure_score = 0.005;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), preferred);
}

#[test]
fn full_servers_yield_to_one_with_a_free_slot() {
    let mut servers = site();
    servers.iter_mut().for_each(|server| server.running = 48);
    servers[8].running = 20;
    let placement = place(&servers, &long_prompt(1), 0).expect("a server");
    assert!(!placement.has_free_slot || placement.index == 8);
    servers.iter_mut().for_each(|server| server.running = 60);
    servers[8].running = 40;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), 8);
    assert!(place(&[], &long_prompt(1), 0).is_none());
}

#[test]
fn cold_server_is_chosen_when_others_are_busier() {
    let mut servers = site();
    servers.truncate(2);
    servers[0].cold = true;
    let chat = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 5.0 };
    assert_eq!(chosen(&servers, &chat, 1), 1);
    servers[1].prefill_ms = 60.0;
    assert_eq!(chosen(&servers, &chat, 1), 0);
}

#[test]
fn server_that_only_peers_reach_is_used_for_its_cached_prompt_and_beside_busy_ones() {
    let mut servers = vec![server(3, Locality::SameZone), server(0x9E37_79B9_7F4A_7C15, Locality::SameZone)];
    let preferred = chosen(&servers, &long_prompt(1), 0);
    servers[preferred].unreached = true;
    assert_eq!(chosen(&servers, &long_prompt(1), 0), preferred);
    let short = PromptCost { affinity: None, prefix_ms: 0.0, suffix_ms: 1.0 };
    assert!((0..50).all(|salt| chosen(&servers, &short, salt) != preferred));
    servers[1 - preferred].running = 48;
    assert_eq!(chosen(&servers, &short, 0), preferred);
}
