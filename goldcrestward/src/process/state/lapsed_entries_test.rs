//! Tests of servers without an entry.

use std::{sync::Arc, time::Duration};

use super::{FORGET_MS, LapsedEntries, RETURN_MS, Signs, Step, WINDOW_MS};
use crate::port::{Instance, InstanceState};

const DAEMONS: usize = 7;

fn id(number: usize) -> Arc<str> {
    format!("server-{number}").into()
}

fn server(number: usize, state: InstanceState) -> Instance {
    Instance {
        id: id(number),
        address: ([10, 0, 0, number as u8], 80).into(),
        pool: "pool".into(),
        version: "v1".into(),
        zone: "zone".into(),
        region: "region".into(),
        state,
        slots: 1,
        reclaimable: false,
        warm_up: Duration::ZERO,
        leaves_in: None,
        started_unix_ms: 1,
    }
}

fn site(servers: usize) -> LapsedEntries {
    let mut lapsed = LapsedEntries::default();
    (0..servers).for_each(|number| lapsed.list(&server(number, InstanceState::Live)));
    lapsed
}

fn vanish(lapsed: &mut LapsedEntries, numbers: impl IntoIterator<Item = usize>, now: u64) {
    for number in numbers {
        assert!(lapsed.vanish(&id(number), Some(server(number, InstanceState::Live).address), now));
    }
}

fn answers(at: u64) -> impl Fn(&str) -> Signs {
    move |_| Signs { answered_at: Some(at), ..Signs::default() }
}

fn in_use(lapsed: &LapsedEntries) -> usize {
    lapsed.counts().0
}

#[test]
fn server_whose_entry_alone_vanishes_is_gone_at_once() {
    let mut lapsed = site(10);
    vanish(&mut lapsed, [0, 1], 10_000);
    let steps = lapsed.step(DAEMONS, answers(10_000), 10_000);
    assert_eq!(steps, [Step::TakeOut(id(0)), Step::TakeOut(id(1))]);
    let steps = lapsed.step(DAEMONS, answers(14_000), 10_000 + WINDOW_MS);
    assert_eq!(steps, [Step::Forget(id(0), "alone"), Step::Forget(id(1), "alone")]);
    assert!(lapsed.is_empty());
}

