//! The duties that one daemon has for all: a lease in the platform's store with a fencing number.
//!
//! What the holder may do is decided in `term.rs`; time is that of a clock that goes on while the instance is suspended.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use log::{info, warn};
use tokio::time::sleep;

use super::{
    clock::boot_ms,
    exchange::learn_usage,
    gateway::Gateway,
    lifecycle::Stage,
    scaler::{Scaler, ZonePool},
    term::{Term, UsageRecord, UsageSchedule, UsageStep, WriteResult},
};
use crate::{
    config::Scaling,
    port::{Duties, DutyAnswer, Holder, PoolOrder},
    store::{Commit, Compare, Error, Purpose, Put, Row},
    version::Choice,
};

/// Time from one look at the duties to the next.
const TICK: Duration = Duration::from_millis(200);
/// Time by which each further daemon waits longer before it asks for duties that nobody has.
const RANK_DELAY_MS: u64 = 400;
/// Part of the time in which a window must be reported that is left for the other daemons' counts to arrive.
pub(crate) const SETTLE_DIVISOR: u32 = 4;

/// Steps about usage at one look: read, write, send.
const USAGE_STEPS: u32 = 3;
/// Time from one look at the size of pools to the next, in ms.
const SCALE_INTERVAL_MS: u64 = 500;
/// Time after its start for a daemon to learn of the servers and of their load, in ms.
const SURVEY_MS: u64 = 3_500;
/// Busy servers of a zone below which its load is not known yet.
const LEAST_BUSY: f64 = 0.02;

/// Prefix of the keys that daemons write for each other.
pub(crate) const OWN_PREFIX: &str = "goldcrestward/";

struct Held {
    holder: Holder,
    term: Term,
}

/// Asks for the duties and carries them out.
pub(crate) struct Duty {
    gateway: Arc<Gateway>,
    duties: Arc<dyn Duties>,
    held: Option<Held>,
    missing_since: Option<u64>,
    not_before: u64,
    scaler: Scaler,
    scaled_at: u64,
}

impl Duty {
    /// A daemon without duties.
    pub fn new(gateway: Arc<Gateway>, duties: Arc<dyn Duties>) -> Self {
        Self {
            gateway,
            duties,
            held: None,
            missing_since: None,
            not_before: 0,
            scaler: Scaler::default(),
            scaled_at: 0,
        }
    }

    /// Looks after the duties until the daemon stops.
    pub async fn run(mut self) {
        loop {
            sleep(TICK).await;
            if self.gateway.shared.stage.get() == Stage::Draining {
                return self.release().await;
            }
            match self.held.take() {
                None => self.ask().await,
                Some(held) => self.hold(held).await,
            }
        }
    }

    fn key(&self, name: &str) -> String {
        format!("{OWN_PREFIX}{}/{name}", self.gateway.shared.settings.site)
    }

    fn lease_time(&self) -> Duration {
        self.gateway.shared.settings.lease
    }

    async fn release(&mut self) {
        let Some(held) = self.held.take() else { return };
        let result = self.gateway.shared.kv.revoke(Purpose::Duty, held.term.lease).await;
        info!("event=duty-released fence={} error={:?}", held.holder.fence, result.err());
    }

