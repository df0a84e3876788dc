//! Runs the membership protocol: datagrams, full view exchanges, and the effects of changes.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering, time::Duration};

use log::{info, warn};
use prost::Message;
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use super::{
    brittle::learn_brittle_fact,
    crash_watch::{judge, learn_part_fact},
    exchange::Exchange,
    leaving::learn_leaving_fact,
    limit_facts::learn_limit_fact,
    membership::{Effect, Fact, FactKind, State},
    shared::Shared,
    state::{Budget, adopt_kept, pull_config},
};
use crate::{
    connection::DatagramSealer,
    pb::{self, answer, datagram, request},
    store::Revision,
    util::unix_ms,
};

/// Interval between steps of the membership protocol.
const TICK: Duration = Duration::from_millis(100);
/// Maximum size of a received datagram; larger ones are rejected.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// Timeout of a full view exchange.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval between announcements of newer configurations.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which the fact that a daemon is being stopped is gossiped.
const STOPPING_FACT_TTL_MS: u64 = 60_000;

/// Sends and receives the datagrams of the membership protocol.
#[derive(Clone)]
pub(crate) struct Gossip {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    sealer: Arc<DatagramSealer>,
}

impl Gossip {
    pub fn new(shared: Arc<Shared>, socket: Arc<UdpSocket>, sealer: DatagramSealer) -> Self {
        Self { shared, socket, sealer: Arc::new(sealer) }
    }