#[test]
fn first_servers_of_a_mass_lapse_are_used_again_and_those_without_an_answer_are_probed() {
    let mut lapsed = site(10);
    vanish(&mut lapsed, [0, 1], 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    assert!(lapsed.is_undecided(10_000));
    vanish(&mut lapsed, [2, 3], 11_000);
    let signs = |id: &str| Signs { answered_at: (id != "server-3").then_some(10_900), ..Signs::default() };
    let steps = lapsed.step(DAEMONS, signs, 11_000);
    let expected = [Step::Keep(id(0)), Step::Keep(id(1)), Step::Keep(id(2)), Step::TakeOut(id(3)), Step::Probe(id(3))];
    assert_eq!(steps, expected);
    assert!(!lapsed.is_undecided(11_000));
    lapsed.record_probe("server-3", true, 11_050);
    assert_eq!(lapsed.step(DAEMONS, signs, 11_050), [Step::Keep(id(3))]);
}

#[test]
fn servers_that_leave_or_are_silent_are_not_kept() {
    let mut lapsed = site(8);
    lapsed.list(&server(0, InstanceState::Leaving));
    lapsed.refuse("server-1");
    assert!(!lapsed.vanish(&id(0), Some(server(0, InstanceState::Leaving).address), 10_000));
    assert!(!lapsed.vanish(&id(1), Some(server(1, InstanceState::Live).address), 10_000));
    assert!(!lapsed.vanish(&id(2), None, 10_000), "one that leaves by its answers");
    vanish(&mut lapsed, 3..8, 10_000);
    // The first has answered, the second says in its answer that it leaves, the others have crashed before.
    let signs = |id: &str| Signs {
        answered_at: Some(if id <= "server-4" { 9_900 } else { 6_500 }),
        is_leaving: id == "server-4",
        ..Signs::default()
    };
    lapsed.step(DAEMONS, signs, 10_000);
    assert_eq!(in_use(&lapsed), 1);
    assert!(!lapsed.has_lapsed("server-4"));
}

#[test]
fn kept_server_that_fails_is_probed_at_once_and_not_used() {
    let mut lapsed = site(4);
    vanish(&mut lapsed, 0..4, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    assert_eq!(in_use(&lapsed), 4);
    let signs = |id: &str| Signs {
        answered_at: Some(10_900),
        failed_at: (id == "server-0").then_some(11_000),
        ..Signs::default()
    };
    assert_eq!(lapsed.step(DAEMONS, signs, 11_000), [Step::Probe(id(0))]);
    lapsed.record_probe("server-0", false, 11_100);
    assert_eq!(lapsed.step(DAEMONS, signs, 11_100), [], "the peers that were asked may have no path");
    let steps = lapsed.step(DAEMONS, signs, 11_400);
    assert!(steps.contains(&Step::Probe(id(0))), "{steps:?}");
    lapsed.record_probe("server-0", false, 11_500);
    assert_eq!(lapsed.step(DAEMONS, signs, 11_500), [Step::TakeOut(id(0))]);
    // It answers others that reach it, and comes back; one that does not is forgotten.
    lapsed.record_probe("server-0", true, 11_900);
    assert!(lapsed.step(DAEMONS, signs, 11_900).contains(&Step::Keep(id(0))));
    let steps = lapsed.step(DAEMONS, signs, 11_900 + FORGET_MS);
    assert!(steps.contains(&Step::Forget(id(0), "no-answer")), "{steps:?}");
}

#[test]
fn server_still_missing_when_most_are_back_is_gone() {
    let mut lapsed = site(10);
    vanish(&mut lapsed, 0..10, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    (1..5).for_each(|number| lapsed.list(&server(number, InstanceState::Live)));
    lapsed.step(DAEMONS, answers(15_000), 15_000);
    lapsed.step(DAEMONS, answers(18_000), 18_000);
    assert_eq!(in_use(&lapsed), 6, "only four of ten are back");
    (5..10).for_each(|number| lapsed.list(&server(number, InstanceState::Live)));
    lapsed.step(DAEMONS, answers(18_100), 18_100);
    assert_eq!(in_use(&lapsed), 1);
    let end = 18_100 + RETURN_MS;
    assert_eq!(lapsed.step(DAEMONS, answers(end - 1), end - 1), []);
    let steps = lapsed.step(DAEMONS, answers(end), end);
    assert_eq!(steps, [Step::TakeOut(id(0)), Step::Forget(id(0), "others-back")]);
}

#[test]
fn entry_that_flaps_does_not_end_a_mass_lapse() {
    let mut lapsed = site(10);
    vanish(&mut lapsed, 0..10, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    for round in 0..20 {
        let now = 20_000 + round * 500;
        lapsed.list(&server(0, InstanceState::Live));
        lapsed.step(DAEMONS, answers(now), now);
        vanish(&mut lapsed, [0], now + 250);
        lapsed.step(DAEMONS, answers(now + 250), now + 250);
        assert!(in_use(&lapsed) >= 9);
    }
}

#[test]
fn address_that_is_listed_for_another_server_is_that_one() {
    let mut lapsed = site(4);
    vanish(&mut lapsed, 0..4, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    lapsed.list(&Instance { address: server(0, InstanceState::Live).address, ..server(9, InstanceState::Live) });
    let steps = lapsed.step(DAEMONS, answers(10_200), 10_200);
    assert_eq!(steps, [Step::TakeOut(id(0)), Step::Forget(id(0), "address-reused")]);
}

#[test]
fn lapse_after_another_is_not_ended_by_entries_that_came_back_before() {
    let mut lapsed = site(10);
    vanish(&mut lapsed, 0..10, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    (0..10).for_each(|number| lapsed.list(&server(number, InstanceState::Live)));
    assert!(lapsed.is_empty());
    vanish(&mut lapsed, 0..5, 20_000);
    lapsed.step(DAEMONS, answers(20_000), 20_000);
    let now = 20_000 + 2 * RETURN_MS;
    lapsed.step(DAEMONS, answers(now), now);
    assert_eq!(in_use(&lapsed), 5);
}

#[test]
fn entry_that_a_restored_store_loses_again_changes_nothing_for_its_server() {
    let mut lapsed = site(4);
    vanish(&mut lapsed, 0..4, 10_000);
    lapsed.step(DAEMONS, answers(10_000), 10_000);
    assert!(lapsed.vanish(&id(0), Some(server(0, InstanceState::Live).address), 14_000));
    assert_eq!(lapsed.step(DAEMONS, answers(14_000), 14_000), []);
    assert_eq!(in_use(&lapsed), 4);
}
