//! Random histories of the owners of a slot that are paused, overtaken and go on, while claims and outcomes arrive anywhere.

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    entry::{Entry, EntryState, Key},
    message::{Effect, Settlement, StoreResult},
    rows::decode_segment,
    slot::Slot,
    store_test::Store,
};
use crate::{
    pb::{self, Grant},
    store::{Cause, Error},
};

const KEYS: [Key; 2] = [[7; 16], [8; 16]];
const SEEDS: u64 = 4_000;
const STEPS: usize = 120;
const DAEMONS: usize = 3;
const STEP_MS: u64 = 400;

struct Daemon {
    slot: Slot,
    call: Option<Effect>,
}

#[derive(Clone)]
struct Claimed {
    key: Key,
    request: Arc<str>,
    /// Whether the outcome was on record when it was claimed.
    was_done: bool,
}

struct World {
    daemons: Vec<Daemon>,
    store: Store,
    now: u64,
    claims: Vec<Claimed>,
    /// Requests that were told to run, with their keys.
    running: Vec<(Key, Arc<str>)>,
    checked: usize,
}

impl World {
    fn unix(&self) -> u64 {
        1_000 + self.now / 1_000
    }

    /// Whether the store holds the outcome of a key.
    fn is_done(&self, key: Key) -> bool {
        let loaded = self.store.clone().apply(&Effect::Load);
        let StoreResult::Loaded(Ok(rows)) = loaded else { return false };
        let segments = rows.iter().filter_map(decode_segment);
        let entries = segments.flat_map(|segment| segment.entries).filter_map(Entry::from_wire);
        entries.filter(|entry| entry.key == key).last().is_some_and(|entry| entry.state == EntryState::Done)
    }

    fn execute(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Reply(ticket, grant, _) = effect else {
                assert!(self.daemons[number].call.replace(effect).is_none(), "two calls at once");
                continue;
            };
            let Claimed { key, request, was_done } = self.claims[ticket as usize].clone();
            if was_done {
                self.checked += 1;
                let expected = [Grant::Done, Grant::NotOwner, Grant::Unavailable];
                assert!(expected.contains(&grant), "{request} is told {grant:?} although the outcome was on record");
            }
            if grant == Grant::Run && !self.running.contains(&(key, request.clone())) {
                self.running.push((key, request));
            }
            let runs = self.running.iter().filter(|(other, _)| *other == key).count();
            assert!(runs <= 1, "a key has run twice: {:?}", self.running);
        }
    }

    fn step(&mut self, random: &mut SmallRng) {
        let (number, unix, now) = (random.random_range(0..DAEMONS), self.unix(), self.now);
        match random.random_range(0..10) {
            0..=1 => {
                let is_again = random.random_bool(0.3) && !self.claims.is_empty();
                let again = self.claims.last().filter(|_| is_again);
                let (key, request) = again.map_or_else(
                    || (KEYS[random.random_range(0..KEYS.len())], format!("request-{}", self.claims.len()).into()),
                    |claimed| (claimed.key, claimed.request.clone()),
                );
                let ticket = self.claims.len() as u64;
                self.claims.push(Claimed { key, request: request.clone(), was_done: self.is_done(key) });
                let effects = self.daemons[number].slot.claim(ticket, key, 1, request, now, unix);
                self.execute(number, effects);
            }
            2 => {
                let Some((key, request)) = self.running.last().cloned() else { return };
                let outcome = pb::Outcome { status: 200, ..pb::Outcome::default() };
                let settlement = Settlement { key, request, ran: true, outcome: Some(outcome) };
                let (_, effects) = self.daemons[number].slot.settle(settlement, now, unix);
                self.execute(number, effects);
            }
            3..=6 => {
                let Some(call) = self.daemons[number].call.take() else { return };
                let mut result = self.store.apply(&call);
                if random.random_bool(0.1) {
                    let error = Error::Unanswered { service: "model", cause: Cause::Broken };
                    result = match call {
                        Effect::Load => StoreResult::Loaded(Err(error)),
                        _ => StoreResult::Executed(Err(error)),
                    };
                }
                let effects = self.daemons[number].slot.on_store_result(result, now, unix);
                self.execute(number, effects);
            }
            7 => {
                let wanted = random.random_bool(0.7);
                let effects = self.daemons[number].slot.set_wanted(wanted, now, unix);
                self.execute(number, effects);
            }
            _ => {
                self.now += STEP_MS;
                let effects = self.daemons[number].slot.tick(self.now, unix);
                self.execute(number, effects);
            }
        }
    }
}

/// Guards against answers of an owner that was overtaken: in progress, not to be repeated, or run again, for a request whose
/// outcome was on record before it was claimed.
#[test]
fn recorded_outcome_is_the_answer_whoever_was_paused() {
    let mut checked = 0;
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemon = |number| {
            let mut slot = Slot::new("model", 0, format!("daemon-{number}"), String::new());
            slot.set_wanted(true, 0, 0);
            Daemon { slot, call: None }
        };
        let mut world = World {
            daemons: (0..DAEMONS).map(daemon).collect(),
            store: Store::default(),
            now: 0,
            claims: Vec::new(),
            running: Vec::new(),
            checked: 0,
        };
        for _ in 0..STEPS {
            world.step(&mut random);
        }
        checked += world.checked;
    }
    assert!(checked > 1_000, "{checked} claims came after the outcome was on record");
}
