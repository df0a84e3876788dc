//! Tests of the membership over a simulated network with delay and loss.

use std::{collections::BinaryHeap, net::SocketAddr};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    fact::{Fact, FactKind},
    member::{Member, State},
    protocol::{Effect, Timing},
    view::View,
};
use crate::pb::{self, datagram::Body};

const TICK_MS: u64 = 100;

struct Packet {
    at: u64,
    to: usize,
    from: usize,
    datagram: pb::Datagram,
}

impl PartialEq for Packet {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Packet {}

impl PartialOrd for Packet {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Packet {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

struct Network {
    views: Vec<View>,
    running: Vec<bool>,
    packets: BinaryHeap<Packet>,
    random: SmallRng,
    loss: f64,
    now: u64,
    suspicions: u64,
    /// Number of facts that each daemon has learned.
    learned: Vec<usize>,
    /// Splits the daemons at this number into two sides that cannot reach each other.
    partition: Option<usize>,
    /// Daemons from this number on are of a build that does not know the kind of fact `ServerLeaving`.
    older_from: usize,
    /// Number of full exchanges.
    syncs: usize,
    /// Full exchanges that daemons have asked for.
    requested_syncs: Vec<(usize, usize)>,
}

/// Added to the number of a kind of fact for daemons that do not know it. The hash of a view covers the low byte.
const UNKNOWN_KIND_OFFSET: i32 = 256;

/// Returns the fact as a daemon receives it, if it is of a build that does not know the kind.
fn as_unknown(mut fact: pb::Fact) -> pb::Fact {
    if fact.kind() == pb::FactKind::ServerLeaving {
        fact.kind += UNKNOWN_KIND_OFFSET;
    }
    fact
}

/// Reverses [`as_unknown`] in what such a daemon sends.
fn as_known(mut fact: pb::Fact) -> pb::Fact {
    if fact.kind == i32::from(pb::FactKind::ServerLeaving) + UNKNOWN_KIND_OFFSET {
        fact.kind -= UNKNOWN_KIND_OFFSET;
    }
    fact
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

fn member(number: usize) -> Member {
    Member {
        name: format!("daemon-{number}").into(),
        address: address(number),
        region: "region".into(),
        zone: format!("zone-{}", number % 3).into(),
        incarnation: 1,
        state: State::Alive,
    }
}

impl Network {
    /// Creates `count` daemons that all know each other.
    fn new(count: usize, loss: f64) -> Self {
        let mut views: Vec<_> = (0..count).map(|n| View::new(member(n), Timing::default(), n as u64 + 1, 0)).collect();
        let all: Vec<pb::Member> = (0..count).map(|n| (&member(n)).into()).collect();
        for view in &mut views {
            view.merge_reply(pb::SyncView { members: all.clone(), facts: Vec::new() }, 0, 0);
        }
        let random = SmallRng::seed_from_u64(1);
        let running = vec![true; count];
        Self {
            views,
            running,
            packets: BinaryHeap::new(),
            random,
            loss,
            now: 0,
            suspicions: 0,
            learned: vec![0; count],
            partition: None,
            older_from: count,
            syncs: 0,
            requested_syncs: Vec::new(),
        }
    }

    /// Facts from daemon `from` as daemon `to` reads them.
    fn translate(&self, facts: Vec<pb::Fact>, from: usize, to: usize) -> Vec<pb::Fact> {
        let sent = facts.into_iter().map(|fact| if from >= self.older_from { as_known(fact) } else { fact });
        sent.map(|fact| if to >= self.older_from { as_unknown(fact) } else { fact }).collect()
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            while self.packets.peek().is_some_and(|p| p.at <= self.now) {
                let Some(packet) = self.packets.pop() else { break };
                if self.running[packet.to] {
                    let from = address(packet.from);
                    let effects = self.views[packet.to].receive(packet.datagram, from, self.now, self.now);
                    self.perform(packet.to, effects);
                }
            }
            for (number, to) in std::mem::take(&mut self.requested_syncs) {
                self.sync(number, to);
            }
            for number in (0..self.views.len()).filter(|n| self.running[*n]).collect::<Vec<_>>() {
                let effects = self.views[number].tick(self.now, self.now);
                self.perform(number, effects);
            }
        }
    }

    fn perform(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => self.send(number, to, body),
                Effect::Sync(to) => self.requested_syncs.push((number, usize::from(to.port() - 1_000))),
                Effect::MemberChanged(_, State::Suspect) => self.suspicions += 1,
                Effect::MemberChanged(..) => {}
                Effect::FactLearned(_) => {
                    self.learned[number] += 1;
                    let effects = self.views[number].announce();
                    self.perform(number, effects);
                }
            }
        }
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        self.partition.is_none_or(|side| (a < side) == (b < side))
    }

