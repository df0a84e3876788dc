//! The membership protocol as a state machine without I/O: datagrams and time in, effects out.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom, seq::SliceRandom};

use super::{
    fact::{Fact, FactKind, Facts},
    member::{Member, State},
    protocol::{Effect, Timing},
};
use crate::{
    pb::{self, datagram::Body},
    util::stable_hash,
};

/// Daemons asked to probe on behalf of this one when a probe is not answered.
const RELAY_COUNT: usize = 3;
/// Space for members and facts in one datagram.
const PIGGYBACK_BYTES: usize = 1000;
/// Encoded size of a member or fact without its strings, as an estimate.
const RECORD_BYTES: usize = 24;
/// Rounds of the exchange in which a change is sent.
const ROUND_TRANSMITS: u32 = 4;
/// Daemons notified at once of a newer configuration.
const ANNOUNCE_FANOUT: usize = 4;
/// Minimum interval between two full exchanges, at a small site.
const SYNC_INTERVAL_MS: u64 = 10_000;
/// Minimum interval between two full exchanges, per known daemon. The size of an exchange grows with the
/// site; this keeps its bytes per second constant.
const SYNC_INTERVAL_PER_DAEMON_MS: u64 = 150;
/// Daemons that exchange full views with one that can be reached again.
const RETURN_SYNCS: usize = 3;
/// Time under suspicion after which a daemon may have missed what gossip repeats no longer.
const SILENT_MS: u64 = 3_000;
/// Time after its return for which a daemon may not know what it missed.
const RETURN_MS: u64 = 10_000;
/// Time without a local change before a different hash of a peer's view triggers a full exchange.
const SYNC_SETTLE_MS: u64 = 4_000;
/// Time for which relayed probes are remembered.
const RELAY_RETENTION_MS: u64 = 5_000;
/// Upper bound of the local health score. Time-outs are multiplied by 1 + score, so that a daemon that is
/// slow itself suspects others later.
const MAX_HEALTH_SCORE: u64 = 3;

struct Peer {
    member: Member,
    changed_at: u64,
    /// When it was last found alive after it had counted as gone.
    returned_at: Option<u64>,
    transmits: u32,
}

impl Peer {
    /// Whether it may not know yet what it missed while it could not be reached.
    fn is_returning(&self, now: u64) -> bool {
        !self.member.state.is_present() || self.returned_at.is_some_and(|at| now.saturating_sub(at) < RETURN_MS)
    }
}

struct Probe {
    number: u64,
    name: Arc<str>,
    sent_at: u64,
    relayed: bool,
}

struct RelayedProbe {
    number: u64,
    requester: SocketAddr,
    received_at: u64,
}

/// The site as one daemon knows it.
pub(crate) struct View {
    local: Member,
    timing: Timing,
    peers: BTreeMap<Arc<str>, Peer>,
    facts: Facts,
    fact_transmits: BTreeMap<(FactKind, Arc<str>), u32>,
    probe_order: Vec<Arc<str>>,
    probe: Option<Probe>,
    relayed_probes: HashMap<u64, RelayedProbe>,
    next_probe_number: u64,
    next_probe_at: u64,
    next_dead_probe_at: u64,
    last_tick: u64,
    last_sync: u64,
    last_change: u64,
    health_score: u64,
    local_transmits: u32,
    hash: u64,
    random: SmallRng,
}

impl View {
    /// Creates a view that contains only the local daemon. Times called `now` are in ms since its start.
    pub fn new(local: Member, timing: Timing, seed: u64, now: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next_probe_at = now + random.random_range(0..timing.probe_interval.max(1));
        let mut view = Self {
            local,
            timing,
            peers: BTreeMap::new(),
            facts: Facts::default(),
            fact_transmits: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: HashMap::new(),
            next_probe_number: 1,
            next_probe_at,
            next_dead_probe_at: now,
            last_tick: now,
            last_sync: 0,
            last_change: now,
            health_score: 0,
            local_transmits: 0,
            hash: 0,
            random,
        };
        view.rehash();
        view
    }

    /// The member for this daemon.
    pub fn local(&self) -> &Member {
        &self.local
    }

    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// All other known daemons, including those that are dead or have left.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    /// Whether a member is being stopped. A process that was started later under its name is not.
    pub fn is_stopping(&self, member: &Member) -> bool {
        let fact = self.facts.get(FactKind::Stopping, &member.name);
        fact.is_some_and(|fact| fact.value >= member.incarnation)
    }

