//! The membership protocol as a plain state machine: datagrams and time in, datagrams out.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom, seq::SliceRandom};

use super::{
    fact::{Fact, Facts},
    member::{Member, State},
    protocol::{Effect, Timing},
};
use crate::{
    pb::{self, datagram::Body},
    util::stable_hash,
};

/// Daemons asked to probe where no answer came.
const RELAYS: usize = 3;
/// Bytes of members and facts on one datagram.
const PIGGYBACK_BYTES: usize = 1000;
/// Bytes that one member or fact takes besides its texts.
const RECORD_BYTES: usize = 24;
/// Daemons told at once of a newer configuration.
const ANNOUNCE_FANOUT: usize = 4;
/// Least time between two full exchanges, in ms.
const SYNC_INTERVAL_MS: u64 = 10_000;
/// Least time between two full exchanges for each daemon known, in ms. An exchange grows with the
/// site, so its bytes a second do not.
const SYNC_INTERVAL_EACH_MS: u64 = 150;
/// Time without a change after which a differing view leads to a full exchange, in ms.
const SYNC_SETTLE_MS: u64 = 4_000;
/// Relayed probes remembered, in ms.
const RELAY_MEMORY_MS: u64 = 5_000;
/// Highest factor on time-outs of a daemon that finds itself slow.
const HEALTH_MAX: u64 = 3;

struct Peer {
    member: Member,
    since: u64,
    sends: u32,
}

struct Probe {
    number: u64,
    name: Arc<str>,
    sent: u64,
    relayed: bool,
}

struct RelayedProbe {
    number: u64,
    asker: SocketAddr,
    at: u64,
}

/// What one daemon knows of the site.
pub(crate) struct View {
    local: Member,
    timing: Timing,
    peers: BTreeMap<Arc<str>, Peer>,
    facts: Facts,
    fact_sends: HashMap<(super::FactKind, Arc<str>), u32>,
    order: Vec<Arc<str>>,
    probe: Option<Probe>,
    relayed: HashMap<u64, RelayedProbe>,
    next_number: u64,
    next_probe: u64,
    next_dead_probe: u64,
    last_tick: u64,
    last_sync: u64,
    last_change: u64,
    health: u64,
    my_sends: u32,
    hash: u64,
    random: SmallRng,
}

impl View {
    /// A view of a site of which only this daemon is known.
    pub fn new(local: Member, timing: Timing, seed: u64, now: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next_probe = now + random.random_range(0..timing.period.max(1));
        let mut view = Self {
            local,
            timing,
            peers: BTreeMap::new(),
            facts: Facts::default(),
            fact_sends: HashMap::new(),
            order: Vec::new(),
            probe: None,
            relayed: HashMap::new(),
            next_number: 1,
            next_probe,
            next_dead_probe: now,
            last_tick: now,
            last_sync: 0,
            last_change: now,
            health: 0,
            my_sends: 0,
            hash: 0,
            random,
        };
        view.rehash();
        view
    }

