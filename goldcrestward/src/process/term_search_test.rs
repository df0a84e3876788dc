//! Exhaustive search: two daemons ask for the duties and report one window, while answers are lost, calls are
//! carried out late, daemons crash or stand still, and leases end.

use std::{
    collections::{HashSet, VecDeque},
    hash::{Hash, Hasher},
    time::Duration,
};

use super::{Tenure, UsageRecord, UsageStep, UsageTerms, Written};
use crate::port::DutyAnswer;

const TTL: Duration = Duration::from_secs(3);
/// Time from one moment of the search to the next, in ms, and moments searched.
const STEP: u64 = 1_000;
const MOMENTS: u64 = 5;
/// Lost answers and late calls, crashes, counts of the window.
const LOST: u8 = 2;
const CRASHES: u8 = 1;
const COUNTS: u64 = 3;
/// Leases granted.
const LEASES: usize = 3;
const WINDOW: u64 = 1;
const TERMS: UsageTerms = UsageTerms { length: 1_000, due: 100_000, settle: 0 };
/// Time of day at which the window has ended and is not overdue.
const UNIX_MS: u64 = 2_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Daemon {
    Idle,
    /// It has been granted a lease, at a time.
    Granted(u64, u64),
    /// It does not know whether its key stands.
    Unsure(u64, u64),
    Holding(Tenure),
}

