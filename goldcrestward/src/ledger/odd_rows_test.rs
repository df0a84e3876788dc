//! Tests of slots among whose rows are some that another program has written.

use prost::Message;

use super::{
    message::Settlement,
    slot::Slot,
    slot_test::{Service, claim, done, key, slot, unix},
};
use crate::pb::{Grant, LedgerHead, LedgerSegment, Outcome};

const PREFIX: &str = "/goldcrestward/test/ledger/0/";
const HOUR_MS: u64 = 3_600_000;

fn segment(fence: u64) -> Vec<u8> {
    LedgerSegment { fence, commit: 1, entries: Vec::new() }.encode_to_vec()
}

fn head(fence: u64) -> Vec<u8> {
    LedgerHead { fence, owner: "another program".into(), address: String::new() }.encode_to_vec()
}

/// Rows of another program under keys that no owner has written.
fn added_rows() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("rack 7&a+b#c%20", vec![0xff; 3]),
        ("segment/", vec![0xff; 3]),
        ("segment/+0", vec![0xff; 3]),
        ("segment/+1", segment(1)),
        ("segment/1", segment(1)),
        ("segment/00000001", vec![0xff; 3]),
        ("segment/00000001", Vec::new()),
        ("segment/00000001", segment(u64::MAX)),
        ("segment/00000099", vec![0xff; 3]),
        ("segment/2147483647", vec![0xff; 3]),
        ("segment/2147483648", segment(1)),
        ("segment/4294967295", vec![0xff; 3]),
        ("segment/4294967295", segment(1)),
    ]
}

/// Claims a key at a slot, which must answer within the rounds of the service.
fn answer(service: &mut Service, slot: &mut Slot, ticket: u64, number: u64, now: &mut u64) -> Vec<Grant> {
    let effects = claim(slot, ticket, number, *now);
    service.drive(slot, effects, now).into_iter().map(|(_, grant)| grant).collect()
}

/// Guards against RECOVER: one row under a key of its own stopped a slot, or hid its entries.
#[test]
fn row_of_another_program_does_not_stop_a_slot() {
    for (key, value) in added_rows() {
        let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
        assert_eq!(answer(&mut service, &mut first, 1, 5, &mut now), [Grant::Run], "{key}");
        let (recorded, effects) = first.settle(done(5), now, unix(now));
        assert!(recorded, "{key}");
        service.drive(&mut first, effects, &mut now);
        service.store.put(&format!("{PREFIX}{key}"), value.clone());
        for number in 10..14 {
            assert_eq!(answer(&mut service, &mut first, number, number, &mut now), [Grant::Run], "{key} {value:?}");
        }
        let mut second = slot("b");
        assert_eq!(answer(&mut service, &mut second, 2, 5, &mut now), [Grant::Done], "{key} {value:?}");
        assert_eq!(answer(&mut service, &mut second, 3, 10, &mut now), [Grant::MayHaveRun], "{key} {value:?}");
        assert_eq!(answer(&mut service, &mut second, 4, 6, &mut now), [Grant::Run], "{key} {value:?}");
        let mut third = slot("c");
        for number in [6, 13] {
            let grants = answer(&mut service, &mut third, 20 + number, number, &mut now);
            assert_eq!(grants, [Grant::MayHaveRun], "{key} {value:?}");
        }
    }
}