    /// This daemon.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The facts known.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// All other daemons known, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    /// The daemons that take part, this one included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let others = self.others().filter(|m| m.state.is_present());
        std::iter::once(&self.local).filter(|m| m.state.is_present()).chain(others)
    }

    /// Hash over members and facts, to find out whether two views differ.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The present daemon with the highest hash for `key`, the same in equal views.
    pub fn owner(&self, key: &str) -> &Member {
        let score = |m: &&Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        self.present().max_by_key(score).unwrap_or(&self.local)
    }

    /// This daemon's place among the present ones by hash for `key`, from 0.
    pub fn rank(&self, key: &str) -> usize {
        let score = |m: &Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        let mine = score(&self.local);
        self.present().filter(|m| score(m) > mine).count()
    }

    /// This daemon's place by hash for `key` among the present ones of its availability zone, from 0.
    pub fn zone_rank(&self, key: &str) -> usize {
        let score = |m: &Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        let mine = score(&self.local);
        self.present().filter(|m| m.zone == self.local.zone && score(m) > mine).count()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.timing.period {
            // This daemon was not running itself, so silence of others proves nothing.
            self.skip_gap(gap, now);
        }
        self.relay_probe(now, &mut effects);
        if now >= self.next_probe {
            self.end_probe(now, &mut effects);
            if self.probe.is_none() {
                self.begin_probe(now, &mut effects);
            }
            self.next_probe = now + self.timing.period;
        }
        self.expire_suspects(now, &mut effects);
        self.probe_dead(now, &mut effects);
        self.relayed.retain(|_, r| now - r.at < RELAY_MEMORY_MS);
        if self.facts.expire(unix_ms) {
            self.rehash();
        }
        effects
    }

    /// Takes in a datagram from the daemon `from` at `address`.
    pub fn receive(&mut self, datagram: pb::Datagram, address: SocketAddr, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let view = datagram.view;
        self.merge(datagram.members, datagram.facts, now, unix_ms, &mut effects);
        match datagram.body {
            Some(Body::Ping(ping)) => {
                let ack = Body::Ack(pb::Ack { probe: ping.probe });
                effects.push(Effect::Send(address, ack));
            }
            Some(Body::Ack(ack)) => self.acknowledge(ack.probe, &mut effects),
            Some(Body::Relay(relay)) => self.relay(relay, address, now, &mut effects),
            Some(Body::Announce(_) | Body::Digest(_)) | None => {}
        }
        let settled = now.saturating_sub(self.last_change) >= SYNC_SETTLE_MS;
        if view != self.hash && settled && now.saturating_sub(self.last_sync) >= self.sync_interval() {
            self.last_sync = now;
            effects.push(Effect::Sync(address));
        }
        effects
    }

    /// Takes in the members and facts of another view.
    pub fn merge(
        &mut self,
        members: Vec<pb::Member>,
        facts: Vec<pb::Fact>,
        now: u64,
        unix_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        for member in members.into_iter().filter_map(|m| Member::try_from(m).ok()) {
            self.update(member, now, effects);
        }
        for fact in facts.into_iter().filter_map(Fact::from_wire) {
            if self.add_fact(fact.clone(), now, unix_ms) {
                effects.push(Effect::FactLearned(fact));
            }
        }
    }

    /// Takes in the whole view of a daemon that was asked for it.
    ///
    /// What it knows is no news to the site, so it is not spread again from here.
    pub fn merge_reply(&mut self, view: pb::SyncView, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let limit = self.send_limit();
        let fresh: Vec<Arc<str>> = view.members.iter().map(|m| m.name.as_str().into()).collect();
        let known = |name: &&Arc<str>| self.peers.get(*name).is_some_and(|p| p.sends < limit);
        let spreading: Vec<Arc<str>> = fresh.iter().filter(known).cloned().collect();
        self.merge(view.members, view.facts, now, unix_ms, &mut effects);
        let limit = self.send_limit();
        for name in fresh.iter().filter(|name| !spreading.contains(name)) {
            if let Some(peer) = self.peers.get_mut(name).filter(|p| p.member.state == State::Alive) {
                peer.sends = limit;
            }
        }
        effects
    }

    /// States a fact of this daemon's own or another's; false if it is known.
    pub fn add_fact(&mut self, fact: Fact, now: u64, unix_ms: u64) -> bool {
        if !self.facts.merge(&fact, unix_ms) {
            return false;
        }
        self.fact_sends.insert((fact.kind, fact.key), 0);
        self.changed(now);
        true
    }

    /// Announces that this daemon leaves, to as many others as a few datagrams reach.
    pub fn leave(&mut self, now: u64) -> Vec<Effect> {
        self.local.state = State::Left;
        self.my_sends = 0;
        self.changed(now);
        self.announce_to(ANNOUNCE_FANOUT * 2)
    }

    /// Tells some others of a newer configuration at once.
    pub fn announce(&mut self) -> Vec<Effect> {
        self.announce_to(ANNOUNCE_FANOUT)
    }

    /// The whole view, for a full exchange.
    pub fn export(&self) -> pb::SyncView {
        let local = std::iter::once(&self.local);
        pb::SyncView {
            members: local.chain(self.others()).map(Into::into).collect(),
            facts: self.facts.all().map(Into::into).collect(),
        }
    }

    /// The members and facts to put on the next datagram to `to`.
    pub fn piggyback(&mut self, to: SocketAddr) -> (Vec<pb::Member>, Vec<pb::Fact>) {
        let limit = self.send_limit();
        let mut members = Vec::new();
        let mut space = PIGGYBACK_BYTES;
        if self.my_sends < limit {
            self.my_sends += 1;
            members.push((&self.local).into());
            space -= RECORD_BYTES + self.local.name.len();
        }
        // A daemon that is thought to be gone must learn it to refute it.
        let doubted = self.peers.values().find(|p| p.member.address == to && p.member.state != State::Alive);
        members.extend(doubted.map(|p| pb::Member::from(&p.member)));
        let mut fresh: Vec<_> = self.peers.values_mut().filter(|p| p.sends < limit).collect();
        fresh.sort_by_key(|p| p.sends);
        for peer in fresh {
            let texts = [&peer.member.name, &peer.member.region, &peer.member.zone];
            let size = RECORD_BYTES * 2 + texts.iter().map(|t| t.len()).sum::<usize>();
            if size > space {
                break;
            }
            space -= size;
            peer.sends += 1;
            members.push((&peer.member).into());
        }
        let mut facts = Vec::new();
        for (key, sends) in &mut self.fact_sends {
            let Some(fact) = self.facts.get(key.0, &key.1).filter(|_| *sends < limit) else { continue };
            let size = RECORD_BYTES + fact.key.len() + fact.note.len();
            if size > space {
                continue;
            }
            space -= size;
            *sends += 1;
            facts.push(fact.into());
        }
        self.fact_sends.retain(|_, sends| *sends < limit);
        (members, facts)
    }

    fn sync_interval(&self) -> u64 {
        SYNC_INTERVAL_MS.max(SYNC_INTERVAL_EACH_MS * self.peers.len() as u64)
    }

    fn send_limit(&self) -> u32 {
        let count = self.peers.len() + 2;
        3 * (usize::BITS - count.leading_zeros())
    }

    fn announce_to(&mut self, count: usize) -> Vec<Effect> {
        let alive = self.peers.values().filter(|p| p.member.state == State::Alive);
        let chosen = alive.choose_multiple(&mut self.random, count);
        let send = |p: &Peer| Effect::Send(p.member.address, Body::Announce(pb::Announce {}));
        chosen.into_iter().map(send).collect()
    }

    fn changed(&mut self, now: u64) {
        self.last_change = now;
        self.rehash();
    }

    fn rehash(&mut self) {
        let members = self.peers.values().fold(self.local.hash(), |sum, p| sum ^ p.member.hash());
        self.hash = members ^ self.facts.hash();
    }

    fn skip_gap(&mut self, gap: u64, now: u64) {
        self.probe = None;
        self.health = (self.health + 1).min(HEALTH_MAX);
        self.next_probe = now + self.timing.ack;
        for peer in self.peers.values_mut().filter(|p| p.member.state == State::Suspect) {
            peer.since += gap;
        }
    }

    fn update(&mut self, said: Member, now: u64, effects: &mut Vec<Effect>) {
        if said.name == self.local.name {
            self.refute(&said, now);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&said.name) {
            if !said.overrides(&peer.member) {
                return;
            }
            let before = peer.member.state;
            *peer = Peer { member: said.clone(), since: now, sends: 0 };
            if before != said.state {
                effects.push(Effect::MemberChanged(said.name.clone(), said.state));
            }
        } else {
            if !said.state.is_present() {
                return;
            }
            effects.push(Effect::MemberChanged(said.name.clone(), said.state));
            self.peers.insert(said.name.clone(), Peer { member: said.clone(), since: now, sends: 0 });
        }
        self.replace_address(&said, now, effects);
        self.changed(now);
    }

    /// An address that a newer daemon uses no longer belongs to an older one.
    fn replace_address(&mut self, newer: &Member, now: u64, effects: &mut Vec<Effect>) {
        if !newer.state.is_present() {
            return;
        }
        let older = self.peers.values_mut().filter(|p| {
            p.member.address == newer.address
                && p.member.name != newer.name
                && p.member.incarnation < newer.incarnation
                && p.member.state.is_present()
        });
        for peer in older {
            peer.member.state = State::Dead;
            peer.since = now;
            peer.sends = 0;
            effects.push(Effect::MemberChanged(peer.member.name.clone(), State::Dead));
        }
    }

    fn refute(&mut self, said: &Member, now: u64) {
        let doubted = said.state != State::Alive && said.incarnation >= self.local.incarnation;
        let newer = said.incarnation > self.local.incarnation;
        if self.local.state == State::Left || !(doubted || newer) {
            return;
        }
        self.local.incarnation = said.incarnation + 1;
        self.my_sends = 0;
        self.health = (self.health + 1).min(HEALTH_MAX);
        self.changed(now);
    }

    fn begin_probe(&mut self, now: u64, effects: &mut Vec<Effect>) {
        while let Some(name) = self.next_target() {
            let Some(peer) = self.peers.get(&name).filter(|p| p.member.state.is_present()) else { continue };
            let number = self.next_number;
            self.next_number += 1;
            effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
            self.probe = Some(Probe { number, name, sent: now, relayed: false });
            return;
        }
    }

    fn next_target(&mut self) -> Option<Arc<str>> {
        if self.order.is_empty() {
            let present = self.peers.values().filter(|p| p.member.state.is_present());
            self.order = present.map(|p| p.member.name.clone()).collect();
            self.order.shuffle(&mut self.random);
        }
        self.order.pop()
    }

    fn relay_probe(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let patience = self.timing.ack * (1 + self.health);
        let Some(probe) = self.probe.as_mut().filter(|p| !p.relayed && now - p.sent >= patience) else { return };
        probe.relayed = true;
        let relay = pb::Relay { probe: probe.number, target: probe.name.to_string() };
        let name = probe.name.clone();
        let zone = self.peers.get(&name).map(|p| p.member.zone.clone());
        let candidates = self.peers.values().filter(|p| p.member.state == State::Alive && p.member.name != name);
        let mut chosen = candidates.choose_multiple(&mut self.random, RELAYS * 2);
        // Daemons of the target's own zone reach it even when a link to the zone is down.
        chosen.sort_by_key(|p| Some(&p.member.zone) != zone.as_ref());
        for peer in chosen.into_iter().take(RELAYS) {
            effects.push(Effect::Send(peer.member.address, Body::Relay(relay.clone())));
        }
    }

    fn end_probe(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let patience = self.timing.period * (1 + self.health) * 9 / 10;
        let Some(probe) = self.probe.take_if(|p| now - p.sent >= patience) else { return };
        self.health = (self.health + 1).min(HEALTH_MAX);
        let Some(peer) = self.peers.get(&probe.name) else { return };
        if peer.member.state != State::Alive {
            return;
        }
        let suspect = Member { state: State::Suspect, ..peer.member.clone() };
        self.update(suspect, now, effects);
    }

    fn acknowledge(&mut self, number: u64, effects: &mut Vec<Effect>) {
        if let Some(relayed) = self.relayed.remove(&number) {
            let ack = Body::Ack(pb::Ack { probe: relayed.number });
            effects.push(Effect::Send(relayed.asker, ack));
        }
        if self.probe.take_if(|p| p.number == number).is_some() {
            self.health = self.health.saturating_sub(1);
        }
    }

    fn relay(&mut self, relay: pb::Relay, asker: SocketAddr, now: u64, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get(relay.target.as_str()) else { return };
        let number = self.next_number;
        self.next_number += 1;
        self.relayed.insert(number, RelayedProbe { number: relay.probe, asker, at: now });
        effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
    }

    fn expire_suspects(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let digits = u64::from((self.peers.len() + 10).ilog10());
        let patience = self.timing.suspicion * self.timing.period * digits;
        let lapsed: Vec<_> = self
            .peers
            .values()
            .filter(|p| p.member.state == State::Suspect && now.saturating_sub(p.since) >= patience)
            .map(|p| Member { state: State::Dead, ..p.member.clone() })
            .collect();
        for dead in lapsed {
            self.update(dead, now, effects);
        }
        let memory = self.timing.memory;
        let before = self.peers.len();
        self.peers.retain(|_, p| p.member.state.is_present() || now.saturating_sub(p.since) < memory);
        if self.peers.len() != before {
            self.rehash();
        }
    }

    /// Probes a dead daemon now and then, so that the halves of a parted site find each other again.
    fn probe_dead(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = now + self.timing.dead_probe;
        let dead = self.peers.values().filter(|p| p.member.state == State::Dead);
        let Some(peer) = dead.choose(&mut self.random) else { return };
        let number = self.next_number;
        self.next_number += 1;
        effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
    }
}
