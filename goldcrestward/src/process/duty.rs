//! The duties that one daemon carries out for all: it holds a lease in the platform's store, with a fencing token.
//!
//! `term.rs` decides what the holder may do. Times are of the boot-time clock, which keeps running while the instance
//! is suspended.

mod usage_reports;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::time::sleep;

use super::{
    clock::boot_ms,
    gateway::Gateway,
    last_term::LastTerm,
    lifecycle::Stage,
    record_knowledge::RecordKnowledge,
    scaler::{Scaler, ZonePool, lost_share},
    term::{Term, UsageRecord},
};
use crate::{
    config::Scaling,
    port::{Duties, Holder, PoolOrder},
    store::{Compare, Error, Purpose, Put, Revision, Txn},
    version::VersionChoice,
};

/// Interval between two checks of the duties.
const TICK: Duration = Duration::from_millis(200);
/// Interval between two looks, while this daemon is being stopped, at whether it still has to hold the duties.
const STOP_TICK: Duration = Duration::from_millis(20);
/// Time before the end of the stop by which the duties are released, as calls in transit have to end.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Time after its start for which a daemon does not acquire the duties, as it does not know the others yet.
const JOINING_MS: u64 = 1_000;
/// Additional delay per rank before a daemon tries to acquire vacant duties.
const RANK_DELAY_MS: u64 = 400;
/// Divisor of the report delay, which gives the time for the other daemons' counts to arrive.
pub(crate) const SETTLE_DIVISOR: u32 = 4;

/// Interval between two checks of the pools' sizes.
const SCALE_INTERVAL_MS: u64 = 500;
/// Time after its start for which a daemon scales no pools, as it does not know the servers and their load yet.
const SCALING_WARM_UP_MS: u64 = 3_500;
/// A zone's load below this number of busy servers counts as unknown.
const MIN_BUSY_SERVERS: f64 = 0.02;

/// Number of former holders that are asked for what they recorded.
const MAX_FORMER_HOLDERS: usize = 3;

/// Prefix of the store keys that daemons write for each other.
pub(crate) const OWN_PREFIX: &str = "goldcrestward/";

struct HeldDuties {
    holder: Holder,
    /// Revision of the entry that names this daemon as the holder.
    revision: Revision,
    term: Term,
    /// Whether what the holder before the last restore of the store recorded is known: it has told, or is this daemon.
    is_vouched: bool,
}

/// Acquires the duties and carries them out.
pub(crate) struct Duty {
    gateway: Arc<Gateway>,
    duties: Arc<dyn Duties>,
    held: Option<HeldDuties>,
    /// When the duties were first seen without a holder, in ms.
    vacant_since: Option<u64>,
    /// Earliest time in ms at which this daemon may acquire the duties.
    not_before: u64,
    scaler: Scaler,
    last_scaled_ms: u64,
    /// First window whose counts may lack some that are worth waiting for.
    unfetched_window: u64,
    /// The daemons that held the duties last, the latest first.
    former_holders: Vec<Arc<str>>,
    /// Whether this process has held the duties.
    has_held: bool,
    /// Start of this daemon, in ms.
    started_ms: u64,
    records: RecordKnowledge,
}

impl Duty {
    /// Starts without holding the duties.
    pub fn new(gateway: Arc<Gateway>, duties: Arc<dyn Duties>) -> Self {
        Self {
            gateway,
            duties,
            held: None,
            vacant_since: None,
            not_before: 0,
            scaler: Scaler::default(),
            last_scaled_ms: 0,
            unfetched_window: 0,
            former_holders: Vec::new(),
            has_held: false,
            started_ms: boot_ms(),
            records: RecordKnowledge::default(),
        }
    }

    /// Runs until the daemon has drained. While it drains, it holds the duties only if every other daemon is being stopped as
    /// well.
    pub async fn run(mut self) {
        loop {
            self.wait_for_tick().await;
            if self.is_ending() {
                return self.release().await;
            }
            self.know_records();
            if self.must_release() {
                self.release().await;
                continue;
            }
            match self.held.take() {
                None => self.acquire_if_vacant().await,
                Some(held) => self.carry_out(held).await,
            }
        }
    }

    async fn wait_for_tick(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TICK {
            if !self.is_stopping() {
                return sleep(TICK.saturating_sub(begun.elapsed())).await;
            }
            if self.is_ending() || (self.held.is_some() && self.must_release()) {
                return;
            }
            sleep(STOP_TICK).await;
        }
    }

