//! Unit tests of the slot state machine.

use std::sync::Arc;

use super::{
    entry::Key,
    message::{Effect, Settlement, StoreResult},
    slot::Slot,
    store_test::Store,
};
use crate::{
    pb::{self, Grant},
    store::{Cause, Error},
};

/// Key-value service that answers at once and loses the answers to the next `answers_to_lose` commits.
#[derive(Default)]
pub(super) struct Service {
    pub store: Store,
    answers_to_lose: u32,
    writes: u64,
}

impl Service {
    fn serve(&mut self, effect: &Effect) -> StoreResult {
        let result = self.store.apply(effect);
        if *effect == Effect::Load {
            return result;
        }
        self.writes += 1;
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return StoreResult::Executed(Err(Error::Unanswered { service: "test", cause: Cause::Broken }));
        }
        result
    }

    /// Serves the calls of a slot for 400 rounds, in steps of 50 ms, and returns its replies.
    pub fn drive(&mut self, slot: &mut Slot, effects: Vec<Effect>, now: &mut u64) -> Vec<(u64, Grant)> {
        let mut replies = Vec::new();
        let mut effects = effects;
        for _ in 0..400 {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Reply(ticket, grant, _) => replies.push((ticket, grant)),
                    call => next.extend(slot.on_store_result(self.serve(&call), *now, unix(*now))),
                }
            }
            if next.is_empty() {
                *now += 50;
                next = slot.tick(*now, unix(*now));
            }
            effects = next;
        }
        replies
    }
}

pub(super) fn unix(now: u64) -> u64 {
    1_700_000_000 + now / 1_000
}

pub(super) fn key(number: u64) -> Key {
    let mut key = Key::default();
    key[..8].copy_from_slice(&number.to_le_bytes());
    key
}

pub(super) fn slot(name: &str) -> Slot {
    let mut slot = Slot::new("test", 0, name.into(), String::new());
    slot.set_wanted(true, 0, unix(0));
    slot
}

pub(super) fn claim(slot: &mut Slot, ticket: u64, number: u64, now: u64) -> Vec<Effect> {
    let request: Arc<str> = format!("request-{ticket}").into();
    slot.claim(ticket, key(number), number, request, now, unix(now))
}

/// The settlement of a claim that has run and been answered.
pub(super) fn done(number: u64) -> Settlement {
    let outcome =
        pb::Outcome { status: 200, content_type: "text/plain".into(), body: b"done".to_vec(), body_omitted: false };
    Settlement { key: key(number), request: "request-1".into(), ran: true, outcome: Some(outcome) }
}

#[test]
fn claim_new_key_runs_once() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut owner, 1, 5, now);
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(1, Grant::Run)]);
    let effects = claim(&mut owner, 2, 5, now);
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(2, Grant::InProgress)]);
}

/// Guards against LOST: a claim that was sent again while its first copy was being written, as the owner had been silent,
/// was refused as one that another request holds.
#[test]
fn claim_sent_again_beside_its_commit_shares_the_grant() {
    for (case, is_pending) in [("the commit is pending", true), ("both wait for the commit", false)] {
        let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
        let effects = claim(&mut owner, 1, 1, now);
        assert_eq!(service.drive(&mut owner, effects, &mut now), [(1, Grant::Run)], "{case}");
        let mut calls = if is_pending { Vec::new() } else { claim(&mut owner, 2, 2, now) };
        let mut again = |ticket| owner.claim(ticket, key(5), 5, "request-5".into(), now, unix(now));
        calls.extend(again(5));
        calls.extend(again(6));
        let replies = service.drive(&mut owner, calls, &mut now);
        let granted: Vec<_> = replies.into_iter().filter(|(ticket, _)| *ticket != 2).collect();
        assert_eq!(granted, [(5, Grant::Run), (6, Grant::Run)], "{case}");
        let effects = claim(&mut owner, 7, 5, now);
        assert_eq!(service.drive(&mut owner, effects, &mut now), [(7, Grant::InProgress)], "{case}");
    }
}

#[test]
fn claim_after_takeover_may_have_run() {
    let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut first, 1, 5, now);
    service.drive(&mut first, effects, &mut now);
    let mut second = slot("b");
    let effects = claim(&mut second, 2, 5, now);
    assert_eq!(service.drive(&mut second, effects, &mut now), [(2, Grant::MayHaveRun)]);
    let effects = claim(&mut first, 3, 6, now);
    assert_eq!(service.drive(&mut first, effects, &mut now), [(3, Grant::NotOwner)], "the first owner is fenced off");
}

