//! Exhaustive state-space search over the real slot state machine: two daemons that both want
//! the slot, one key, lost answers, calls that arrive late, and restarts.

use std::{collections::HashSet, sync::Arc};

use super::{
    message::{Effect, StoreResult},
    slot::Slot,
    store_test::Store,
};
use crate::{
    pb::Grant,
    store::{Cause, Error},
    util::stable_hash,
};

const KEY: [u8; 16] = [7; 16];
const STEP_MS: u64 = 1_000;

fn unanswered(effect: &Effect) -> StoreResult {
    let error = Error::Unanswered { service: "model", cause: Cause::Broken };
    match effect {
        Effect::Load => StoreResult::Loaded(Err(error)),
        _ => StoreResult::Executed(Err(error)),
    }
}

#[derive(Clone, Debug)]
struct Daemon {
    slot: Slot,
    pending_call: Option<Effect>,
    delayed: Vec<Effect>,
    starts: u32,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    claims: u32,
    losses: u32,
    restarts: u32,
    ticks: u32,
    closes: u32,
}

#[derive(Clone, Debug)]
struct World {
    daemons: [Daemon; 2],
    store: Store,
    now: u64,
    budget: Budget,
    dispatched: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// A request with the key is claimed at this daemon.
    Claim(usize),
    /// The service executes the call and its answer arrives.
    Serve(usize),
    /// The service executes the call and its answer is lost.
    LoseAnswer(usize),
    /// The daemon times out; the call may still arrive later.
    Delay(usize),
    /// A call that timed out arrives.
    Arrive(usize),
    /// The daemon is killed and restarts.
    Restart(usize),
    /// The daemon gives its slot up, as it stops.
    Close(usize),
    /// The clock advances by `STEP_MS`.
    Tick,
}

fn daemon(number: usize, starts: u32, inject_fault: bool) -> Daemon {
    let mut slot = Slot::new("model", 0, format!("{number}/{starts}"), String::new());
    if inject_fault {
        slot.inject_early_dispatch();
    }
    slot.set_wanted(true, 0, 0);
    Daemon { slot, pending_call: None, delayed: Vec::new(), starts }
}

impl World {
    fn new(inject_fault: bool, budget: Budget) -> Self {
        let store = Store::default();
        let daemons = [daemon(0, 0, inject_fault), daemon(1, 0, inject_fault)];
        Self { daemons, store, now: 0, budget, dispatched: Vec::new() }
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (n, daemon) in self.daemons.iter().enumerate() {
            if self.budget.claims > 0 {
                actions.push(Action::Claim(n));
            }
            if let Some(call) = &daemon.pending_call {
                actions.push(Action::Serve(n));
                if self.budget.losses > 0 {
                    actions.push(Action::LoseAnswer(n));
                    if *call != Effect::Load {
                        actions.push(Action::Delay(n));
                    }
                }
            }
            if !daemon.delayed.is_empty() {
                actions.push(Action::Arrive(n));
            }
            if self.budget.restarts > 0 {
                actions.push(Action::Restart(n));
            }
            if self.budget.closes > 0 {
                actions.push(Action::Close(n));
            }
        }
        if self.budget.ticks > 0 {
            actions.push(Action::Tick);
        }
        actions
    }