    fn is_stopping(&self) -> bool {
        self.gateway.shared.stage.get() == Stage::Draining
    }

    /// Whether this daemon has drained, or soon has to.
    fn is_ending(&self) -> bool {
        let shared = &self.gateway.shared;
        let is_late = || shared.lifetime.time_left().is_some_and(|left| left < RELEASE_TIME);
        self.is_stopping() && (shared.duty_task.is_closed() || is_late())
    }

    /// Whether this daemon must leave the duties to others.
    fn must_release(&self) -> bool {
        self.is_stopping() && (self.is_ending() || self.gateway.shared.view.lock().has_staying_peer())
    }

    fn key(&self, name: &str) -> String {
        own_key(&self.gateway.shared.settings.site, name)
    }

    fn lease_time(&self) -> Duration {
        self.gateway.shared.settings.lease
    }

    async fn release(&mut self) {
        let Some(held) = self.held.take() else { return };
        self.gateway.shared.holds_duties.store(false, Ordering::Relaxed);
        self.not_before = boot_ms() + self.lease_time().as_millis() as u64;
        let result = self.gateway.shared.kv.revoke(Purpose::Duty, held.term.lease).await;
        info!("event=duty-released fence={} error={:?}", held.holder.fencing_token, result.err());
    }

    /// Whether the duties were acquired in the history of the store that is in force. After a restore, the lease may be lost
    /// or belong to another daemon.
    fn is_current(&self, held: &HeldDuties) -> bool {
        self.gateway.shared.kv.history().number.is_none_or(|number| number == held.revision.history())
    }

