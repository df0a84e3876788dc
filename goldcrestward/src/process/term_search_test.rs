//! Exhaustive state search: two daemons acquire the duties and report one window, while answers are lost, calls are
//! executed late, daemons crash or pause, and leases expire.
//!
//! Guards against two holders with the same fencing token and against a window that is reported with different counts.

use std::{
    collections::{HashSet, VecDeque},
    hash::{Hash, Hasher},
    time::Duration,
};

use super::{Term, UsageRecord, UsageSchedule, UsageStep, WriteResult};
use crate::{port::DutyAnswer, store::Revision};

const TTL: Duration = Duration::from_secs(3);
/// Time between two ticks of the search, and number of ticks searched.
const TICK_MS: u64 = 1_000;
const TICKS: u64 = 5;
/// Bounds of the search: lost answers and late calls, crashes, counts made of the window, and leases granted.
const MAX_LOST: u8 = 2;
const MAX_CRASHES: u8 = 1;
const MAX_COUNTS: u64 = 3;
const MAX_LEASES: usize = 3;
const WINDOW: u64 = 1;
const SCHEDULE: UsageSchedule = UsageSchedule { window_ms: 1_000, report_within_ms: 100_000, settle_ms: 0 };
/// Unix time at which the window has ended and its report is not overdue.
const UNIX_MS: u64 = 2_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Daemon {
    Idle,
    /// Has been granted a lease: its ID and the time of the request.
    Granted(u64, u64),
    /// Does not know whether its key was written: the lease's ID and the time of the request.
    Unconfirmed(u64, u64),
    Holding(Term),
}

/// A call that may still be executed later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingCall {
    /// Writes a daemon's key under a lease.
    Acquire(usize, u64),
    /// Stores a record under a fencing token, in place of the one with a revision.
    Write(UsageRecord, u64, u64),
    /// Reports a record under a fencing token.
    Report(UsageRecord, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    revision: u64,
    /// Expiry times of the leases; a lease's ID is its index.
    leases: Vec<u64>,
    /// The daemon that holds the duties, its lease, and the key's revision.
    key: Option<(usize, u64, u64)>,
    record: Option<(UsageRecord, u64)>,
    late: Vec<PendingCall>,
    daemons: [Daemon; 2],
    /// Highest fencing token that the platform has seen.
    highest_token: u64,
    /// Report that the platform has accepted.
    accepted: Option<UsageRecord>,
    lost: u8,
    crashes: u8,
    counts_made: u64,
    violation: Option<&'static str>,
}

/// How a call ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    Answered,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Unanswered, and executed later or never.
    Late,
}

impl World {
    fn new() -> Self {
        Self {
            now: 0,
            revision: 1,
            leases: Vec::new(),
            key: None,
            record: None,
            late: Vec::new(),
            daemons: [Daemon::Idle, Daemon::Idle],
            highest_token: 0,
            accepted: None,
            lost: 0,
            crashes: 0,
            counts_made: 0,
            violation: None,
        }
    }

