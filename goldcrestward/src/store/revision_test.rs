//! Tests of the order of revisions.

use quickcheck::quickcheck;

use super::Revision;

quickcheck! {
    fn order_is_by_history_then_number(a: (u16, u32), b: (u16, u32)) -> bool {
        let revision = |(history, number): (u16, u32)| Revision::new(history.into(), number.into());
        revision(a).cmp(&revision(b)) == a.cmp(&b)
    }

    fn parts_and_ordinal_are_kept(history: u16, number: u32) -> bool {
        let revision = Revision::new(history.into(), number.into());
        let parts = (revision.history(), revision.number());
        parts == (history.into(), number.into()) && Revision::from_ordinal(revision.ordinal()) == revision
    }
}

#[test]
fn new_saturates_instead_of_entering_another_history() {
    assert!(Revision::new(1, u64::MAX) < Revision::new(2, 0));
    assert_eq!(Revision::new(u64::MAX, 7).number(), 7);
}

#[test]
fn display_names_the_history_if_there_is_one() {
    assert_eq!((Revision::new(0, 91).to_string(), Revision::new(2, 91).to_string()), ("91".into(), "2/91".into()));
}
