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
        }
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
                Effect::Sync(to) => self.sync(number, usize::from(to.port() - 1_000)),
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
        let (mine, theirs) = (self.views[number].export(), self.views[to].export());
        let mut effects = Vec::new();
        self.views[to].merge(mine.members, mine.facts, self.now, self.now, &mut effects);
        let learned = self.views[number].merge_reply(theirs, self.now, self.now);
        for (daemon, effects) in [(to, effects), (number, learned)] {
            self.learned[daemon] += effects.iter().filter(|effect| matches!(effect, Effect::FactLearned(_))).count();
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, body: Body) {
        let number = usize::from(to.port() - 1_000);
        if self.random.random_bool(self.loss) || !self.can_reach(from, number) {
            return;
        }
        let (members, facts) = self.views[from].piggyback(to);
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
    known_red::report!();
    for (count, side) in [(7, 1), (87, 29), (195, 65)] {
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
        // A daemon that is dead to the others is probed every 5 s.
        network.run(9_000);
        let missing = network.learned[..side].iter().filter(|learned| **learned < 5).count();
        assert_eq!(missing, 0, "of {side} of {count} daemons");
    }
}