    /// Asks for the duties when nobody has them, each daemon a little after the one before.
    async fn ask(&mut self) {
        let shared = &self.gateway.shared;
        let now = boot_ms();
        let taken = shared.config.lock().text(&self.key("duty")).is_some();
        if taken || shared.in_force.load().revision == 0 {
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let rank = shared.view.lock().rank("duty") as u64;
        if now < since + rank * RANK_DELAY_MS || now < self.not_before {
            return;
        }
        self.missing_since = None;
        self.held = self.take(now).await;
        if self.held.is_some() && self.is_young() {
            learn_usage(&self.gateway).await;
        }
    }

    /// Whether this daemon has not run for as long as counts are kept.
    fn is_young(&self) -> bool {
        let memory = self.gateway.usage.lock().retention(self.gateway.shared.settings.usage_window);
        u128::from(self.gateway.shared.now()) < memory.as_millis()
    }

    async fn take(&mut self, asked: u64) -> Option<Held> {
        let kv = &self.gateway.shared.kv;
        let lease = kv.grant(Purpose::Duty, self.lease_time()).await.ok()?;
        let name = self.gateway.shared.settings.name.clone();
        let key = self.key("duty");
        // Names this try, so that it can be told from one of an earlier life.
        let value = format!("{name} {}", lease.id).into_bytes();
        let commit = Commit {
            compares: vec![Compare { key: key.clone(), revision: 0 }],
            puts: vec![Put { key: key.clone(), value: value.clone(), lease: lease.id }],
            removes: Vec::new(),
        };
        let fence = match kv.txn(Purpose::Duty, commit).await {
            Ok(txn) if txn.succeeded => txn.revision,
            Ok(_) => return None,
            Err(_) => {
                let row = kv.get(Purpose::Duty, &key).await.ok()??;
                (row.value == value).then_some(row.revision)?
            }
        };
        info!("event=duty-taken fence={fence} lease={}", lease.id);
        let term = Term::new(lease.id, fence, asked, self.lease_time());
        Some(Held { holder: Holder { name, fence }, term })
    }

    async fn hold(&mut self, mut held: Held) {
        let now = boot_ms();
        if !held.term.is_valid(now) {
            return self.lose(&held, "the lease was not renewed in time");
        }
        if held.term.is_renewal_due(now) {
            match self.gateway.shared.kv.renew(Purpose::Duty, held.term.lease).await {
                Ok(()) => held.term.extend(now, self.lease_time()),
                Err(Error::LeaseEnded { .. }) => return self.lose(&held, "the lease has ended"),
                Err(error) => warn!("event=duty-renewal-failed fence={} error={error:?}", held.holder.fence),
            }
        }
        if !self.report_usage(&mut held).await {
            return self.lose(&held, "another holder has a higher fencing number");
        }
        if now >= self.scaled_at + SCALE_INTERVAL_MS && self.gateway.shared.now() >= SURVEY_MS {
            self.scaled_at = now;
            self.scale(&held).await;
        }
        self.held = Some(held);
    }

    /// Orders servers where pools need others than they have.
    async fn scale(&mut self, held: &Held) {
        let in_force = self.gateway.shared.in_force.load_full();
        for pool in in_force.site.pools.values() {
            let Some(scaling) = &pool.scaling else { continue };
            // Servers of both versions are there until the move ends, and which would be given up is not said.
            if self.gateway.shared.choices.load().get(&pool.name).is_some_and(Choice::is_moving) {
                continue;
            }
            let zones = self.zone_pools(&pool.name, scaling);
            for order in self.scaler.decide(&pool.name, scaling, &zones, boot_ms()) {
                if !Self::holds(held) {
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
        let replicas = self.gateway.shared.replicas.pool(pool);
        let demand = self.gateway.demand.lock();
        let now = self.gateway.shared.now();
        let zone_pool = |zone: &Arc<str>| {
            let live = |reclaimable| {
                let here = replicas.iter().filter(|r| r.zone == *zone && !r.is_leaving());
                here.filter(|r| r.reclaimable == reclaimable).count() as u32
            };
            let busy = demand.busy_servers(pool, zone, now);
            let busy_servers = (busy > LEAST_BUSY).then_some(busy);
            ZonePool { zone: zone.clone(), on_demand: live(false), reclaimable: live(true), busy_servers }
        };
        scaling.zone_prices.keys().map(zone_pool).collect()
    }

    fn lose(&mut self, held: &Held, reason: &str) {
        // Whoever comes next shall not be followed by this daemon while its own calls may be on their way.
        self.not_before = boot_ms() + self.lease_time().as_millis() as u64;
        warn!("event=duty-lost fence={} reason={reason:?}", held.holder.fence);
    }

    fn holds(held: &Held) -> bool {
        held.term.is_valid(boot_ms())
    }

    /// Reports windows that have ended; false if the platform knows a later holder.
    async fn report_usage(&mut self, held: &mut Held) -> bool {
        for _ in 0..USAGE_STEPS {
            let step = held.term.usage_step(
                self.gateway.shared.agreed_ms(),
                self.usage_schedule(),
                |written, ended, oldest| self.count_usage(written, ended, oldest),
            );
            match step {
                UsageStep::Idle => return true,
                UsageStep::Read => {
                    let Ok(row) = self.gateway.shared.kv.get(Purpose::Duty, &self.key("usage")).await else {
                        return true;
                    };
                    let (record, revision) = row.map_or((None, 0), |row| (read_record(&row), row.revision));
                    held.term.apply_read(record, revision);
                }
                UsageStep::Write(record, replaced) => {
                    let result = self.write_usage(held, &record, replaced).await;
                    held.term.apply_write(record, result);
                }
                UsageStep::Send(record) => return self.send_usage(held, &record).await,
            }
        }
        true
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

    fn count_usage(&self, written: Option<u64>, ended: u64, oldest: u64) -> Option<UsageRecord> {
        let mut usage = self.gateway.usage.lock();
        usage.forget_before(oldest.saturating_sub(1));
        let window = usage.next_window(written, ended, oldest)?;
        Some(UsageRecord { window, counts: usage.total(window) })
    }

    /// Writes down what will be reported, in place of the record of a revision.
    async fn write_usage(&self, held: &Held, record: &UsageRecord, replaced: u64) -> WriteResult {
        let Ok(value) = serde_json::to_vec(record) else { return WriteResult::Unknown };
        let put = Put { key: self.key("usage"), value, lease: 0 };
        let compares = vec![
            Compare { key: self.key("duty"), revision: held.holder.fence },
            Compare { key: self.key("usage"), revision: replaced },
        ];
        let commit = Commit { compares, puts: vec![put], removes: Vec::new() };
        match self.gateway.shared.kv.txn(Purpose::Duty, commit).await {
            Ok(txn) if txn.succeeded => WriteResult::Done(txn.revision),
            Ok(_) => WriteResult::Refused,
            Err(_) => WriteResult::Unknown,
        }
    }

    async fn send_usage(&self, held: &mut Held, record: &UsageRecord) -> bool {
        if !Self::holds(held) {
            return true;
        }
        let counts: &BTreeMap<_, _> = &record.counts;
        let answer = self.duties.report_usage(&held.holder, record.window, counts).await;
        let total: u64 = counts.values().sum();
        let (fence, window) = (held.holder.fence, record.window);
        info!("event=usage-reported window={window} requests={total} fence={fence} answer={answer:?}");
        held.term.apply_answer(answer);
        answer != DutyAnswer::Refused
    }
}

fn read_record(row: &Row) -> Option<UsageRecord> {
    let record = serde_json::from_slice(&row.value);
    if let Err(error) = &record {
        warn!("event=usage-record-unreadable key={:?} revision={} error={error:?}", row.key, row.revision);
    }
    record.ok()
}
