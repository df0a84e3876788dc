//! The duties that one daemon carries out for all: it holds a lease in the platform's store, with a fencing token.
//!
//! `term.rs` decides what the holder may do. Times are of the boot-time clock, which keeps running while the instance
//! is suspended.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::time::sleep;

use super::{
    clock::boot_ms,
    exchange::fetch_usage,
    gateway::Gateway,
    last_term::LastTerm,
    lifecycle::Stage,
    record_knowledge::{CurrentHistory, RecordKnowledge, first_window_since},
    scaler::{Scaler, ZonePool, lost_share},
    term::{Term, UsageRecord, UsageSchedule, UsageStep, WriteResult},
};
use crate::{
    config::Scaling,
    port::{Duties, DutyAnswer, Holder, PoolOrder},
    store::{Compare, Error, Purpose, Put, Revision, Row, Txn},
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

/// Maximum number of usage steps per tick: read, write, report.
const MAX_USAGE_STEPS: u32 = 3;
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

    /// Reports windows that have ended. Returns false if the platform knows a later holder.
    async fn report_usage(&mut self, held: &mut HeldDuties) -> bool {
        self.learn_usage(held).await;
        for _ in 0..MAX_USAGE_STEPS {
            if self.must_release() {
                return true;
            }
            let step = held.term.usage_step(
                self.gateway.shared.agreed_ms(),
                self.usage_schedule(),
                |last_written, first_open, oldest_on_time| {
                    self.count_usage(held, last_written, first_open.min(self.unfetched_window), oldest_on_time)
                },
            );
            match step {
                UsageStep::Idle => return true,
                UsageStep::Read => {
                    let Ok(row) = self.gateway.shared.kv.get(Purpose::Duty, &self.key("usage")).await else {
                        return true;
                    };
                    let (record, revision) =
                        row.map_or((None, Revision::NONE), |row| (read_record(&row), row.revision));
                    match self.later_record(record.as_ref()) {
                        Some(mut lost) => {
                            let window = lost.window;
                            if self.records_lost_until(held, Some(&lost)).is_none() {
                                lost.history = Some(held.revision.history());
                            }
                            let result = self.write_usage(held, &lost, revision).await;
                            info!("event=usage-record-restored window={window} revision={revision} result={result:?}");
                            held.term.apply_write(lost, result);
                        }
                        None => held.term.apply_read(record, revision),
                    }
                }
                UsageStep::Write(record, replaced) => {
                    let result = self.write_usage(held, &record, replaced).await;
                    if matches!(result, WriteResult::Done(_)) {
                        self.gateway.usage.lock().learn_record(record.clone());
                    }
                    held.term.apply_write(record, result);
                }
                UsageStep::Send(record) => return self.send_usage(held, &record).await,
            }
        }
        true
    }

    /// The latest record that this daemon knows of, if it is later than the stored one, as the store has been restored from
    /// an older copy. It may have been reported.
    fn later_record(&self, stored: Option<&UsageRecord>) -> Option<UsageRecord> {
        self.gateway.learn_stored_record();
        let usage = self.gateway.usage.lock();
        let known = usage.recorded()?;
        stored.is_none_or(|stored| stored.window < known.window).then(|| known.clone())
    }

    /// Fetches the counts of windows that have ended from the relays. Until half of the time for a window's report is over, it
    /// is worth waiting for zones that have not answered for the whole of the window.
    async fn learn_usage(&mut self, held: &mut HeldDuties) {
        let UsageSchedule { window_ms, report_within_ms, settle_ms } = self.usage_schedule();
        let agreed_ms = self.gateway.shared.agreed_ms();
        let first_open = agreed_ms.saturating_sub(settle_ms) / window_ms;
        if first_open <= self.unfetched_window {
            return;
        }
        let oldest_on_time = first_open.saturating_sub(report_within_ms / window_ms + 1);
        let from_window = self.unfetched_window.max(oldest_on_time);
        let (first_unknown, has_last_holder) =
            fetch_usage(&self.gateway, from_window..first_open, &self.former_holders).await;
        held.is_vouched |= has_last_holder;
        let first_awaited = agreed_ms.saturating_sub(report_within_ms / 2) / window_ms;
        self.unfetched_window = first_unknown.max(first_awaited.min(first_open));
    }

    fn usage_schedule(&self) -> UsageSchedule {
        let settings = &self.gateway.shared.settings;
        let ms = |time: Duration| time.as_millis() as u64;
        let report_within_ms = ms(settings.usage_delay);
        UsageSchedule {
            window_ms: ms(settings.usage_window).max(1),
            report_within_ms,
            settle_ms: report_within_ms / u64::from(SETTLE_DIVISOR),
        }
    }

    /// Until when records may have been written that the store has lost and this daemon does not know, in ms of the boot-time
    /// clock; `None` if `record`, the latest that it knows, is the latest that was written.
    fn records_lost_until(&self, held: &HeldDuties, record: Option<&UsageRecord>) -> Option<u64> {
        let known_for = self.gateway.shared.kv.history().known_for().as_millis() as u64;
        let known_since_ms = boot_ms().saturating_sub(known_for);
        let current = CurrentHistory { number: held.revision.history(), known_since_ms };
        self.records.lost_until(record, current, held.is_vouched)
    }

    /// The first window that cannot have been reported by a record which the store has lost: its report was not due yet when
    /// the last such record was written, and it began after this daemon or one that it has learnt from, as earlier ones are
    /// not known whole. On a new site nobody counted before, so that the window under way then is whole as well.
    fn first_unreported(&self, held: &HeldDuties) -> u64 {
        let Some(lost_until) = self.records_lost_until(held, held.term.record()) else { return 0 };
        let UsageSchedule { window_ms, settle_ms, .. } = self.usage_schedule();
        let (now, agreed_ms) = (boot_ms(), self.gateway.shared.agreed_ms());
        let agreed_at = |time: u64| agreed_ms.saturating_sub(now.saturating_sub(time));
        let known_since = self.gateway.kept_spans.lock().earliest_begin().unwrap_or(u64::MAX).min(self.started_ms);
        let first_not_due = agreed_at(lost_until).saturating_sub(settle_ms) / window_ms;
        let first_whole = if self.records.knew_new_site() {
            agreed_at(known_since) / window_ms
        } else {
            first_window_since(agreed_at(known_since), window_ms)
        };
        first_not_due.max(first_whole)
    }

    fn count_usage(
        &self,
        held: &HeldDuties,
        last_written: Option<u64>,
        first_open: u64,
        oldest_on_time: u64,
    ) -> Option<UsageRecord> {
        let first_unreported = self.first_unreported(held);
        let mut usage = self.gateway.usage.lock();
        usage.forget_before(oldest_on_time.saturating_sub(1));
        let next = usage.next_window(last_written, first_open, oldest_on_time)?;
        let window = usage.next_window(last_written, first_open, oldest_on_time.max(first_unreported))?;
        if window != next {
            let (fence, last) = (held.holder.fencing_token, window - 1);
            warn!(
                "event=usage-left-out first={next} last={last} fence={fence} reason=\"the store may have lost what was reported\""
            );
        }
        Some(UsageRecord { window, counts: usage.total(window), history: Some(held.revision.history()) })
    }

    /// Stores the record that will be reported, in place of the one with revision `replaced`.
    async fn write_usage(&self, held: &HeldDuties, record: &UsageRecord, replaced: Revision) -> WriteResult {
        let Ok(value) = serde_json::to_vec(record) else { return WriteResult::Unknown };
        let put = Put { key: self.key("usage"), value, lease: 0 };
        let compares = vec![
            Compare { key: self.key("duty"), revision: held.revision },
            Compare { key: self.key("usage"), revision: replaced },
        ];
        let commit = Txn { compares, puts: vec![put], removes: Vec::new() };
        match self.gateway.shared.kv.txn(Purpose::Duty, commit).await {
            Ok(txn) if txn.succeeded => WriteResult::Done(txn.revision),
            Ok(_) => WriteResult::Refused,
            Err(_) => WriteResult::Unknown,
        }
    }

    async fn send_usage(&self, held: &mut HeldDuties, record: &UsageRecord) -> bool {
        if !Self::is_valid(held) {
            return true;
        }
        let counts: &BTreeMap<_, _> = &record.counts;
        let answer = self.duties.report_usage(&held.holder, record.window, counts).await;
        let total: u64 = counts.values().sum();
        let (fence, window) = (held.holder.fencing_token, record.window);
        info!("event=usage-reported window={window} requests={total} fence={fence} answer={answer:?}");
        held.term.apply_answer(answer);
        answer != DutyAnswer::Refused
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

fn read_record(row: &Row) -> Option<UsageRecord> {
    let record = serde_json::from_slice(&row.value);
    if let Err(error) = &record {
        warn!("event=usage-record-unreadable key={:?} revision={} error={error:?}", row.key, row.revision);
    }
    record.ok()
}
