//! Tests of the daemons that get the counts of one that leaves.

use std::sync::Arc;

use super::{Receivers, Recipient, relay_score};
use crate::{
    pb,
    process::membership::{Fact, FactKind, Member, State, Timing, View},
};

const UNIX_MS: u64 = 1_000_000;

fn member(zone: &str, number: usize) -> Member {
    let (name, address) = (format!("{zone}-{number}"), format!("127.0.0.1:{}", 7_000 + number));
    let address = address.parse().expect("an address");
    Member { name: name.into(), address, region: zone.into(), zone: zone.into(), incarnation: 5, state: State::Alive }
}

fn names(recipients: &[Recipient]) -> Vec<&str> {
    recipients.iter().map(|recipient| &*recipient.name).collect()
}

fn highest_first(zone: &str, numbers: impl IntoIterator<Item = usize>) -> Vec<Arc<str>> {
    let mut names: Vec<_> = numbers.into_iter().map(|number| member(zone, number).name).collect();
    names.sort_unstable_by_key(|name| std::cmp::Reverse(relay_score(name)));
    names
}

/// Guards against counts that are handed to daemons that leave as well.
#[test]
fn receivers_are_the_highest_ranked_that_stay() {
    let mut view = View::new(member("a", 0), Timing::default(), 1, 0);
    let others = ["a", "b", "c"].iter().flat_map(|zone| (0..4).map(|number| member(zone, number)));
    let others: Vec<_> = others.filter(|member| &*member.name != "a-0").collect();
    let members = others.iter().map(pb::Member::from).collect();
    view.merge(members, Vec::new(), 0, UNIX_MS, &mut Vec::new());
    // Started after the signal, so that it stays.
    for (name, value) in [("a-1", 6), ("b-2", 6), ("c-3", 4)] {
        let fact =
            Fact { kind: FactKind::Stopping, key: name.into(), value, until_ms: UNIX_MS * 2, note: Arc::from("") };
        assert!(view.add_fact(fact, 0, UNIX_MS));
    }
    let Receivers { holder, zone, others } = Receivers::of(&view, Some("b-1"), false);
    assert_eq!(names(holder.as_slice()), ["b-1"]);
    let staying = highest_first("a", 2..4);
    assert_eq!(names(&zone), staying.iter().map(|name| &**name).collect::<Vec<_>>());
    let (of_b, of_c) = (highest_first("b", [0, 3]), highest_first("c", 0..4));
    let others = names(&others);
    assert_eq!(others.len(), 6, "{others:?}");
    let mut first: Vec<_> = others[..2].to_vec();
    first.sort_unstable();
    assert_eq!(first, [&*of_b[0], &*of_c[0]], "the highest ranked of each zone");
    assert!(Receivers::of(&view, Some("b-2"), false).holder.is_none(), "a holder that leaves");
    let stopping = Receivers::of(&view, Some("b-2"), true);
    assert_eq!(names(stopping.holder.as_slice()), ["b-2"]);
    assert_eq!((names(&stopping.zone), names(&stopping.others)), (vec!["a-1"], Vec::new()));
}