    /// Receives datagrams until the task is dropped.
    pub async fn receive(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let to = self.shared.settings.advertise.to_string();
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(TICK).await;
                continue;
            };
            if length > MAX_DATAGRAM_BYTES {
                self.reject("oversized");
                continue;
            }
            self.count("datagram", "received", length);
            match self.sealer.open(&to, &buffer[..length]) {
                Ok(payload) => self.handle(&payload),
                Err(rejection) => self.reject(rejection.label()),
            }
        }
    }

    /// Runs the periodic steps of the membership protocol until the task is dropped.
    pub async fn tick(self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks = 0_u64;
        loop {
            interval.tick().await;
            let effects = self.shared.view.lock().tick(self.shared.now(), unix_ms());
            self.apply(effects);
            judge(&self.shared);
            ticks += 1;
            if ticks.is_multiple_of(10) {
                self.refresh_member_counts();
            }
        }
    }

    /// Announces newer configurations until the task is dropped.
    pub async fn announce(self) {
        loop {
            self.shared.announce.notified().await;
            let effects = self.shared.view.lock().announce();
            self.apply(effects);
            tokio::time::sleep(MIN_ANNOUNCE_INTERVAL).await;
        }
    }

    /// Sends the messages of one round of the exchange, all with the same members and facts.
    pub fn send_round(&self, messages: Vec<(SocketAddr, datagram::Body)>) {
        if messages.is_empty() {
            return;
        }
        let (members, facts) = self.shared.view.lock().round_piggyback();
        for (to, body) in messages {
            self.seal_and_send(to, body, members.clone(), facts.clone());
        }
    }

    /// Notifies other daemons that this one is being stopped: they give it no more connections to carry.
    pub fn announce_stop(&self) {
        let (key, value) = (self.shared.settings.name.clone(), unix_ms());
        let until_ms = value + STOPPING_FACT_TTL_MS;
        self.shared.publish_fact(Fact { kind: FactKind::Stopping, key, value, until_ms, note: Arc::from("") });
        self.shared.announce.notify_one();
    }

    /// Notifies other daemons that this one is leaving.
    pub fn leave(&self) {
        let effects = self.shared.view.lock().leave(self.shared.now());
        self.apply(effects);
    }

    /// Exchanges full views with the daemon at `address`; returns false if it does not answer.
    pub async fn sync(&self, address: SocketAddr) -> bool {
        let view = self.shared.view.lock().export();
        let answer = self.shared.peer_client.request(address, request::Body::SyncView(view), SYNC_TIMEOUT).await;
        let Ok(answer::Body::SyncView(view)) = answer else { return false };
        let effects = self.shared.view.lock().merge_reply(view, self.shared.now(), unix_ms());
        self.apply(effects);
        true
    }

    /// Merges the full view that another daemon sent with its request for this one's.
    pub fn merge(&self, view: pb::SyncView) {
        let effects = self.shared.view.lock().merge_view(view, self.shared.now(), unix_ms());
        self.apply(effects);
    }

    fn handle(&self, payload: &[u8]) {
        let Ok(datagram) = pb::Datagram::decode(payload) else { return self.reject("malformed") };
        let Ok(address) = datagram.address.parse::<SocketAddr>() else { return self.reject("malformed") };
        let revision = Revision::from_ordinal(datagram.config_revision);
        let age = datagram.state_age_ms.map(u64::from);
        let own = self.shared.config.lock().revision();
        let now = self.shared.now();
        match (&datagram.body, self.shared.exchange.get()) {
            (Some(body), Some(exchange)) => exchange.receive(&datagram.from, address, body),
            (Some(_), None) => {}
            (None, _) => self.count_unknown("datagram"),
        }
        let effects = self.shared.view.lock().receive(datagram, address, now, unix_ms());
        self.shared.learn_history(revision);
        let is_news = {
            let mut freshness = self.shared.freshness.lock();
            freshness.record_peer(revision, age, own, now);
            freshness.take_news(&Budget::CONFIG, own)
        };
        // The rounds of the exchange pass it on where there are any.
        if is_news && self.shared.exchange.get().is_none() {
            self.shared.announce.notify_one();
        }
        if revision > own {
            pull_config(&self.shared, address);
        } else {
            adopt_kept(&self.shared, address, revision);
        }
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(address, body) => self.send(address, body),
                Effect::Sync(address) => {
                    let gossip = self.clone();
                    tokio::spawn(async move { gossip.sync(address).await });
                }
                Effect::MemberChanged(name, state) => self.member_changed(&name, state),
                Effect::FactLearned(fact) => self.fact_learned(&fact),
            }
        }
    }

    fn send(&self, to: SocketAddr, body: datagram::Body) {
        let (members, facts) = self.shared.view.lock().piggyback(to);
        self.seal_and_send(to, body, members, facts);
    }

    fn seal_and_send(&self, to: SocketAddr, body: datagram::Body, members: Vec<pb::Member>, facts: Vec<pb::Fact>) {
        let kind = kind_label(&body);
        let revision = self.shared.config.lock().revision();
        let age = self.shared.freshness.lock().age(revision, self.shared.now());
        let payload = pb::Datagram {
            from: self.shared.settings.name.to_string(),
            address: self.shared.settings.advertise.to_string(),
            config_revision: revision.ordinal(),
            state_age_ms: age.and_then(|age| u32::try_from(age).ok()),
            view: self.shared.view.lock().hash(),
            members,
            facts,
            body: Some(body),
        };
        let bytes = self.sealer.seal(&to.to_string(), payload.encode_to_vec());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            warn!("event=datagram-too-large kind={kind} bytes={} max={MAX_DATAGRAM_BYTES}", bytes.len());
        }
        self.count(kind, "sent", bytes.len());
        self.socket.try_send_to(&bytes, to).ok();
    }

    fn count(&self, kind: &str, direction: &str, bytes: usize) {
        self.shared.metrics.peer_messages.with_label_values(&[kind, direction]).inc();
        self.shared.metrics.peer_bytes.with_label_values(&[kind, direction]).inc_by(bytes as u64);
    }

    fn reject(&self, reason: &str) {
        self.shared.metrics.peer_rejections.with_label_values(&[reason]).inc();
    }

    /// Counts what a newer build sent that this one does not know.
    fn count_unknown(&self, what: &str) {
        self.shared.metrics.peer_unknown.with_label_values(&[what]).inc();
    }

    fn member_changed(&self, name: &str, state: State) {
        info!("event=member-changed member={name} state={}", state.label());
        if let (State::Left, Some(exchange)) = (state, self.shared.exchange.get()) {
            exchange.remove_peer(name);
        }
        self.refresh_member_counts();
    }

    fn fact_learned(&self, fact: &Fact) {
        match fact.kind {
            FactKind::Leaving => self.shared.replicas.mark_leaving(&fact.key),
            FactKind::TakenBack => {
                info!("event=version-taken-back version={} reason={:?}", fact.key, fact.note);
                self.shared.refresh_version_choices();
            }
            FactKind::Step => self.shared.refresh_version_choices(),
            FactKind::Crash => {
                self.shared.metrics.crash_records.inc();
                info!("event=crash-learned record={}", fact.key);
            }
            FactKind::PartCrash | FactKind::PartAnswered => learn_part_fact(&self.shared, fact),
            FactKind::ServerLimit => learn_limit_fact(&self.shared, fact),
            FactKind::ServerBrittle => learn_brittle_fact(&self.shared, fact),
            FactKind::ServerLeaving => learn_leaving_fact(&self.shared, fact),
            FactKind::Stopping => {
                info!("event=peer-stopping peer={} since_unix_ms={}", fact.key, fact.value);
                if let Some(gateway) = self.shared.exchange.get().and_then(Exchange::gateway) {
                    gateway.backend_connections.avoid_peer(&fact.key);
                }
            }
            FactKind::Clear => info!("event=crash-cleared fingerprint={} reason={:?}", fact.key, fact.note),
            FactKind::Unknown(number) => {
                self.count_unknown("fact");
                info!("event=fact-unknown kind={number} key={:?} value={}", fact.key, fact.value);
                // The daemons that know the kind may need the fact soon.
                self.shared.announce.notify_one();
            }
        }
    }

    fn refresh_member_counts(&self) {
        let view = self.shared.view.lock();
        self.shared.daemons.store(view.present().count(), Ordering::Relaxed);
        let own = view.local().name.clone();
        let rank = view.present().filter(|member| member.name < own).count();
        self.shared.rank.store(rank, Ordering::Relaxed);
        let states = [State::Alive, State::Suspect, State::Dead, State::Left];
        for state in states {
            let count = view.others().filter(|m| m.state == state).count();
            self.shared.metrics.members.with_label_values(&[state.label()]).set(count as i64);
        }
    }
}

/// Returns the `kind` label under which a datagram is counted.
fn kind_label(body: &datagram::Body) -> &'static str {
    match body {
        datagram::Body::Report(_) => "report",
        datagram::Body::ZoneSum(_) => "zone-sum",
        datagram::Body::Summary(_) => "summary",
        _ => "datagram",
    }
}