    /// The daemons that count as part of the site, including this one.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let others = self.others().filter(|m| m.state.is_present());
        std::iter::once(&self.local).filter(|m| m.state.is_present()).chain(others)
    }

    /// Hash of members and facts, which tells whether two views differ.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The owner of `key` by rendezvous hashing over the present daemons; equal views agree on it.
    pub fn owner(&self, key: &str) -> &Member {
        let score = |m: &&Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        self.present().max_by_key(score).unwrap_or(&self.local)
    }

    /// This daemon's rank, from 0, among the present daemons by their hash for `key`.
    pub fn rank(&self, key: &str) -> usize {
        let score = |m: &Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        let mine = score(&self.local);
        self.present().filter(|m| score(m) > mine).count()
    }

    /// This daemon's rank, from 0, by the hash for `key` among the present daemons, of which those that are being stopped are
    /// the last.
    pub fn rank_of_staying(&self, key: &str) -> usize {
        let order = |m: &Member| (!self.is_stopping(m), stable_hash(&[key.as_bytes(), m.name.as_bytes()]));
        let mine = order(&self.local);
        self.present().filter(|m| order(m) > mine).count()
    }

    /// Whether another present daemon is not being stopped.
    pub fn has_staying_peer(&self) -> bool {
        self.present().any(|member| member.name != self.local.name && !self.is_stopping(member))
    }

    /// This daemon's rank, from 0, by the hash for `key` among the present daemons that have not just returned.
    fn rank_of_informed(&self, key: &str, now: u64) -> usize {
        let score = |m: &Member| stable_hash(&[key.as_bytes(), m.name.as_bytes()]);
        let mine = score(&self.local);
        let informed = self.peers.values().filter(|peer| !peer.is_returning(now));
        informed.filter(|peer| score(&peer.member) > mine).count()
    }

    fn is_present(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.member.state.is_present())
    }

    /// The present daemons that rank highest in their region by their hash for `key`, in the order of their names.
    /// `per_region` says how many of each region, by the number of regions.
    pub fn highest_of_regions(&self, key: &str, per_region: impl Fn(usize) -> usize) -> Vec<Arc<str>> {
        let mut regions: BTreeMap<&Arc<str>, Vec<(u64, &Arc<str>)>> = BTreeMap::new();
        for member in self.present() {
            let score = stable_hash(&[key.as_bytes(), member.name.as_bytes()]);
            regions.entry(&member.region).or_default().push((score, &member.name));
        }
        let count = per_region(regions.len());
        let highest = regions.into_values().flat_map(|mut members| {
            members.sort_unstable_by(|a, b| b.cmp(a));
            members.into_iter().take(count)
        });
        let mut names: Vec<_> = highest.map(|(_, name)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Advances the protocol to `now`; `unix_ms` decides which facts have expired.
    pub fn tick(&mut self, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.timing.probe_interval {
            // This daemon was paused, so missing answers are no evidence against others.
            self.compensate_pause(gap, now);
        }
        self.request_relays(now, &mut effects);
        if now >= self.next_probe_at {
            self.expire_probe(now, &mut effects);
            if self.probe.is_none() {
                self.start_probe(now, &mut effects);
            }
            self.next_probe_at = now + self.timing.probe_interval;
        }
        self.expire_suspects(now, &mut effects);
        self.probe_dead(now, &mut effects);
        self.relayed_probes.retain(|_, r| now - r.received_at < RELAY_RETENTION_MS);
        if self.facts.expire(unix_ms) {
            self.rehash();
        }
        effects
    }

    /// Processes a datagram from the daemon at `address`.
    pub fn receive(&mut self, datagram: pb::Datagram, address: SocketAddr, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let view = datagram.view;
        self.merge(datagram.members, datagram.facts, now, unix_ms, &mut effects);
        match datagram.body {
            Some(Body::Ping(ping)) => {
                let ack = Body::Ack(pb::Ack { probe: ping.probe });
                effects.push(Effect::Send(address, ack));
            }
            Some(Body::Ack(ack)) => self.handle_ack(ack.probe, &mut effects),
            Some(Body::Relay(relay)) => self.handle_relay(relay, address, now, &mut effects),
            Some(Body::Announce(_) | Body::Report(_) | Body::ZoneSum(_) | Body::Summary(_)) | None => {}
        }
        let settled = now.saturating_sub(self.last_change) >= SYNC_SETTLE_MS;
        if view != self.hash && settled && now.saturating_sub(self.last_sync) >= self.sync_interval() {
            self.last_sync = now;
            effects.push(Effect::Sync(address));
        }
        effects
    }

    /// Merges members and facts of another daemon's view.
    pub fn merge(
        &mut self,
        members: Vec<pb::Member>,
        facts: Vec<pb::Fact>,
        now: u64,
        unix_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        for member in members.into_iter().filter_map(|m| Member::try_from(m).ok()) {
            self.apply_update(member, now, effects);
        }
        for fact in facts.into_iter().filter_map(Fact::from_wire) {
            if self.add_fact(fact.clone(), now, unix_ms) {
                effects.push(Effect::FactLearned(fact));
            }
        }
    }

    /// Merges the full view that a daemon has sent, whose own record comes first.
    ///
    /// A daemon that returns counts those as dead that it could not reach. They are only suspected here, until they refute
    /// it.
    pub fn merge_view(&mut self, view: pb::SyncView, now: u64, unix_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut members = view.members.into_iter();
        let sender = members.next();
        let sender_name = sender.as_ref().map(|member| member.name.clone());
        self.merge(sender.into_iter().collect(), Vec::new(), now, unix_ms, &mut effects);
        let sender = sender_name.and_then(|name| self.peers.get(name.as_str()));
        let is_returning = sender.is_some_and(|peer| peer.is_returning(now));
        let doubt = |mut member: pb::Member| {
            if is_returning && member.state() == pb::MemberState::Dead && self.is_present(&member.name) {
                member.set_state(pb::MemberState::Suspect);
            }
            member
        };
        let members = members.map(doubt).collect();
        self.merge(members, view.facts, now, unix_ms, &mut effects);
        effects
    }

    /// Merges the full view that a daemon has sent on request.
    ///
    /// The site already knows its alive members, so they are not gossiped again from here.
    pub fn merge_reply(&mut self, view: pb::SyncView, now: u64, unix_ms: u64) -> Vec<Effect> {
        let limit = self.transmit_limit();
        let received: Vec<Arc<str>> = view.members.iter().map(|m| m.name.as_str().into()).collect();
        let is_gossiping = |name: &&Arc<str>| self.peers.get(*name).is_some_and(|p| p.transmits < limit);
        let gossiping: Vec<Arc<str>> = received.iter().filter(is_gossiping).cloned().collect();
        let effects = self.merge_view(view, now, unix_ms);
        let limit = self.transmit_limit();
        for name in received.iter().filter(|name| !gossiping.contains(name)) {
            if let Some(peer) = self.peers.get_mut(name).filter(|p| p.member.state == State::Alive) {
                peer.transmits = limit;
            }
        }
        effects
    }

    /// Adds a fact and propagates it; false if it was known, has expired or finds no space.
    pub fn add_fact(&mut self, fact: Fact, now: u64, unix_ms: u64) -> bool {
        if !self.facts.merge(&fact, unix_ms) {
            return false;
        }
        self.fact_transmits.insert((fact.kind, fact.key), 0);
        self.record_change(now);
        true
    }

    /// Marks this daemon as left and sends a few datagrams that propagate this.
    pub fn leave(&mut self, now: u64) -> Vec<Effect> {
        self.local.state = State::Left;
        self.local_transmits = 0;
        self.record_change(now);
        self.announce_to(ANNOUNCE_FANOUT * 2)
    }

    /// Notifies some daemons of a newer configuration at once.
    pub fn announce(&mut self) -> Vec<Effect> {
        self.announce_to(ANNOUNCE_FANOUT)
    }

    /// Encodes the full view for an exchange.
    pub fn export(&self) -> pb::SyncView {
        let local = std::iter::once(&self.local);
        pb::SyncView {
            members: local.chain(self.others()).map(Into::into).collect(),
            facts: self.facts.all().map(Into::into).collect(),
        }
    }

    /// Members and facts to piggyback on the next datagram to `to`. Members sent least often come first.
    pub fn piggyback(&mut self, to: SocketAddr) -> (Vec<pb::Member>, Vec<pb::Fact>) {
        let recipient = self.peers.values().find(|p| p.member.address == to && p.member.state != State::Alive);
        // A recipient that is considered suspect or gone can refute this only if it learns of it.
        let recipient = recipient.map(|p| pb::Member::from(&p.member));
        let (mut members, facts) = self.pending_updates(1);
        members.extend(recipient);
        (members, facts)
    }

    /// Members and facts to piggyback on all datagrams of one round of the exchange. As a round reaches all its
    /// recipients, few rounds are enough.
    pub fn round_piggyback(&mut self) -> (Vec<pb::Member>, Vec<pb::Fact>) {
        self.pending_updates(self.transmit_limit().div_ceil(ROUND_TRANSMITS))
    }

    /// Members and facts that have not been sent often enough; sending them now counts `weight` times.
    fn pending_updates(&mut self, weight: u32) -> (Vec<pb::Member>, Vec<pb::Fact>) {
        let limit = self.transmit_limit();
        let mut members = Vec::new();
        let mut space = PIGGYBACK_BYTES;
        if self.local_transmits < limit {
            self.local_transmits += weight;
            members.push((&self.local).into());
            space -= RECORD_BYTES + self.local.name.len();
        }
        let mut pending: Vec<_> = self.peers.values_mut().filter(|p| p.transmits < limit).collect();
        pending.sort_by_key(|p| p.transmits);
        for peer in pending {
            let texts = [&peer.member.name, &peer.member.region, &peer.member.zone];
            let size = RECORD_BYTES * 2 + texts.iter().map(|t| t.len()).sum::<usize>();
            if size > space {
                break;
            }
            space -= size;
            peer.transmits += weight;
            members.push((&peer.member).into());
        }
        let mut facts = Vec::new();
        for (key, transmits) in &mut self.fact_transmits {
            let Some(fact) = self.facts.get(key.0, &key.1).filter(|_| *transmits < limit) else { continue };
            let size = RECORD_BYTES + fact.key.len() + fact.note.len();
            if size > space {
                continue;
            }
            space -= size;
            *transmits += weight;
            facts.push(fact.into());
        }
        self.fact_transmits.retain(|_, transmits| *transmits < limit);
        (members, facts)
    }

    fn sync_interval(&self) -> u64 {
        SYNC_INTERVAL_MS.max(SYNC_INTERVAL_PER_DAEMON_MS * self.peers.len() as u64)
    }

    fn transmit_limit(&self) -> u32 {
        let count = self.peers.len() + 2;
        3 * (usize::BITS - count.leading_zeros())
    }

    fn announce_to(&mut self, count: usize) -> Vec<Effect> {
        let alive = self.peers.values().filter(|p| p.member.state == State::Alive);
        let chosen = alive.choose_multiple(&mut self.random, count);
        let send = |p: &Peer| Effect::Send(p.member.address, Body::Announce(pb::Announce {}));
        chosen.into_iter().map(send).collect()
    }

    fn record_change(&mut self, now: u64) {
        self.last_change = now;
        self.rehash();
    }

    fn rehash(&mut self) {
        let members = self.peers.values().fold(self.local.hash(), |sum, p| sum ^ p.member.hash());
        self.hash = members ^ self.facts.hash();
    }

    fn compensate_pause(&mut self, gap: u64, now: u64) {
        self.probe = None;
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.next_probe_at = now + self.timing.ack_timeout;
        for peer in self.peers.values_mut().filter(|p| p.member.state == State::Suspect) {
            peer.changed_at += gap;
        }
    }

    fn apply_update(&mut self, update: Member, now: u64, effects: &mut Vec<Effect>) {
        if update.name == self.local.name {
            self.refute(&update, now);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&update.name) {
            if !update.overrides(&peer.member) {
                return;
            }
            let before = peer.member.state;
            let returns = update.state == State::Alive && !before.is_present();
            let was_silent = before == State::Suspect && now.saturating_sub(peer.changed_at) >= SILENT_MS;
            let refutes_late = update.state == State::Alive && was_silent;
            let returned_at = if returns { Some(now) } else { peer.returned_at };
            *peer = Peer { member: update.clone(), changed_at: now, returned_at, transmits: 0 };
            if before != update.state {
                effects.push(Effect::MemberChanged(update.name.clone(), update.state));
            }
            if (returns || refutes_late) && self.rank_of_informed(&update.name, now) < RETURN_SYNCS {
                // Gossip has stopped repeating what the daemon missed while it could not be reached.
                effects.push(Effect::Sync(update.address));
            }
        } else {
            if !update.state.is_present() {
                return;
            }
            effects.push(Effect::MemberChanged(update.name.clone(), update.state));
            let peer = Peer { member: update.clone(), changed_at: now, returned_at: None, transmits: 0 };
            self.peers.insert(update.name.clone(), peer);
        }
        self.replace_address(&update, now, effects);
        self.record_change(now);
    }

    /// Declares older daemons at the same address dead: the address now belongs to the newer one.
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
            peer.changed_at = now;
            peer.transmits = 0;
            effects.push(Effect::MemberChanged(peer.member.name.clone(), State::Dead));
        }
    }

    fn refute(&mut self, update: &Member, now: u64) {
        let claims_failure = update.state != State::Alive && update.incarnation >= self.local.incarnation;
        let newer = update.incarnation > self.local.incarnation;
        if self.local.state == State::Left || !(claims_failure || newer) {
            return;
        }
        self.local.incarnation = update.incarnation + 1;
        self.local_transmits = 0;
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.record_change(now);
    }

    fn start_probe(&mut self, now: u64, effects: &mut Vec<Effect>) {
        while let Some(name) = self.next_target() {
            let Some(peer) = self.peers.get(&name).filter(|p| p.member.state.is_present()) else { continue };
            let number = self.next_probe_number;
            self.next_probe_number += 1;
            effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
            self.probe = Some(Probe { number, name, sent_at: now, relayed: false });
            return;
        }
    }

    fn next_target(&mut self) -> Option<Arc<str>> {
        if self.probe_order.is_empty() {
            let present = self.peers.values().filter(|p| p.member.state.is_present());
            self.probe_order = present.map(|p| p.member.name.clone()).collect();
            self.probe_order.shuffle(&mut self.random);
        }
        self.probe_order.pop()
    }

    fn request_relays(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let timeout = self.timing.ack_timeout * (1 + self.health_score);
        let Some(probe) = self.probe.as_mut().filter(|p| !p.relayed && now - p.sent_at >= timeout) else { return };
        probe.relayed = true;
        let relay = pb::Relay { probe: probe.number, target: probe.name.to_string() };
        let name = probe.name.clone();
        let zone = self.peers.get(&name).map(|p| p.member.zone.clone());
        let candidates = self.peers.values().filter(|p| p.member.state == State::Alive && p.member.name != name);
        let mut chosen = candidates.choose_multiple(&mut self.random, RELAY_COUNT * 2);
        // Daemons in the target's zone reach it even when a link into the zone is down.
        chosen.sort_by_key(|p| Some(&p.member.zone) != zone.as_ref());
        for peer in chosen.into_iter().take(RELAY_COUNT) {
            effects.push(Effect::Send(peer.member.address, Body::Relay(relay.clone())));
        }
    }

    fn expire_probe(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let timeout = self.timing.probe_interval * (1 + self.health_score) * 9 / 10;
        let Some(probe) = self.probe.take_if(|p| now - p.sent_at >= timeout) else { return };
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        let Some(peer) = self.peers.get(&probe.name) else { return };
        if peer.member.state != State::Alive {
            return;
        }
        let suspect = Member { state: State::Suspect, ..peer.member.clone() };
        self.apply_update(suspect, now, effects);
    }

    fn handle_ack(&mut self, number: u64, effects: &mut Vec<Effect>) {
        if let Some(relayed) = self.relayed_probes.remove(&number) {
            let ack = Body::Ack(pb::Ack { probe: relayed.number });
            effects.push(Effect::Send(relayed.requester, ack));
        }
        if self.probe.take_if(|p| p.number == number).is_some() {
            self.health_score = self.health_score.saturating_sub(1);
        }
    }

    fn handle_relay(&mut self, relay: pb::Relay, requester: SocketAddr, now: u64, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get(relay.target.as_str()) else { return };
        let number = self.next_probe_number;
        self.next_probe_number += 1;
        self.relayed_probes.insert(number, RelayedProbe { number: relay.probe, requester, received_at: now });
        effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
    }

    fn expire_suspects(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let digits = u64::from((self.peers.len() + 10).ilog10());
        let timeout = self.timing.suspicion_intervals * self.timing.probe_interval * digits;
        let expired: Vec<_> = self
            .peers
            .values()
            .filter(|p| p.member.state == State::Suspect && now.saturating_sub(p.changed_at) >= timeout)
            .map(|p| Member { state: State::Dead, ..p.member.clone() })
            .collect();
        for dead in expired {
            self.apply_update(dead, now, effects);
        }
        let retention = self.timing.retention;
        let before = self.peers.len();
        self.peers.retain(|_, p| p.member.state.is_present() || now.saturating_sub(p.changed_at) < retention);
        if self.peers.len() != before {
            self.rehash();
        }
    }

    /// Probes a random dead daemon from time to time, so that a partitioned site merges again.
    fn probe_dead(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if now < self.next_dead_probe_at {
            return;
        }
        self.next_dead_probe_at = now + self.timing.dead_probe_interval;
        let dead = self.peers.values().filter(|p| p.member.state == State::Dead);
        let Some(peer) = dead.choose(&mut self.random) else { return };
        let number = self.next_probe_number;
        self.next_probe_number += 1;
        effects.push(Effect::Send(peer.member.address, Body::Ping(pb::Ping { probe: number })));
    }
}
