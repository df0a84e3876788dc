//! Tests of the choice among versions.

use std::sync::Arc;

use super::{VersionChoice, VersionRule, version_choice};
use crate::{
    config::{RolloutMode, Site, VersionPlan},
    process::membership::{Fact, FactKind, Facts},
};

fn order(key: &str, version: &str) -> VersionPlan {
    VersionPlan {
        name: version.into(),
        rollout_key: key.into(),
        pool: "pool".into(),
        start_ms: Some(1),
        date_ms: Some(60_001),
        steps: vec![0.1, 1.0],
        harm_threshold: 0.2,
        mode: RolloutMode::Ordered { drain_ms: 5_000 },
    }
}

fn facts(rows: &[(FactKind, &str, u64)]) -> Facts {
    let mut facts = Facts::default();
    for (kind, key, value) in rows {
        facts.merge(&Fact { kind: *kind, key: Arc::from(*key), value: *value, until_ms: u64::MAX, note: "".into() }, 0);
    }
    facts
}

#[test]
fn version_choice_follows_an_ordered_rollout_without_base_plan() {
    let site = Site { versions: [(Arc::from("order"), order("order", "new"))].into(), ..Site::default() };
    let choice = |rows: &[(FactKind, &str, u64)]| version_choice(&site, &facts(rows), "pool").expect("a choice");
    assert_eq!(version_choice(&site, &Facts::default(), "other"), None);
    let others = VersionRule::Except(vec!["new".into()]);
    let before = choice(&[]);
    assert_eq!((before.next_for(1), before.in_use()), (None, others.clone()), "no traffic before the first step");
    assert!(before.fallback().allows("new"), "a daemon that has just started does not know which step was reached");
    let at_first_step = choice(&[(FactKind::Step, "order", 1)]);
    assert_eq!(at_first_step.in_use(), others, "the version in use is any other");
    let on_new_version = (0..1_000).filter(|conversation| at_first_step.next_for(*conversation).is_some()).count();
    assert!((60..140).contains(&on_new_version), "a tenth of conversations: {on_new_version}");
    let last = choice(&[(FactKind::Step, "order", 3)]);
    assert_eq!(last.in_use(), VersionRule::Only("new".into()), "no new requests for servers that are about to stop");
    let after_end = choice(&[(FactKind::Step, "order", 4)]);
    assert_eq!(after_end.in_use(), VersionRule::Except(vec![]), "any version that is not listed is in use");
    let rolled_back = choice(&[(FactKind::Step, "order", 2), (FactKind::TakenBack, "order", 1)]);
    assert_eq!(
        (rolled_back.next_for(1), rolled_back.in_use()),
        (None, others.clone()),
        "no traffic after the rollback"
    );
    assert_eq!(rolled_back.fallback(), others, "not even if no other version serves");
    let again = choice(&[(FactKind::TakenBack, "earlier order", 1)]);
    assert_eq!(
        (again.not_started, again.rolled_back),
        (vec![Arc::from("new")], Vec::new()),
        "the rollback of an earlier order does not apply"
    );
}

#[test]
fn rule_allows() {
    let excluded = VersionRule::Except(vec!["a".into(), "b".into()]);
    for (rule, version, allowed) in [
        (&VersionRule::Any, "a", true),
        (&VersionRule::Only("a".into()), "a", true),
        (&VersionRule::Only("a".into()), "b", false),
        (&excluded, "b", false),
        (&excluded, "c", true),
    ] {
        assert_eq!(rule.allows(version), allowed, "{rule:?} {version}");
    }
    let choice =
        VersionChoice { base: Some("a".into()), next: None, not_started: Vec::new(), rolled_back: vec!["b".into()] };
    assert_eq!(choice.in_use(), VersionRule::Only("a".into()));
}