    fn sync(&mut self, number: usize, to: usize) {
        if !self.running[to] || !self.can_reach(number, to) {
            return;
        }
        self.syncs += 1;
        let (mut mine, mut theirs) = (self.views[number].export(), self.views[to].export());
        mine.facts = self.translate(mine.facts, number, to);
        theirs.facts = self.translate(theirs.facts, to, number);
        let received = self.views[to].merge_view(mine, self.now, self.now);
        let learned = self.views[number].merge_reply(theirs, self.now, self.now);
        for (daemon, effects) in [(to, received), (number, learned)] {
            self.learned[daemon] += effects.iter().filter(|effect| matches!(effect, Effect::FactLearned(_))).count();
            let others = effects.into_iter().filter(|effect| !matches!(effect, Effect::FactLearned(_)));
            self.perform(daemon, others.collect());
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, body: Body) {
        let number = usize::from(to.port() - 1_000);
        if self.random.random_bool(self.loss) || !self.can_reach(from, number) {
            return;
        }
        let (members, facts) = self.views[from].piggyback(to);
        let facts = self.translate(facts, from, number);
        let view = self.views[from].hash();
        let datagram = pb::Datagram { members, facts, view, body: Some(body), ..pb::Datagram::default() };
        let at = self.now + self.random.random_range(5..80);
        self.packets.push(Packet { at, to: number, from, datagram });
    }

    /// Number of running daemons that see daemon `number` in this state.
    fn count_seeing(&self, number: usize, state: State) -> usize {
        let name = member(number).name;
        let running = self.views.iter().zip(&self.running).filter(|(_, running)| **running);
        running.filter(|(view, _)| view.others().any(|m| m.name == name && m.state == state)).count()
    }
}

#[test]
fn view_with_loss_declares_nobody_dead() {
    let mut network = Network::new(40, 0.05);
    network.run(600_000);
    for number in 0..40 {
        assert_eq!(network.count_seeing(number, State::Dead), 0, "daemon {number} was declared dead");
    }
    println!("{} changes to suspect among 40 daemons in 600 s with 5% loss", network.suspicions);
}

#[test]
fn view_zone_lost_at_once_is_known_everywhere() {
    let mut network = Network::new(42, 0.01);
    network.run(10_000);
    let lost: Vec<usize> = (0..42).filter(|n| n % 3 == 0).collect();
    lost.iter().for_each(|n| network.running[*n] = false);
    network.run(90_000);
    for number in lost {
        assert_eq!(network.count_seeing(number, State::Dead), 28, "daemon {number}");
    }
    for number in (0..42).filter(|n| n % 3 != 0) {
        assert_eq!(network.count_seeing(number, State::Dead), 0, "daemon {number} runs");
    }
}

#[test]
fn view_third_leaving_at_once_is_known_everywhere() {
    let mut network = Network::new(30, 0.01);
    network.run(5_000);
    for number in 0..10 {
        let effects = network.views[number].leave(network.now);
        network.perform(number, effects);
        network.running[number] = false;
    }
    network.run(20_000);
    for number in 0..10 {
        assert_eq!(
            network.count_seeing(number, State::Left) + network.count_seeing(number, State::Dead),
            20,
            "daemon {number}"
        );
    }
}

#[test]
fn view_partitioned_for_an_hour_recovers() {
    let mut network = Network::new(20, 0.01);
    network.run(5_000);
    network.partition = Some(8);
    network.run(3_600_000);
    assert_eq!(network.count_seeing(0, State::Dead), 12);
    assert_eq!(network.count_seeing(19, State::Dead), 8);
    network.partition = None;
    network.run(120_000);
    for number in 0..20 {
        assert_eq!(network.count_seeing(number, State::Alive), 19, "daemon {number}");
    }
}

#[test]
fn view_daemon_resumed_after_pause_suspects_nobody() {
    let mut network = Network::new(12, 0.0);
    network.run(5_000);
    network.running[4] = false;
    network.run(60_000);
    let before = network.suspicions;
    network.running[4] = true;
    network.run(30_000);
    assert_eq!(network.count_seeing(4, State::Alive), 11);
    assert_eq!(network.suspicions, before, "the resumed daemon suspected others");
}

#[test]
fn view_reused_address_replaces_older_daemon() {
    let mut network = Network::new(5, 0.0);
    network.run(2_000);
    let newer = Member { name: "newcomer".into(), incarnation: 9, ..member(3) };
    let mut effects = Vec::new();
    network.views[0].merge(vec![(&newer).into()], Vec::new(), network.now, network.now, &mut effects);
    assert!(network.views[0].others().any(|m| m.name == member(3).name && m.state == State::Dead));
    assert!(network.views[0].others().any(|m| m.name == newer.name && m.state == State::Alive));
}

/// Accuses a part of the crash of replica `run`, as daemon `number` sees it.
fn accuse(network: &mut Network, number: usize, run: u64) {
    let (key, now) = (format!("{:016x}/{run:016x}", 7).into(), network.now);
    let fact = Fact { kind: FactKind::PartCrash, key, value: now, until_ms: now + 900_000, note: "replica".into() };
    network.views[number].add_fact(fact, now, now);
    let effects = network.views[number].announce();
    network.perform(number, effects);
}

/// Guards against daemons that pass on what others know to crash replicas.
#[test]
fn view_accusations_reach_all_daemons_well_within_the_contact_time() {
    for (count, loss) in [(7, 0.2), (87, 0.1), (195, 0.1), (730, 0.05)] {
        let mut network = Network::new(count, loss);
        network.run(2_000);
        for run in 0..5 {
            accuse(&mut network, (run as usize * 31) % count, run);
        }
        network.run(2_000);
        let informed = (0..count).filter(|daemon| {
            let facts = network.views[*daemon].facts();
            facts.with_prefix(FactKind::PartCrash, &format!("{:016x}", 7)).count() == 5
        });
        assert_eq!(informed.count(), count, "after 2 s, of {count} daemons with {loss} of the datagrams lost");
    }
}

/// Guards against a daemon that was cut off while the others learned something, and is not told when it returns.
#[test]
fn view_daemons_that_return_learn_what_they_missed() {
    for (count, side) in [(7, 1), (87, 29), (195, 65), (195, 130)] {
        let mut network = Network::new(count, 0.01);
        network.run(2_000);
        network.partition = Some(side);
        network.run(40_000);
        for run in 0..5 {
            accuse(&mut network, side, run);
        }
        network.run(20_000);
        assert!(network.learned[..side].iter().all(|learned| *learned == 0));
        network.partition = None;
        let syncs = network.syncs;
        // A daemon that is dead to the others is probed every 5 s.
        network.run(9_000);
        let missing = network.learned[..side].iter().filter(|learned| **learned < 5).count();
        let exchanges = network.syncs - syncs;
        println!("{side} of {count} daemons return: {missing} not told, {exchanges} exchanges in 9 s");
        assert_eq!(missing, 0, "of {side} of {count} daemons");
    }
}

/// Guards against daemons of two builds that exchange full views again and again while a fact lives whose kind only the
/// newer one knows.
#[test]
fn view_fact_of_unknown_kind_is_kept_passed_on_and_ended() {
    const LIFE_MS: u64 = 600_000;
    for (count, newer) in [(7, 4), (7, 1), (87, 40)] {
        let mut network = Network::new(count, 0.01);
        network.older_from = newer;
        network.run(10_000);
        let now = network.now;
        let key = format!("{:016x}", 5).into();
        let until_ms = now + LIFE_MS;
        let fact = Fact { kind: FactKind::ServerLeaving, key, value: now, until_ms, note: "replica".into() };
        network.views[0].add_fact(fact, now, now);
        network.run(20_000);
        let (syncs, hash) = (network.syncs, network.views[0].hash());
        let differing = network.views.iter().filter(|view| view.hash() != hash).count();
        network.run(LIFE_MS - 30_000);
        let repeated = network.syncs - syncs;
        println!("{newer} of {count} newer: {differing} views differ after 20 s, {repeated} exchanges in 570 s more");
        assert_eq!((differing, repeated), (0, 0), "{newer} of {count} newer");
        let newcomer = network.translate(network.views[count - 1].export().facts, count - 1, 0);
        assert_eq!(newcomer.len(), 1, "an older daemon passes the fact on to one that joins by it");
        network.run(20_000);
        assert!(network.views.iter().all(|view| view.facts().all().count() == 0), "{newer} of {count} newer");
    }
}

/// Guards against duties that wait for daemons that are being stopped, and against a daemon that leaves them to such ones.
#[test]
fn view_daemons_that_are_being_stopped_rank_last() {
    let count = 5;
    let mut views: Vec<_> = (0..count).map(|number| View::new(member(number), Timing::default(), 1, 0)).collect();
    let members: Vec<_> = (0..count).map(|number| pb::Member::from(&member(number))).collect();
    for view in &mut views {
        view.merge(members.clone(), Vec::new(), 0, 1, &mut Vec::new());
    }
    let by_rank = |views: &[View]| {
        let mut order: Vec<_> = (0..count).collect();
        order.sort_unstable_by_key(|number| views[*number].rank_of_staying("duty"));
        order
    };
    let before = by_rank(&views);
    for (stopped, number) in before.iter().enumerate() {
        for view in &mut views {
            assert_eq!(view.has_staying_peer(), stopped < count - 1 || *view.local().name != *member(*number).name);
            let key = member(*number).name;
            let fact = Fact { kind: FactKind::Stopping, key, value: 9, until_ms: 100, note: "".into() };
            assert!(view.add_fact(fact, 1, 1));
        }
        let mut wanted = before[stopped + 1..].to_vec();
        wanted.extend(&before[..=stopped]);
        assert_eq!(by_rank(&views), wanted);
    }
    assert!(views.iter().all(|view| !view.has_staying_peer()));
}
