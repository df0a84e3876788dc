//! Tests of the age of a daemon's knowledge.

use super::{Budget, Freshness, Overdue, TRANSIT_MS};
use crate::store::Revision;

const BUDGET: Budget = Budget::SITE;

fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

#[test]
fn budget_leaves_time_for_the_answer_of_the_store() {
    for (budget, answer) in [(Budget::SITE, 500), (Budget::CONFIG, 1_300)] {
        let waits = budget.max_age + budget.spread + budget.check + budget.hedge;
        assert!(waits + answer <= budget.total, "{budget:?}");
        assert!(budget.max_missing + budget.check + budget.hedge + answer < budget.total, "{budget:?}");
        assert!(budget.slot * 2 <= budget.max_age, "one reading of others may be missed: {budget:?}");
    }
}

#[test]
fn budget_of_a_site_keeps_to_the_stated_time() {
    assert_eq!(Budget::for_site(2_500), Budget::SITE);
    assert_eq!(Budget::for_site(60_000), Budget::SITE);
    for total in [1_500, 1_800, 2_000, 2_499] {
        let budget = Budget::for_site(total);
        let waits = budget.max_age + budget.spread + budget.check + budget.hedge;
        assert!(budget.is_kept() && budget.total == total && waits + 500 <= total, "{budget:?}");
        assert!(budget.max_missing + budget.check + budget.hedge + 500 < total, "{budget:?}");
        assert!(budget.slot * 2 <= budget.max_age, "one reading of others may be missed: {budget:?}");
    }
    for total in [1, 1_000] {
        let budget = Budget::for_site(total);
        assert!(!budget.is_kept() && budget.slot > 0 && budget.max_missing > 0, "{budget:?}");
    }
}

#[test]
fn overdue_before_anything_is_known() {
    assert_eq!(Freshness::default().overdue(&BUDGET, Revision::NONE, 0, 0), Some(Overdue::Age));
}

#[test]
fn overdue_when_the_last_reading_is_too_old() {
    let mut freshness = Freshness::default();
    freshness.record_reading(100);
    freshness.record_reading(50);
    assert_eq!(freshness.age(revision(1), 150), Some(50));
    for (delay, at) in [(0, 100 + BUDGET.max_age), (70, 170 + BUDGET.max_age)] {
        assert_eq!(freshness.overdue(&BUDGET, revision(1), delay, at - 1), None);
        assert_eq!(freshness.overdue(&BUDGET, revision(1), delay, at), Some(Overdue::Age));
    }
}

// Guards against a sign of life that counts as news: a peer that is heard all the time but knows nothing new.
#[test]
fn peers_that_know_no_more_do_not_keep_knowledge_young() {
    let mut freshness = Freshness::default();
    freshness.record_reading(0);
    for now in (0..BUDGET.max_age).step_by(50) {
        freshness.record_peer(revision(1), Some(now), revision(1), now);
        freshness.record_peer(revision(1), None, revision(1), now);
    }
    assert_eq!(freshness.age(revision(1), BUDGET.max_age), Some(BUDGET.max_age));
    assert_eq!(freshness.overdue(&BUDGET, revision(1), 0, BUDGET.max_age), Some(Overdue::Age));
}

#[test]
fn claim_of_a_peer_counts_once_the_copy_holds_its_revision() {
    let mut freshness = Freshness::default();
    freshness.record_reading(0);
    freshness.record_peer(revision(5), Some(20), revision(4), 1_000);
    assert_eq!(freshness.age(revision(4), 1_000), Some(1_000));
    assert_eq!(freshness.age(revision(5), 1_100), Some(120 + TRANSIT_MS));
    // The claim is about a copy that held less.
    freshness.record_peer(revision(3), Some(0), revision(5), 1_200);
    assert_eq!(freshness.age(revision(5), 1_200), Some(TRANSIT_MS), "a copy that holds more holds that too");
}

#[test]
fn overdue_while_the_first_missing_revision_is_missing() {
    let mut freshness = Freshness::default();
    freshness.record_reading(100);
    freshness.record_peer(revision(5), Some(0), revision(4), 100);
    // Later announcements neither restart the time nor change what is missing.
    freshness.record_peer(revision(6), Some(0), revision(4), 600);
    assert_eq!(freshness.overdue(&BUDGET, revision(4), 0, 99 + BUDGET.max_missing), None);
    let missing = Some(Overdue::Missing(revision(5)));
    assert_eq!(freshness.overdue(&BUDGET, revision(4), 0, 100 + BUDGET.max_missing), missing);
    assert_eq!(freshness.overdue(&BUDGET, revision(5), 0, 100 + BUDGET.max_missing), None, "the daemon has caught up");
}

#[test]
fn storm_of_changes_that_arrive_leaves_nothing_overdue() {
    let mut freshness = Freshness::default();
    freshness.record_reading(0);
    for number in 1..10_000 {
        let now = number * 20;
        freshness.record_peer(revision(number), Some(0), revision(number - 1), now);
        assert_eq!(freshness.overdue(&BUDGET, revision(number - 1), 0, now), None);
    }
}

// Guards against knowledge that two daemons keep young by telling it to each other.
#[test]
fn echoes_do_not_make_knowledge_younger() {
    let mut daemons = [Freshness::default(), Freshness::default()];
    daemons[0].record_reading(0);
    for now in (TRANSIT_MS..2_000).step_by(TRANSIT_MS as usize) {
        for (from, to) in [(0, 1), (1, 0)] {
            let sent = daemons[from].age(revision(1), now - TRANSIT_MS);
            daemons[to].record_peer(revision(1), sent, revision(1), now);
        }
    }
    assert_eq!(daemons[0].age(revision(1), 2_000), Some(2_000));
}

// Guards against memory that grows while a copy stays behind, and against forgetting what it reaches first.
#[test]
fn claims_are_bounded_and_the_next_one_stays() {
    let mut freshness = Freshness::default();
    for number in 1..10_000 {
        freshness.record_peer(revision(number), Some(0), Revision::NONE, number + TRANSIT_MS);
    }
    assert!(freshness.claims.len() <= super::MAX_CLAIMS);
    assert_eq!(freshness.age(revision(1), 10_000), Some(9_999));
    assert_eq!(freshness.age(revision(9_999), 10_000), Some(1));
}

#[test]
fn claims_of_a_later_history_count_only_there() {
    let mut freshness = Freshness::default();
    freshness.record_peer(Revision::new(1, 2), Some(0), Revision::new(0, 90), 500);
    assert_eq!(freshness.age(Revision::new(0, 95), 500), None);
    assert_eq!(freshness.age(Revision::new(1, 2), 600), Some(100 + TRANSIT_MS));
}

/// Guards against LOST: an entry that says how long its server stays was taken to be as old as its reading, after an outage of
/// the store.
#[test]
fn age_of_news_counts_from_the_reading_before() {
    let mut freshness = Freshness::default();
    freshness.record_reading(100);
    assert_eq!(freshness.age_of_news(150), None, "nothing tells when the first listing's entries were written");
    freshness.record_reading(4_000);
    freshness.record_reading(3_000);
    assert_eq!(freshness.age_of_news(4_010), Some(3_910));
    // The copy reaches what two claims are about at once, so that its news are older than the first.
    freshness.record_peer(revision(1), Some(0), Revision::NONE, 5_000);
    freshness.record_peer(revision(2), Some(0), Revision::NONE, 6_000);
    assert_eq!(freshness.age(revision(2), 7_000), Some(1_000 + TRANSIT_MS));
    assert_eq!(freshness.age_of_news(7_000), Some(3_000));
}
