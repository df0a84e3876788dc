//! Tests of facts as builds of different ages exchange them.

use super::fact::{Fact, FactKind, Facts};
use crate::{pb, util::stable_hash};

fn message(kind: i32) -> pb::Fact {
    pb::Fact { kind, key: "key".into(), value: 7, until_ms: 900, note: "note".into() }
}

/// Guards against builds whose views never agree, as they hash the same fact differently.
#[test]
fn fact_hash_does_not_depend_on_what_is_known() {
    let kinds = [
        (FactKind::TakenBack, 0),
        (FactKind::Crash, 1),
        (FactKind::Leaving, 2),
        (FactKind::Clear, 3),
        (FactKind::Step, 4),
        (FactKind::PartCrash, 5),
        (FactKind::PartAnswered, 6),
        (FactKind::ServerLimit, 7),
        (FactKind::ServerBrittle, 8),
        (FactKind::Stopping, 9),
        (FactKind::ServerLeaving, 10),
        (FactKind::Unknown(12), 11),
        (FactKind::Unknown(900), 131),
    ];
    for (kind, byte) in kinds {
        let mut facts = Facts::default();
        assert!(facts.merge(&Fact { kind, key: "key".into(), value: 7, until_ms: 900, note: "".into() }, 0));
        assert_eq!(facts.hash(), stable_hash(&[&[byte], b"key", &7_u64.to_le_bytes()]), "{kind:?}");
    }
}

#[test]
fn fact_of_any_kind_is_passed_on_unchanged() {
    for kind in (1..20).chain([900, i32::MAX, -1]) {
        let fact = Fact::from_wire(message(kind)).expect("a kind");
        assert_eq!(pb::Fact::from(&fact), message(kind));
    }
    assert_eq!(Fact::from_wire(message(0)), None);
}