    /// Tries to acquire the duties if no daemon holds them, after a delay that grows with this daemon's rank.
    async fn acquire_if_vacant(&mut self) {
        self.remember_holder();
        let shared = &self.gateway.shared;
        let now = boot_ms();
        let has_holder = shared.config.lock().text(&self.key("duty")).is_some();
        if has_holder || shared.in_force.load().revision.is_none() {
            self.vacant_since = None;
            return;
        }
        // A holder whose lease the restored store has lost may act until the lease would have ended.
        if shared.kv.history().known_for() < self.lease_time() && !self.earlier_terms_are_over() {
            return;
        }
        if shared.now() < JOINING_MS {
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let rank = shared.view.lock().rank_of_staying("duty") as u64;
        if now < since + rank * RANK_DELAY_MS || now < self.not_before {
            return;
        }
        self.vacant_since = None;
        self.held = self.acquire(now, Revision::NONE).await;
        self.has_held |= self.held.is_some();
        self.unfetched_window = 0;
        self.gateway.shared.holds_duties.store(self.held.is_some(), Ordering::Relaxed);
    }

    /// Whether no holder of an earlier history of the store can still act, as far as the store says.
    fn earlier_terms_are_over(&self) -> bool {
        let shared = &self.gateway.shared;
        let number = shared.kv.history().number;
        let config = shared.config.lock();
        let last = config.text(&self.key(LastTerm::KEY)).and_then(|text| LastTerm::parse(text));
        last.is_some_and(|term| term.ended_earlier_terms(number))
    }

    /// Notes from which history of the store on this daemon knows the stored records.
    fn know_records(&mut self) {
        let shared = &self.gateway.shared;
        let revision = shared.in_force.load().revision;
        if self.records.has_begun() || revision.is_none() {
            return;
        }
        let history = shared.kv.history().number.unwrap_or_default().max(revision.history());
        let names = ["duty", LastTerm::KEY, "usage"].map(|name| self.key(name));
        let config = shared.config.lock();
        let has_had_holder = names.iter().any(|name| config.last_text(name).is_some());
        self.records.begin(history, has_had_holder, boot_ms());
    }

    /// Remembers the latest holders, as a restore of the store may lose their entries.
    fn remember_holder(&mut self) {
        let name = {
            let config = self.gateway.shared.config.lock();
            let holder = config.last_text(&self.key("duty"));
            let holder = holder.and_then(|text| text.split(' ').next().map(Arc::<str>::from));
            let last = || Some(LastTerm::parse(&config.last_text(&self.key(LastTerm::KEY))?)?.holder);
            holder.or_else(last)
        };
        let Some(name) = name else { return };
        if self.former_holders.first() != Some(&name) {
            self.former_holders.retain(|former| *former != name);
            self.former_holders.truncate(MAX_FORMER_HOLDERS - 1);
            self.former_holders.insert(0, name);
        }
    }

    /// Acquires the duties in place of the entry with revision `replaced`, if any.
    async fn acquire(&mut self, requested_ms: u64, replaced: Revision) -> Option<HeldDuties> {
        let kv = &self.gateway.shared.kv;
        let history = kv.history().number;
        let lease = kv.grant(Purpose::Duty, self.lease_time()).await.ok()?;
        let name = self.gateway.shared.settings.name.clone();
        let key = self.key("duty");
        // The lease distinguishes this attempt from one by an earlier process of the same daemon.
        let value = format!("{name} {}", lease.id).into_bytes();
        let last_term = history.map(|history| {
            let term = LastTerm { history, holder: name.clone() };
            Put { key: self.key(LastTerm::KEY), value: term.text().into_bytes(), lease: 0 }
        });
        // The revision of the commit is that of its last entry.
        let puts = last_term.into_iter().chain([Put { key: key.clone(), value: value.clone(), lease: lease.id }]);
        let compares = vec![Compare { key: key.clone(), revision: replaced }];
        let commit = Txn { compares, puts: puts.collect(), removes: Vec::new() };
        let revision = match kv.txn(Purpose::Duty, commit).await {
            Ok(txn) if txn.succeeded => txn.revision,
            Ok(_) => return None,
            Err(_) => {
                let row = kv.get(Purpose::Duty, &key).await.ok()??;
                (row.value == value).then_some(row.revision)?
            }
        };
        if history.is_some_and(|number| number != revision.history()) {
            // The time that this daemon had to wait began with the later history. The lease ends by itself.
            warn!("event=duty-not-taken revision={revision} reason=\"the store was restored meanwhile\"");
            return None;
        }
        let fencing_token = revision.ordinal();
        info!("event=duty-taken fence={fencing_token} lease={}", lease.id);
        let term = Term::new(lease.id, fencing_token, requested_ms, self.lease_time());
        let is_vouched = self.has_held && self.former_holders.first() == Some(&name);
        Some(HeldDuties { holder: Holder { name, fencing_token }, revision, term, is_vouched })
    }

    /// Renews the lease, reports usage and scales pools.
    async fn carry_out(&mut self, mut held: HeldDuties) {
        let now = boot_ms();
        if held.term.has_ended(now) || (!held.term.is_valid(now) && !self.is_current(&held)) {
            return self.give_up(&held, "the lease was not renewed in time");
        }
        if !self.is_current(&held) {
            return self.hold_again(held, now).await;
        }
        if held.term.is_renewal_due(now) {
            match self.gateway.shared.kv.renew(Purpose::Duty, held.term.lease).await {
                // The answer to the renewal may be the first that tells of a restore.
                Ok(()) | Err(Error::LeaseEnded { .. }) if !self.is_current(&held) => {
                    return self.hold_again(held, now).await;
                }
                Ok(()) => held.term.extend(now, self.lease_time()),
                Err(Error::LeaseEnded { .. }) => return self.give_up(&held, "the lease has ended"),
                Err(error) => warn!("event=duty-renewal-failed fence={} error={error:?}", held.holder.fencing_token),
            }
        }
        if !held.term.is_valid(boot_ms()) {
            // Nothing is done under the lease until it is renewed.
            self.held = Some(held);
            return;
        }
        if !self.report_usage(&mut held).await {
            return self.give_up(&held, "another holder has a higher fencing number");
        }
        if now >= self.last_scaled_ms + SCALE_INTERVAL_MS && self.gateway.shared.now() >= SCALING_WARM_UP_MS {
            self.last_scaled_ms = now;
            self.scale_pools(&held).await;
        }
        self.held = Some(held);
    }

    /// Orders servers for the pools whose number of servers should change.
    async fn scale_pools(&mut self, held: &HeldDuties) {
        let in_force = self.gateway.shared.in_force.load_full();
        for pool in in_force.site.pools.values() {
            let Some(scaling) = &pool.scaling else { continue };
            // During a rollout, servers of both versions are up, and an order cannot say which ones to stop.
            if self.gateway.shared.version_choices.load().get(&pool.name).is_some_and(VersionChoice::has_rollout) {
                continue;
            }
            let zones = self.zone_pools(&pool.name, scaling);
            for order in self.scaler.decide(&pool.name, scaling, &zones, boot_ms()) {
                if !Self::is_valid(held) || self.is_stopping() {
                    return;
                }
                let answer = self.duties.order_pool(&held.holder, &order).await;
                self.scaler.record_answer(&order, answer, boot_ms());
                let PoolOrder { pool, zone, count, reclaimable } = &order;
                info!(
                    "event=pool-ordered pool={pool} zone={zone} count={count} reclaimable={reclaimable} answer={answer:?}"
                );
            }
        }
    }

    fn zone_pools(&self, pool: &Arc<str>, scaling: &Scaling) -> Vec<ZonePool> {
        let now = self.gateway.shared.now();
        let servers = self.gateway.shared.replicas.servers(pool, now);
        let mean_work_ms = self.gateway.mean_work_ms(pool);
        let demand = self.gateway.demand.lock();
        let zone_pool = |zone: &Arc<str>| {
            let in_zone = || servers.iter().filter(|r| r.zone == *zone);
            let live = |reclaimable| in_zone().filter(|r| r.reclaimable == reclaimable).count() as u32;
            let busy = demand.busy_servers(pool, zone, now);
            let busy_servers = (busy > MIN_BUSY_SERVERS).then_some(busy);
            let lost = in_zone().filter_map(|r| Some(lost_share(r.limit().per_second?, mean_work_ms?)));
            ZonePool {
                zone: zone.clone(),
                on_demand: live(false),
                reclaimable: live(true),
                busy_servers,
                lost_servers: lost.sum(),
            }
        };
        scaling.zone_prices.keys().map(zone_pool).collect()
    }

    /// Acquires the duties in a later history of the store than that in which this daemon acquired them. It need not wait:
    /// while its lease is valid no other daemon can have acquired them, as that waits for a lease's time in the new
    /// history, which began after this lease was last renewed. An entry that it finds is therefore one of the copy. Until
    /// then it does nothing under the lease, so it tries again if the store does not answer.
    async fn hold_again(&mut self, held: HeldDuties, now: u64) {
        // Whoever the copy names does not act on it, as this daemon held the duties when the store was restored.
        let again = match self.gateway.shared.kv.get(Purpose::Duty, &self.key("duty")).await {
            Ok(named) => {
                let replaced = named.filter(|_| held.term.is_valid(boot_ms()));
                self.acquire(now, replaced.map_or(Revision::NONE, |row| row.revision)).await
            }
            Err(error) => {
                warn!("event=duty-read-failed fence={} error={error:?}", held.holder.fencing_token);
                None
            }
        };
        match again {
            Some(again) if held.term.is_valid(boot_ms()) => {
                let (before, fence) = (held.holder.fencing_token, again.holder.fencing_token);
                info!("event=duty-kept before={before} fence={fence} reason=\"the store was restored from a copy\"");
                self.unfetched_window = 0;
                self.held = Some(HeldDuties { is_vouched: true, ..again });
            }
            None if held.term.is_valid(boot_ms()) => self.held = Some(held),
            again => {
                if let Some(HeldDuties { term, holder, .. }) = again
                    && let Err(error) = self.gateway.shared.kv.revoke(Purpose::Duty, term.lease).await
                {
                    // The lease ends by itself.
                    warn!("event=lease-kept fence={} lease={} error={error:?}", holder.fencing_token, term.lease);
                }
                self.give_up(&held, "the store was restored from a copy");
            }
        }
    }

    fn give_up(&mut self, held: &HeldDuties, reason: &str) {
        // This daemon must not succeed the next holder while its own calls from this term may still be in transit.
        self.gateway.shared.holds_duties.store(false, Ordering::Relaxed);
        self.not_before = boot_ms() + self.lease_time().as_millis() as u64;
        warn!("event=duty-lost fence={} reason={reason:?}", held.holder.fencing_token);
    }

    fn is_valid(held: &HeldDuties) -> bool {
        held.term.is_valid(boot_ms())
    }
}

/// The store key under which the daemons of a site keep something.
pub(super) fn own_key(site: &str, name: &str) -> String {
    format!("{OWN_PREFIX}{site}/{name}")
}

/// Whether a value of the key is an earlier record of usage than another one.
pub(crate) fn is_earlier_record(key: &str, value: &str, known: &str) -> bool {
    let window = |text: &str| serde_json::from_str::<UsageRecord>(text).ok().map(|record| record.window);
    let is_record = key.starts_with(OWN_PREFIX) && key.ends_with("/usage");
    is_record && window(value).zip(window(known)).is_some_and(|(value, known)| value < known)
}