    /// Hash that stands for the world in the set of visited states.
    fn fingerprint(&self) -> u128 {
        let hash = |salt: u64| {
            let mut hasher = std::hash::DefaultHasher::new();
            (salt, self).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        hash(1) << 64 | hash(2)
    }

    fn is_live(&self, lease: u64) -> bool {
        self.leases[lease as usize] > self.now
    }

    fn expire(&mut self) {
        if self.key.is_some_and(|(_, lease, _)| !self.is_live(lease)) {
            self.key = None;
        }
    }

    /// The store writes a daemon's key, if there is none.
    fn acquire(&mut self, daemon: usize, lease: u64) -> bool {
        if self.key.is_some() || !self.is_live(lease) {
            return false;
        }
        self.revision += 1;
        self.key = Some((daemon, lease, self.revision));
        true
    }

    /// The store replaces the record, if the key's revision is still the fencing token.
    fn write(&mut self, record: &UsageRecord, fencing_token: u64, replaced: u64) -> bool {
        let stored = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if self.key.is_none_or(|(_, _, revision)| revision != fencing_token) || stored != replaced {
            return false;
        }
        self.revision += 1;
        self.record = Some((record.clone(), self.revision));
        true
    }

    /// The platform receives a report.
    fn report(&mut self, record: &UsageRecord, fencing_token: u64) -> DutyAnswer {
        if fencing_token < self.highest_token {
            return DutyAnswer::Refused;
        }
        self.highest_token = fencing_token;
        if self.accepted.as_ref().is_some_and(|accepted| accepted != record) {
            self.violation = Some("a window was reported with different counts");
        }
        self.accepted = Some(record.clone());
        DutyAnswer::Done
    }

    fn execute(&mut self, call: &PendingCall) {
        match call {
            PendingCall::Acquire(daemon, lease) => {
                self.acquire(*daemon, *lease);
            }
            PendingCall::Write(record, fencing_token, replaced) => {
                self.write(record, *fencing_token, *replaced);
            }
            PendingCall::Report(record, fencing_token) => {
                self.report(record, *fencing_token);
            }
        }
    }

    /// The worlds that follow a call for each way it may end, with the answer that the caller gets.
    fn call<T>(&self, call: &PendingCall, mut execute: impl FnMut(&mut Self) -> T) -> Vec<(Self, Option<T>)> {
        let mut worlds = Vec::new();
        for end in [CallEnd::Answered, CallEnd::AnswerLost, CallEnd::Late] {
            let mut world = self.clone();
            if end != CallEnd::Answered {
                if world.lost == MAX_LOST {
                    continue;
                }
                world.lost += 1;
            }
            let answer = (end != CallEnd::Late).then(|| execute(&mut world));
            if end == CallEnd::Late {
                world.late.push(call.clone());
            }
            worlds.push((world, answer.filter(|_| end == CallEnd::Answered)));
        }
        worlds
    }

    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        if self.now < TICKS * TICK_MS {
            let mut world = self.clone();
            world.now += TICK_MS;
            world.expire();
            worlds.push(world);
        }
        for index in 0..self.late.len() {
            let mut world = self.clone();
            let call = world.late.remove(index);
            world.execute(&call);
            worlds.push(world);
        }
        for daemon in 0..2 {
            worlds.extend(self.steps(daemon));
            if self.crashes < MAX_CRASHES && self.daemons[daemon] != Daemon::Idle {
                let mut world = self.clone();
                world.crashes += 1;
                world.daemons[daemon] = Daemon::Idle;
                worlds.push(world);
            }
        }
        worlds
    }

    fn with(mut self, daemon: usize, state: Daemon) -> Self {
        self.daemons[daemon] = state;
        self
    }

    fn start_term(&self, daemon: usize, lease: u64, requested_ms: u64) -> Self {
        let fencing_token = self.key.map_or(0, |(_, _, revision)| revision);
        let shared =
            self.daemons.iter().any(|d| matches!(d, Daemon::Holding(other) if other.fencing_token == fencing_token));
        let mut world = self.clone().with(daemon, Daemon::Holding(Term::new(lease, fencing_token, requested_ms, TTL)));
        if shared {
            world.violation = Some("two holders have the same fencing token");
        }
        world
    }

    fn steps(&self, daemon: usize) -> Vec<Self> {
        match &self.daemons[daemon] {
            Daemon::Idle if self.key.is_some() || self.leases.len() >= MAX_LEASES => Vec::new(),
            Daemon::Idle => {
                let mut world = self.clone();
                world.leases.push(self.now + TTL.as_millis() as u64);
                let lease = world.leases.len() as u64 - 1;
                vec![world.with(daemon, Daemon::Granted(lease, self.now))]
            }
            Daemon::Granted(lease, requested_ms) => {
                let (lease, requested_ms) = (*lease, *requested_ms);
                let after = |(world, answer): (Self, Option<bool>)| match answer {
                    Some(true) => world.start_term(daemon, lease, requested_ms),
                    Some(false) => world.with(daemon, Daemon::Idle),
                    None => world.with(daemon, Daemon::Unconfirmed(lease, requested_ms)),
                };
                let worlds = self.call(&PendingCall::Acquire(daemon, lease), |world| world.acquire(daemon, lease));
                worlds.into_iter().map(after).collect()
            }
            Daemon::Unconfirmed(lease, requested_ms) => {
                let mine = self.key.is_some_and(|(holder, held_lease, _)| (holder, held_lease) == (daemon, *lease));
                let idle = self.clone().with(daemon, Daemon::Idle);
                vec![if mine { self.start_term(daemon, *lease, *requested_ms) } else { idle }]
            }
            Daemon::Holding(term) if term.has_ended(self.now) => vec![self.clone().with(daemon, Daemon::Idle)],
            Daemon::Holding(term) if !term.is_valid(self.now) => self.renewals(daemon, term),
            Daemon::Holding(term) => {
                let mut worlds = self.renewals(daemon, term);
                worlds.extend(self.usage(daemon, term));
                worlds
            }
        }
    }