/// Guards against retries that are refused as in progress, or run again, although their outcome is on record: an owner that
/// had been paused answered from its memory, before it learnt that another daemon had taken the slot over.
#[test]
fn claim_at_an_owner_that_was_overtaken_is_not_answered_from_memory() {
    for (case, request, fingerprint) in
        [("a retry", "request-2", 5), ("the same request", "request-1", 5), ("other content", "request-2", 99)]
    {
        let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
        let effects = claim(&mut first, 1, 5, now);
        assert_eq!(service.drive(&mut first, effects, &mut now), [(1, Grant::Run)]);
        // The first owner is paused; the next one records how the claim ended.
        let mut second = slot("b");
        let (_, effects) = second.settle(done(5), now, unix(now));
        service.drive(&mut second, effects, &mut now);
        let (recorded, effects) = second.settle(done(5), now, unix(now));
        assert!(recorded);
        service.drive(&mut second, effects, &mut now);
        let effects = first.claim(2, key(5), fingerprint, request.into(), now, unix(now));
        assert_eq!(service.drive(&mut first, effects, &mut now), [(2, Grant::NotOwner)], "{case}");
        let effects = first.claim(3, key(5), 5, "request-3".into(), now, unix(now));
        assert_eq!(service.drive(&mut first, effects, &mut now), [(3, Grant::Done)], "{case}");
    }
}

/// Guards against answers that are never given as the answer to the check of the slot is lost.
#[test]
fn claim_is_answered_although_checks_of_the_slot_get_no_answer() {
    for lost in 1..6 {
        let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
        let effects = claim(&mut owner, 1, 5, now);
        service.drive(&mut owner, effects, &mut now);
        service.answers_to_lose = lost;
        let effects = claim(&mut owner, 2, 5, now);
        let replies = service.drive(&mut owner, effects, &mut now);
        let is_refused = replies == [(2, Grant::Unavailable)];
        assert!(replies == [(2, Grant::InProgress)] || is_refused, "{lost} answers lost: {replies:?}");
        service.answers_to_lose = 0;
        let effects = claim(&mut owner, 3, 6, now);
        assert_eq!(service.drive(&mut owner, effects, &mut now), [(3, Grant::Run)], "{lost} answers lost");
    }
}

#[test]
fn settle_outcome_is_replayed_by_next_owner() {
    let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut first, 1, 5, now);
    service.drive(&mut first, effects, &mut now);
    let (recorded, effects) = first.settle(done(5), now, unix(now));
    assert!(recorded);
    service.drive(&mut first, effects, &mut now);
    let mut second = slot("b");
    let effects = claim(&mut second, 2, 5, now);
    assert_eq!(service.drive(&mut second, effects, &mut now), [(2, Grant::Done)]);
}

/// Guards against an outcome that is lost with the owner of its slot: the next owner took the slot for claims only.
#[test]
fn settle_at_next_owner_is_recorded_when_sent_again() {
    let (mut service, mut first, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut first, 1, 5, now);
    service.drive(&mut first, effects, &mut now);
    let mut second = slot("b");
    let (recorded, effects) = second.settle(done(5), now, unix(now));
    assert!(!recorded);
    service.drive(&mut second, effects, &mut now);
    let (recorded, effects) = second.settle(done(5), now, unix(now));
    assert!(recorded);
    service.drive(&mut second, effects, &mut now);
    let effects = claim(&mut second, 2, 5, now);
    assert_eq!(service.drive(&mut second, effects, &mut now), [(2, Grant::Done)]);
}

/// Guards against stops that take all of their time, as claims of other daemons kept the slots of the one that stops from
/// being flushed.
#[test]
fn close_writes_outcomes_and_grants_nothing_new() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut owner, 1, 1, now);
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(1, Grant::Run)]);
    assert_eq!(owner.settle(done(1), now, unix(now)), (true, Vec::new()));
    let commit = owner.close(now, unix(now));
    assert!(matches!(commit[..], [Effect::Txn(..)]), "the outcome is not written at once: {commit:?}");
    assert_eq!(claim(&mut owner, 2, 2, now), [Effect::Reply(2, Grant::NotOwner, None)]);
    assert_eq!(claim(&mut owner, 3, 1, now), [Effect::Reply(3, Grant::Done, done(1).outcome)]);
    assert!(!owner.is_flushed(), "the commit is pending");
    for call in commit {
        assert_eq!(owner.on_store_result(service.serve(&call), now, unix(now)), []);
    }
    assert!(owner.is_flushed() && !owner.is_owned());
    owner.set_wanted(true, now, unix(now));
    assert_eq!(claim(&mut owner, 4, 1, now), [Effect::Reply(4, Grant::NotOwner, None)]);
    assert_eq!(owner.settle(done(1), now, unix(now)), (false, Vec::new()));
    let mut next = slot("b");
    let effects = claim(&mut next, 5, 1, now);
    assert_eq!(service.drive(&mut next, effects, &mut now), [(5, Grant::Done)]);
}

/// Guards against claims that nobody answers as their slot is given up before it has been taken.
#[test]
fn close_answers_waiting_claims() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let mut effects = claim(&mut owner, 1, 1, now);
    effects.extend(owner.close(now, unix(now)));
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(1, Grant::Run)]);
    assert!(owner.is_flushed() && !owner.is_owned());
}

