//! Tests of the steps of an upgrade.

use std::collections::BTreeSet;

use super::plan::{Build, Phase, UpgradePlan};

#[test]
fn plan_is_the_same_for_a_seed_and_differs_between_seeds() {
    let plan = |seed| UpgradePlan::new(5, &Phase::ALL, seed);
    assert_eq!(plan(1), plan(1));
    assert_ne!(plan(1), plan(2));
}

#[test]
fn plan_replaces_each_daemon_of_a_phase_once() {
    for daemons in [1, 2, 3, 5, 7] {
        for seed in 0..50 {
            let plan = UpgradePlan::new(daemons, &Phase::ALL, seed);
            let slots = |phase| plan.steps.iter().filter(move |s| s.phase == phase).map(|s| s.slot).collect::<Vec<_>>();
            let sets = Phase::ALL.map(|phase| slots(phase).into_iter().collect::<BTreeSet<_>>());
            let sizes = Phase::ALL.map(|phase| slots(phase).len());
            let half = daemons.div_ceil(2);
            assert_eq!(sizes, [half, half, daemons, daemons], "{daemons} daemons, seed {seed}");
            assert_eq!(sets.each_ref().map(BTreeSet::len), sizes, "{daemons} daemons, seed {seed}");
            assert_eq!(sets[0], sets[1], "{daemons} daemons, seed {seed}");
        }
    }
}

#[test]
fn plan_ends_with_the_old_program_everywhere() {
    for seed in 0..50 {
        let mut builds = [Build::Old; 5];
        for step in UpgradePlan::new(5, &Phase::ALL, seed).steps {
            assert_ne!(builds[step.slot], step.build, "seed {seed}: {step:?}");
            builds[step.slot] = step.build;
        }
        assert_eq!(builds, [Build::Old; 5], "seed {seed}");
    }
}

#[test]
fn plan_has_faults_also_if_it_is_short_and_kills_no_proposer() {
    for daemons in [2, 3, 5] {
        for seed in 0..50 {
            let steps = UpgradePlan::new(daemons, &[Phase::Forward], seed).steps;
            assert!(steps.iter().any(|s| s.reclaims), "{daemons} daemons, seed {seed}");
            assert!(steps.iter().any(|s| s.killed.is_some()), "{daemons} daemons, seed {seed}");
            assert!(steps.iter().all(|s| s.killed != Some(s.proposer)), "{daemons} daemons, seed {seed}");
            assert!(steps.iter().all(|s| s.killed.is_none_or(|killed| killed < daemons)), "seed {seed}");
        }
    }
}