    fn perform(&mut self, action: Action, inject_fault: bool) {
        let unix = 1_000 + self.now / 1_000;
        match action {
            Action::Claim(n) => {
                self.budget.claims -= 1;
                let request: Arc<str> = format!("request-{}", self.budget.claims).into();
                let ticket = u64::from(self.budget.claims);
                let effects = self.daemons[n].slot.claim(ticket, KEY, 1, request, self.now, unix);
                self.execute(n, effects);
            }
            Action::Serve(n) => {
                let Some(call) = self.daemons[n].pending_call.take() else { return };
                let result = self.store.apply(&call);
                self.handle_result(n, result, unix);
            }
            Action::LoseAnswer(n) => {
                self.budget.losses -= 1;
                let Some(call) = self.daemons[n].pending_call.take() else { return };
                self.store.apply(&call);
                self.handle_result(n, unanswered(&call), unix);
            }
            Action::Delay(n) => {
                self.budget.losses -= 1;
                let Some(call) = self.daemons[n].pending_call.take() else { return };
                let result = unanswered(&call);
                self.daemons[n].delayed.push(call);
                self.handle_result(n, result, unix);
            }
            Action::Arrive(n) => {
                let call = self.daemons[n].delayed.remove(0);
                self.store.apply(&call);
            }
            Action::Restart(n) => {
                self.budget.restarts -= 1;
                let old = &mut self.daemons[n];
                let mut delayed = std::mem::take(&mut old.delayed);
                delayed.extend(old.pending_call.take().filter(|call| *call != Effect::Load));
                *old = Daemon { delayed, ..daemon(n, old.starts + 1, inject_fault) };
            }
            Action::Close(n) => {
                self.budget.closes -= 1;
                let effects = self.daemons[n].slot.close(self.now, unix);
                self.execute(n, effects);
            }
            Action::Tick => {
                self.budget.ticks -= 1;
                self.now += STEP_MS;
                for n in 0..2 {
                    let effects = self.daemons[n].slot.tick(self.now, unix);
                    self.execute(n, effects);
                }
            }
        }
    }

    fn handle_result(&mut self, n: usize, result: StoreResult, unix: u64) {
        let effects = self.daemons[n].slot.on_store_result(result, self.now, unix);
        self.execute(n, effects);
    }

    fn execute(&mut self, n: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, Grant::Run, _) => self.dispatched.push(ticket),
                Effect::Reply(..) => {}
                call => {
                    assert!(self.daemons[n].pending_call.is_none(), "two calls at once");
                    self.daemons[n].pending_call = Some(call);
                }
            }
        }
    }

    fn hash(&self) -> u64 {
        stable_hash(&[format!("{self:?}").as_bytes()])
    }
}

struct Search {
    seen: HashSet<u64>,
    inject_fault: bool,
    violation: Option<Vec<Action>>,
    states_with_dispatch: u64,
}

impl Search {
    fn run(inject_fault: bool, budget: Budget) -> Self {
        let mut search = Self { seen: HashSet::new(), inject_fault, violation: None, states_with_dispatch: 0 };
        search.visit(&World::new(inject_fault, budget), &mut Vec::new());
        search
    }

    fn visit(&mut self, world: &World, path: &mut Vec<Action>) {
        if self.violation.is_some() || !self.seen.insert(world.hash()) {
            return;
        }
        if world.dispatched.len() > 1 {
            self.violation = Some(path.clone());
            return;
        }
        self.states_with_dispatch += u64::from(!world.dispatched.is_empty());
        for action in world.actions() {
            let mut next = world.clone();
            next.perform(action, self.inject_fault);
            path.push(action);
            self.visit(&next, path);
            path.pop();
        }
    }
}

#[test]
fn slot_never_dispatches_twice() {
    let budget = Budget { claims: 3, losses: 2, restarts: 1, ticks: 2, closes: 0 };
    let search = Search::run(false, budget);
    println!("visited {} states, {} with a dispatch", search.seen.len(), search.states_with_dispatch);
    assert_eq!(search.violation.map(|path| format!("{path:?}")), None);
    assert!(search.states_with_dispatch > 0, "no state has a dispatch, so the search proves nothing");
}

/// Guards against a second run after a daemon that stops has given its slot up while claims and commits are pending.
#[test]
fn slot_given_up_never_dispatches_twice() {
    let budget = Budget { claims: 3, losses: 1, restarts: 0, ticks: 2, closes: 1 };
    let search = Search::run(false, budget);
    println!("visited {} states, {} with a dispatch", search.seen.len(), search.states_with_dispatch);
    assert_eq!(search.violation.map(|path| format!("{path:?}")), None);
    assert!(search.states_with_dispatch > 0, "no state has a dispatch, so the search proves nothing");
}

#[test]
fn slot_injected_early_dispatch_is_found() {
    let budget = Budget { claims: 2, losses: 1, restarts: 1, ticks: 1, closes: 0 };
    let search = Search::run(true, budget);
    assert!(search.violation.is_some(), "the search missed a dispatch before the commit");
}