/// A number that another program has taken is passed over, whether the owner knows it or not.
#[test]
fn owner_passes_over_segments_of_another_program() {
    // With their outcomes, enough for three segments.
    const KEYS: u64 = 24;
    for is_known in [true, false] {
        let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
        for number in 1..=KEYS {
            if number == 3 {
                service.store.put(&format!("{PREFIX}segment/00000001"), vec![0xff; 3]);
                owner = if is_known { slot("b") } else { owner };
            }
            assert_eq!(answer(&mut service, &mut owner, number, number, &mut now), [Grant::Run], "known {is_known}");
            let outcome = Outcome { body: vec![b'x'; 4_096], ..Outcome::default() };
            let request = format!("request-{number}").into();
            let settlement = Settlement { key: key(number), request, ran: true, outcome: Some(outcome) };
            let (_, effects) = owner.settle(settlement, now, unix(now));
            service.drive(&mut owner, effects, &mut now);
        }
        let segments = service.store.rows.keys().filter(|key| key.contains("/segment/")).count();
        assert!(segments >= 4, "known {is_known}: {segments} segments");
        let mut next = slot("c");
        for number in 1..=KEYS {
            let grants = answer(&mut service, &mut next, 100 + number, number, &mut now);
            assert_eq!(grants, [Grant::Done], "known {is_known}: key {number}");
        }
    }
}

/// Guards against RECOVER: a head that could not be read stopped its slot, as it was taken for an absent one.
#[test]
fn head_that_cannot_be_read_is_replaced() {
    for value in [vec![0xff; 3], Vec::new(), head(0), head(u64::MAX)] {
        let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
        assert_eq!(answer(&mut service, &mut first, 1, 5, &mut now), [Grant::Run]);
        service.store.put(&format!("{PREFIX}head"), value.clone());
        let mut second = slot("b");
        assert_eq!(answer(&mut service, &mut second, 2, 5, &mut now), [Grant::MayHaveRun], "{value:?}");
        assert_eq!(answer(&mut service, &mut second, 3, 6, &mut now), [Grant::Run], "{value:?}");
        assert_eq!(answer(&mut service, &mut first, 4, 7, &mut now), [Grant::NotOwner], "{value:?}");
        let mut third = slot("c");
        assert_eq!(answer(&mut service, &mut third, 5, 6, &mut now), [Grant::MayHaveRun], "{value:?}");
    }
}

/// Guards against requests that run twice: a segment that could not be read was left out, with the keys that it had held.
#[test]
fn keys_of_an_overwritten_segment_do_not_run_again() {
    for value in [vec![0xff; 3], Vec::new(), segment(1)] {
        let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
        assert_eq!(answer(&mut service, &mut first, 1, 5, &mut now), [Grant::Run]);
        service.store.put(&format!("{PREFIX}segment/00000000"), value.clone());
        let mut second = slot("b");
        assert_eq!(answer(&mut service, &mut second, 2, 5, &mut now), [Grant::MayHaveRun], "{value:?}");
        assert_eq!(answer(&mut service, &mut second, 3, 6, &mut now), [Grant::MayHaveRun], "{value:?}");
        now += 25 * HOUR_MS;
        let mut third = slot("c");
        assert_eq!(answer(&mut service, &mut third, 4, 6, &mut now), [Grant::MayHaveRun], "{value:?}");
        now += 25 * HOUR_MS;
        assert_eq!(answer(&mut service, &mut third, 5, 6, &mut now), [Grant::Run], "{value:?}");
        assert_eq!(service.store.rows.len(), 2, "the segment is not removed: {value:?}");
    }
}

/// Guards against RECOVER: an owner whose open segment was overwritten repeated its commit for good.
#[test]
fn owner_writes_its_open_segment_again_elsewhere() {
    for value in [Some(vec![0xff; 3]), Some(Vec::new()), Some(segment(1)), None] {
        let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
        assert_eq!(answer(&mut service, &mut first, 1, 5, &mut now), [Grant::Run]);
        let key = format!("{PREFIX}segment/00000000");
        match &value {
            Some(value) => service.store.put(&key, value.clone()),
            None => drop(service.store.rows.remove(&key)),
        }
        assert_eq!(answer(&mut service, &mut first, 2, 6, &mut now), [Grant::Run], "{value:?}");
        let mut second = slot("b");
        for number in [5, 6] {
            let grants = answer(&mut service, &mut second, 10 + number, number, &mut now);
            assert_eq!(grants, [Grant::MayHaveRun], "{value:?}");
        }
        assert_eq!(answer(&mut service, &mut second, 20, 7, &mut now), [Grant::Run], "{value:?}");
    }
}