    fn renewals(&self, daemon: usize, term: &Term) -> Vec<Self> {
        if !term.is_renewal_due(self.now) {
            return Vec::new();
        }
        if !self.is_live(term.lease) {
            return vec![self.clone().with(daemon, Daemon::Idle)];
        }
        let mut world = self.clone();
        world.leases[term.lease as usize] = self.now + TTL.as_millis() as u64;
        let mut renewed = term.clone();
        renewed.extend(self.now, TTL);
        vec![world.with(daemon, Daemon::Holding(renewed))]
    }

    fn usage(&self, daemon: usize, term: &Term) -> Vec<Self> {
        let mut counts_made = self.counts_made;
        let count = |last_written: Option<u64>, first_open: u64, _| {
            let next = last_written.map_or(WINDOW, |window| window + 1);
            if next >= first_open || self.counts_made == MAX_COUNTS {
                return None;
            }
            // Every count of the window gives another result.
            counts_made += 1;
            Some(UsageRecord { window: next, counts: [("a".into(), counts_made)].into(), history: None })
        };
        let step = term.usage_step(UNIX_MS, SCHEDULE, count);
        let mut world = self.clone();
        world.counts_made = counts_made;
        let mut term = term.clone();
        match step {
            UsageStep::Idle => Vec::new(),
            UsageStep::Read => {
                let (record, revision) = self.record.clone().map_or((None, 0), |(record, at)| (Some(record), at));
                term.apply_read(record, Revision::new(0, revision));
                vec![world.with(daemon, Daemon::Holding(term))]
            }
            UsageStep::Write(record, replaced) => {
                let call = PendingCall::Write(record.clone(), term.fencing_token, replaced.number());
                let write = |world: &mut Self| world.write(&record, term.fencing_token, replaced.number());
                let after = |(world, answer): (Self, Option<bool>)| {
                    let mut term = term.clone();
                    let result = match answer {
                        Some(true) => WriteResult::Done(Revision::new(0, world.revision)),
                        Some(false) => WriteResult::Refused,
                        None => WriteResult::Unknown,
                    };
                    term.apply_write(record.clone(), result);
                    world.with(daemon, Daemon::Holding(term))
                };
                world.call(&call, write).into_iter().map(after).collect()
            }
            UsageStep::Send(record) => {
                let call = PendingCall::Report(record.clone(), term.fencing_token);
                let after = |(world, answer): (Self, Option<DutyAnswer>)| {
                    let mut term = term.clone();
                    let answer = answer.unwrap_or(DutyAnswer::Unanswered);
                    term.apply_answer(answer);
                    let state = if answer == DutyAnswer::Refused { Daemon::Idle } else { Daemon::Holding(term) };
                    world.with(daemon, state)
                };
                world.call(&call, |world| world.report(&record, term.fencing_token)).into_iter().map(after).collect()
            }
        }
    }
}

#[test]
fn search_all_interleavings_of_two_holders() {
    let mut seen = HashSet::from([World::new().fingerprint()]);
    let mut queue = VecDeque::from([World::new()]);
    let mut reported = 0_u64;
    while let Some(world) = queue.pop_front() {
        assert_eq!(world.violation, None, "{world:#?}");
        reported += u64::from(world.accepted.is_some());
        for next in world.successors() {
            if seen.insert(next.fingerprint()) {
                queue.push_back(next);
            }
        }
    }
    println!("{} states, {reported} with a report", seen.len());
    assert!(reported > 1_000, "too few states with a report");
}