#[test]
fn settle_not_run_frees_key() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut owner, 1, 5, now);
    service.drive(&mut owner, effects, &mut now);
    let settlement = Settlement { key: key(5), request: "request-1".into(), ran: false, outcome: None };
    let (recorded, effects) = owner.settle(settlement, now, unix(now));
    assert!(recorded);
    service.drive(&mut owner, effects, &mut now);
    let effects = claim(&mut owner, 2, 5, now);
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(2, Grant::Run)]);
}

/// Guards against keys that a claim holds which nobody waits for any more: it was granted although its claimant had given
/// it up.
#[test]
fn settle_not_run_withdraws_waiting_claim() {
    for (case, is_owned) in [("the slot is owned", true), ("the slot is not owned yet", false)] {
        let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
        if is_owned {
            let effects = claim(&mut owner, 1, 5, now);
            service.drive(&mut owner, effects, &mut now);
            // A pending commit makes the next claim wait.
            let pending = claim(&mut owner, 2, 6, now);
            assert_eq!(pending.len(), 1, "{case}");
        }
        let mut calls = claim(&mut owner, 3, 7, now);
        let settlement = Settlement { key: key(7), request: "request-3".into(), ran: false, outcome: None };
        let (recorded, effects) = owner.settle(settlement, now, unix(now));
        assert_eq!(recorded, is_owned, "{case}");
        assert_eq!(effects, [Effect::Reply(3, Grant::Unavailable, None)], "{case}");
        calls.extend(claim(&mut owner, 4, 7, now));
        if is_owned {
            continue;
        }
        assert_eq!(service.drive(&mut owner, calls, &mut now), [(4, Grant::Run)], "{case}");
    }
}

#[test]
fn claim_other_content_is_mismatch() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut owner, 1, 5, now);
    service.drive(&mut owner, effects, &mut now);
    let effects = owner.claim(2, key(5), 99, "request-2".into(), now, unix(now));
    assert_eq!(service.drive(&mut owner, effects, &mut now), [(2, Grant::Mismatch)]);
}

#[test]
fn commit_lost_answer_is_reconciled_by_reading_back() {
    for lost in 1..6 {
        let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
        service.answers_to_lose = lost;
        let effects = claim(&mut owner, 1, 5, now);
        let replies = service.drive(&mut owner, effects, &mut now);
        let refused = replies == [(1, Grant::Unavailable)];
        assert!(replies == [(1, Grant::Run)] || refused, "{lost} lost answers gave {replies:?}");
    }
}

#[test]
fn claims_under_load_share_commits() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    let effects = claim(&mut owner, 0, 0, now);
    let mut granted = service.drive(&mut owner, effects, &mut now).len();
    let before = service.writes;
    // 25 claims a second for 20 s: the share of one of eight slots at 200 claims a second.
    let mut effects = Vec::new();
    for number in 1..=500 {
        effects.extend(claim(&mut owner, number, number, now));
        now += 40;
        let calls = std::mem::take(&mut effects);
        for effect in calls {
            match effect {
                Effect::Reply(_, grant, _) => granted += usize::from(grant == Grant::Run),
                call => effects.extend(owner.on_store_result(service.serve(&call), now, unix(now))),
            }
        }
        effects.extend(owner.tick(now, unix(now)));
    }
    granted += service.drive(&mut owner, effects, &mut now).len();
    let writes = service.writes - before;
    assert_eq!(granted, 501);
    assert!(writes * 10 <= 500, "{writes} writes for 500 claims, at most 50 expected");
}

#[test]
fn values_stay_under_a_megabyte() {
    let (mut service, mut owner, mut now) = (Service::default(), slot("a"), 0);
    for number in 0..600 {
        let effects = claim(&mut owner, number, number, now);
        for effect in effects {
            if !matches!(effect, Effect::Reply(..)) {
                let more = owner.on_store_result(service.serve(&effect), now, unix(now));
                service.drive_once(&mut owner, more, now);
            }
        }
        let outcome =
            pb::Outcome { status: 200, content_type: String::new(), body: vec![b'x'; 4096], body_omitted: false };
        let request = format!("request-{number}").into();
        let settlement = Settlement { key: key(number), request, ran: true, outcome: Some(outcome) };
        let (_, effects) = owner.settle(settlement, now, unix(now));
        service.drive_once(&mut owner, effects, now);
        now += 700;
    }
    let largest = service.store.rows.values().map(|(value, _)| value.len()).max().unwrap_or(0);
    assert!(largest < 1_000_000, "a value of {largest} bytes");
    assert!(service.store.rows.len() > 10, "the slot did not begin new segments");
}

impl Service {
    fn drive_once(&mut self, slot: &mut Slot, effects: Vec<Effect>, now: u64) {
        let mut effects = effects;
        while let Some(effect) = effects.pop() {
            if !matches!(effect, Effect::Reply(..)) {
                effects.extend(slot.on_store_result(self.serve(&effect), now, unix(now)));
            }
        }
    }
}
