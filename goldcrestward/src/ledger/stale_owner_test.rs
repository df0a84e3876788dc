//! Random histories of the owners of a slot that are paused, overtaken and go on, while claims and outcomes arrive anywhere.

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs::SmallRng};

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
}

struct World {
    daemons: Vec<Daemon>,
    store: Store,
    now: u64,
    claims: Vec<Claimed>,
    /// Requests that were told to run, with their keys.
    running: Vec<(Key, Arc<str>)>,
}

impl World {
    fn unix(&self) -> u64 {
        1_000 + self.now / 1_000
    }

    fn execute(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Reply(ticket, grant, _) = effect else {
                assert!(self.daemons[number].call.replace(effect).is_none(), "two calls at once");
                continue;
            };
            let Claimed { key, request } = self.claims[ticket as usize].clone();
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
                self.claims.push(Claimed { key, request: request.clone() });
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

/// Guards against a second run: an owner that took a slot over had read it before, and missed what the owner before it had
/// granted in between.
#[test]
fn key_runs_once_whoever_was_paused() {
    let mut runs = 0;
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
        };
        for _ in 0..STEPS {
            world.step(&mut random);
        }
        runs += world.running.len();
    }
    assert!(runs > 1_000, "{runs} runs");
}