/// A call that may be carried out later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Late {
    /// A daemon's key under a lease.
    Take(usize, u64),
    /// A record under a fence, in place of a revision.
    Write(UsageRecord, u64, u64),
    /// A report with a fence.
    Report(UsageRecord, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    revision: u64,
    /// Ends of leases; a lease is its place in the list.
    leases: Vec<u64>,
    /// The daemon that holds the duties, its lease and the key's revision.
    key: Option<(usize, u64, u64)>,
    record: Option<(UsageRecord, u64)>,
    late: Vec<Late>,
    daemons: [Daemon; 2],
    /// Highest fence that the platform has seen, and the report that it has accepted.
    fence: u64,
    accepted: Option<UsageRecord>,
    lost: u8,
    crashes: u8,
    counts: u64,
    fault: Option<&'static str>,
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    /// Carried out, the answer is lost.
    Lost,
    /// No answer, and it is carried out later or never.
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
            fence: 0,
            accepted: None,
            lost: 0,
            crashes: 0,
            counts: 0,
            fault: None,
        }
    }

    /// Stands for the world where it only matters whether it has been seen.
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

    /// The store puts a daemon's key, if there is none.
    fn take(&mut self, daemon: usize, lease: u64) -> bool {
        if self.key.is_some() || !self.is_live(lease) {
            return false;
        }
        self.revision += 1;
        self.key = Some((daemon, lease, self.revision));
        true
    }

    /// The store puts a record in place of another, if the key still has the fence's revision.
    fn write(&mut self, record: &UsageRecord, fence: u64, replaced: u64) -> bool {
        let stands = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if self.key.is_none_or(|(_, _, revision)| revision != fence) || stands != replaced {
            return false;
        }
        self.revision += 1;
        self.record = Some((record.clone(), self.revision));
        true
    }

    /// The platform takes a report.
    fn report(&mut self, record: &UsageRecord, fence: u64) -> DutyAnswer {
        if fence < self.fence {
            return DutyAnswer::Refused;
        }
        self.fence = fence;
        if self.accepted.as_ref().is_some_and(|accepted| accepted != record) {
            self.fault = Some("a window was reported in two ways");
        }
        self.accepted = Some(record.clone());
        DutyAnswer::Done
    }

    fn carry_out(&mut self, late: &Late) {
        match late {
            Late::Take(daemon, lease) => {
                self.take(*daemon, *lease);
            }
            Late::Write(record, fence, replaced) => {
                self.write(record, *fence, *replaced);
            }
            Late::Report(record, fence) => {
                self.report(record, *fence);
            }
        }
    }

    /// The worlds in which a call meets each fate, with what the caller learns of it.
    fn call<T>(&self, late: &Late, mut answered: impl FnMut(&mut Self) -> T) -> Vec<(Self, Option<T>)> {
        let mut worlds = Vec::new();
        for fate in [Fate::Answered, Fate::Lost, Fate::Late] {
            let mut world = self.clone();
            if fate != Fate::Answered {
                if world.lost == LOST {
                    continue;
                }
                world.lost += 1;
            }
            let answer = (fate != Fate::Late).then(|| answered(&mut world));
            if fate == Fate::Late {
                world.late.push(late.clone());
            }
            worlds.push((world, answer.filter(|_| fate == Fate::Answered)));
        }
        worlds
    }

    fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        if self.now < MOMENTS * STEP {
            let mut world = self.clone();
            world.now += STEP;
            world.expire();
            worlds.push(world);
        }
        for place in 0..self.late.len() {
            let mut world = self.clone();
            let late = world.late.remove(place);
            world.carry_out(&late);
            worlds.push(world);
        }
        for daemon in 0..2 {
            worlds.extend(self.steps(daemon));
            if self.crashes < CRASHES && self.daemons[daemon] != Daemon::Idle {
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

    fn held(&self, daemon: usize, lease: u64, asked: u64) -> Self {
        let fence = self.key.map_or(0, |(_, _, revision)| revision);
        let shared = self.daemons.iter().any(|d| matches!(d, Daemon::Holding(other) if other.fence == fence));
        let mut world = self.clone().with(daemon, Daemon::Holding(Tenure::new(lease, fence, asked, TTL)));
        if shared {
            world.fault = Some("two holders have one fence");
        }
        world
    }

    fn steps(&self, daemon: usize) -> Vec<Self> {
        match &self.daemons[daemon] {
            Daemon::Idle if self.key.is_some() || self.leases.len() >= LEASES => Vec::new(),
            Daemon::Idle => {
                let mut world = self.clone();
                world.leases.push(self.now + TTL.as_millis() as u64);
                let lease = world.leases.len() as u64 - 1;
                vec![world.with(daemon, Daemon::Granted(lease, self.now))]
            }
            Daemon::Granted(lease, asked) => {
                let (lease, asked) = (*lease, *asked);
                let after = |(world, answer): (Self, Option<bool>)| match answer {
                    Some(true) => world.held(daemon, lease, asked),
                    Some(false) => world.with(daemon, Daemon::Idle),
                    None => world.with(daemon, Daemon::Unsure(lease, asked)),
                };
                let worlds = self.call(&Late::Take(daemon, lease), |world| world.take(daemon, lease));
                worlds.into_iter().map(after).collect()
            }
            Daemon::Unsure(lease, asked) => {
                let mine = self.key.is_some_and(|(holder, of, _)| (holder, of) == (daemon, *lease));
                let idle = self.clone().with(daemon, Daemon::Idle);
                vec![if mine { self.held(daemon, *lease, *asked) } else { idle }]
            }
            Daemon::Holding(tenure) if !tenure.holds(self.now) => vec![self.clone().with(daemon, Daemon::Idle)],
            Daemon::Holding(tenure) => {
                let mut worlds = self.renewals(daemon, tenure);
                worlds.extend(self.usage(daemon, tenure));
                worlds
            }
        }
    }

    fn renewals(&self, daemon: usize, tenure: &Tenure) -> Vec<Self> {
        if !tenure.is_renewal_due(self.now) {
            return Vec::new();
        }
        if !self.is_live(tenure.lease) {
            return vec![self.clone().with(daemon, Daemon::Idle)];
        }
        let mut world = self.clone();
        world.leases[tenure.lease as usize] = self.now + TTL.as_millis() as u64;
        let mut renewed = tenure.clone();
        renewed.renewed(self.now, TTL);
        vec![world.with(daemon, Daemon::Holding(renewed))]
    }

    fn usage(&self, daemon: usize, tenure: &Tenure) -> Vec<Self> {
        let mut fresh = self.counts;
        let count = |written: Option<u64>, ended: u64, _| {
            let next = written.map_or(WINDOW, |window| window + 1);
            if next >= ended || self.counts == COUNTS {
                return None;
            }
            // Counts differ whenever they are made.
            fresh += 1;
            Some(UsageRecord { window: next, counts: [("a".into(), fresh)].into() })
        };
        let step = tenure.usage_step(UNIX_MS, TERMS, count);
        let mut world = self.clone();
        world.counts = fresh;
        let mut tenure = tenure.clone();
        match step {
            UsageStep::Rest => Vec::new(),
            UsageStep::Read => {
                let (record, revision) = self.record.clone().map_or((None, 0), |(record, at)| (Some(record), at));
                tenure.read(record, revision);
                vec![world.with(daemon, Daemon::Holding(tenure))]
            }
            UsageStep::Write(record, replaced) => {
                let late = Late::Write(record.clone(), tenure.fence, replaced);
                let write = |world: &mut Self| world.write(&record, tenure.fence, replaced);
                let after = |(world, answer): (Self, Option<bool>)| {
                    let mut tenure = tenure.clone();
                    let written = match answer {
                        Some(true) => Written::Done(world.revision),
                        Some(false) => Written::Refused,
                        None => Written::Unknown,
                    };
                    tenure.wrote(record.clone(), written);
                    world.with(daemon, Daemon::Holding(tenure))
                };
                world.call(&late, write).into_iter().map(after).collect()
            }
            UsageStep::Send(record) => {
                let late = Late::Report(record.clone(), tenure.fence);
                let after = |(world, answer): (Self, Option<DutyAnswer>)| {
                    let mut tenure = tenure.clone();
                    let answer = answer.unwrap_or(DutyAnswer::Unanswered);
                    tenure.sent(answer);
                    let state = if answer == DutyAnswer::Refused { Daemon::Idle } else { Daemon::Holding(tenure) };
                    world.with(daemon, state)
                };
                world.call(&late, |world| world.report(&record, tenure.fence)).into_iter().map(after).collect()
            }
        }
    }
}

#[test]
fn search_every_order_of_two_holders() {
    let mut seen = HashSet::from([World::new().fingerprint()]);
    let mut open = VecDeque::from([World::new()]);
    let mut reported = 0_u64;
    while let Some(world) = open.pop_front() {
        assert_eq!(world.fault, None, "{world:#?}");
        reported += u64::from(world.accepted.is_some());
        for next in world.next() {
            if seen.insert(next.fingerprint()) {
                open.push_back(next);
            }
        }
    }
    println!("{} states, {reported} with a report", seen.len());
    assert!(reported > 1_000, "the search reports nothing");
}
