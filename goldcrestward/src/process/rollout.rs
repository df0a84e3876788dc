//! Drives the moves to new versions: one daemon holds each move, makes decisions durable, and spreads them.
//!
//! The holder is found by hashing among the present daemons. Its writes are compared with
//! the record that it last read, so a second holder, or one that wakes from a pause, writes nothing.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use tokio::time::sleep;

use super::{
    membership::{Fact, FactKind},
    rollout_record::{Evidence, Record},
    shared::Shared,
};
use crate::{
    config::VersionPlan,
    pb::{self, answer, request},
    port::{Catalog, RolloutState},
    store::{Commit, Compare, Purpose, Put, TxnOutcome},
    util::{stable_hash, unix_ms},
    version::{Decision, Outcome, Readiness, Rollout, Snapshot, Strata, Tally, TallyKey},
};

/// Time from one decision to the next.
const TICK: Duration = Duration::from_secs(1);
/// The same where moves are ordered.
const ORDERED_TICK: Duration = Duration::from_millis(500);
/// Time after which the evidence is written down anew, in ms.
const REPORT_MS: u64 = 15_000;
/// Daemons that are asked for evidence; their share of the traffic stands for all.
const SOURCES: usize = 50;
/// Daemons asked a second, on average, so that a move's holder stays within its bytes a second.
const ASKS_PER_SECOND: u64 = 10;
/// The same for a move that was ordered: it lasts seconds, and its evidence must not be older than two of them.
const ORDERED_ASKS_PER_SECOND: u64 = 25;
/// Time after the end of an ordered move in which the old version's servers stop, in ms.
const STOP_MS: u64 = 10_000;
/// Time for a daemon to give its evidence.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which steps and take-backs are spread, in ms.
const FACT_MEMORY_MS: u64 = 90 * 24 * 3_600_000;

struct Held {
    rollout: Rollout,
    record: Record,
    revision: u64,
    seen: HashMap<Arc<str>, Source>,
    next_ask: u64,
    pending: Option<Decision>,
    /// Whether the record has been read; until then nothing is written and no step is taken.
    read: bool,
}

/// What one daemon has said, with what earlier processes of that name had said.
#[derive(Default)]
struct Source {
    epoch: u64,
    past: HashMap<TallyKey, Tally>,
    now: HashMap<TallyKey, Tally>,
}

/// The moves at one daemon.
pub(crate) struct RolloutController {
    shared: Arc<Shared>,
    /// Tells operators of ordered moves; `None` where there are only planned ones.
    catalog: Option<Arc<dyn Catalog>>,
    prefix: String,
    held: HashMap<Arc<str>, Held>,
}

impl RolloutController {
    /// No moves held yet.
    pub fn new(shared: Arc<Shared>, catalog: Option<Arc<dyn Catalog>>) -> Self {
        let prefix = record_prefix(&shared.settings.site);
        Self { shared, catalog, prefix, held: HashMap::new() }
    }

    /// Holds moves until the task is dropped.
    pub async fn run(mut self) {
        while !self.learn().await {
            sleep(TICK).await;
        }
        let tick = if self.catalog.is_some() { ORDERED_TICK } else { TICK };
        loop {
            sleep(tick).await;
            // Facts come and go, so the versions in use are worked out anew.
            self.shared.refresh_choices();
            let plans: Vec<_> = self.shared.in_force.load().site.versions.values().cloned().collect();
            self.held.retain(|name, _| plans.iter().any(|plan| plan.rollout_key == *name));
            for plan in plans {
                if plan.start_ms.is_some_and(|start| self.shared.agreed_ms() >= start) {
                    self.advance(plan).await;
                }
            }
        }
    }

    /// Learns from the service what earlier holders have recorded, as after a restart of all daemons.
    async fn learn(&self) -> bool {
        match read_records(&self.shared, &self.prefix).await {
            Some(records) => {
                records.iter().for_each(|(record, _)| self.spread(record));
                true
            }
            None => self.shared.daemon_count() > 1,
        }
    }

    fn is_mine(&self, version: &str) -> bool {
        let view = self.shared.view.lock();
        view.owner(&format!("move/{version}")).name == view.local().name
    }

    async fn advance(&mut self, plan: VersionPlan) {
        if !self.is_mine(&plan.rollout_key) {
            self.held.remove(&plan.rollout_key);
            return;
        }
        let name = plan.rollout_key.clone();
        if self.held.get(&name).is_none_or(|held| !held.read) {
            self.take(&plan).await;
        }
        if self.is_ordered(&plan) && !self.begin(&plan).await {
            return;
        }
        let Some(held) = self.held.get_mut(&name) else { return };
        if held.record.outcome.is_some() {
            let record = held.record.clone();
            return self.stop_choosing(&plan, &record);
        }
        let plan = begun(plan, held.record.begun_ms);
        held.rollout.set_plan(plan.clone());
        let now = self.shared.now();
        if now >= held.next_ask {
            let asked = ask_sources(&self.shared, &plan, &mut held.seen).await;
            let rate = if plan.mode.is_ordered() { ORDERED_ASKS_PER_SECOND } else { ASKS_PER_SECOND };
            held.next_ask = now + asked * 1_000 / rate;
        }
        let snapshot = read(&self.shared, &plan, &held.seen);
        let raised = self.shared.view.lock().facts().get(FactKind::TakenBack, &name).cloned();
        let Some(held) = self.held.get_mut(&name) else { return };
        let decision = match (raised, held.pending.take()) {
            (Some(fact), _) => Some(Decision::End(Outcome::RolledBack, fact.note.to_string())),
            (None, Some(pending)) => Some(pending),
            (None, None) => held.rollout.decide(&snapshot),
        };
        let evidence = Evidence::from(held.rollout.evidence());
        let obstacle = held.rollout.obstacle(&snapshot).unwrap_or_default();
        held.record.evidence = evidence;
        held.record.obstacle = obstacle.to_owned();
        if !held.read {
            // Without the record only taking back is safe.
            if let Some(decision @ Decision::End(Outcome::RolledBack, _)) = decision {
                self.take_back_unread(&name, decision);
            }
            return;
        }
        match decision {
            Some(decision) => self.decide(&name, decision).await,
            None => self.report(&name).await,
        }
    }

    /// Whether the move was ordered, so that operators wait for word of it.
    fn is_ordered(&self, plan: &VersionPlan) -> bool {
        self.catalog.is_some() && plan.mode.is_ordered()
    }

    /// Writes down that an ordered move has begun, and when; false as long as that is not certain.
    async fn begin(&mut self, plan: &VersionPlan) -> bool {
        let name = &plan.rollout_key;
        let Some(held) = self.held.get(name) else { return false };
        if held.revision > 0 || !held.read {
            return true;
        }
        let now = self.shared.agreed_ms();
        let holder = self.shared.settings.name.clone();
        let begun_ms = plan.start_ms.map_or(now, |start| start.min(now));
        let record = Record { begun_ms, at_ms: now, holder, ..held.record.clone() };
        let result = self.write(&record, 0).await;
        let Some(held) = self.held.get_mut(name) else { return false };
        let txn = match result {
            Ok(txn) => txn,
            Err(error) => {
                warn!("event=move-begin-failed version={name} error={error:?}");
                return false;
            }
        };
        if !txn.succeeded {
            self.held.remove(name);
            return false;
        }
        info!("event=move-begun version={name} begun_ms={begun_ms}");
        held.revision = txn.revision;
        held.record = record;
        true
    }

    /// Lets any version serve again some time after an ordered move has ended in full.
    fn stop_choosing(&self, plan: &VersionPlan, record: &Record) {
        let over = self.shared.agreed_ms() >= record.at_ms + STOP_MS;
        let known =
            self.shared.view.lock().facts().get(FactKind::Step, &plan.rollout_key).map_or(0, |f| f.value as usize);
        if over
            && record.step > plan.steps.len()
            && !Rollout::has_old_version_stopped(plan, known)
            && plan.mode.is_ordered()
        {
            self.state_step(record, record.step + 1);
        }
    }

    /// Writes the evidence down now and then, so that operators see it through any daemon.
    async fn report(&mut self, name: &Arc<str>) {
        let Some(held) = self.held.get(name) else { return };
        let now = self.shared.agreed_ms();
        if now.saturating_sub(held.record.at_ms) < REPORT_MS {
            return;
        }
        let record = Record { at_ms: now, ..held.record.clone() };
        let result = self.write(&record, held.revision).await;
        let Some(held) = self.held.get_mut(name) else { return };
        match result {
            Ok(txn) if txn.succeeded => {
                held.revision = txn.revision;
                held.record = record;
            }
            Ok(_) => {
                self.held.remove(name);
            }
            Err(_) => held.record.at_ms = now,
        }
    }

    async fn write(&self, record: &Record, revision: u64) -> Result<TxnOutcome, crate::store::Error> {
        let key = format!("{}{}", self.prefix, record.version);
        let compare = Compare { key: key.clone(), revision };
        let put = Put { key, value: serde_json::to_vec(record).unwrap_or_default(), lease: 0 };
        // The record comes last, so that the revision of the whole is its own.
        let puts = self.status(record).into_iter().chain([put]).collect();
        let commit = Commit { compares: vec![compare], puts, removes: Vec::new() };
        self.shared.kv.txn(Purpose::Rollout, commit).await
    }

    /// What operators are told of an ordered move; it is written together with the move's record.
    fn status(&self, record: &Record) -> Option<Put> {
        let in_force = self.shared.in_force.load();
        let plan = in_force.site.versions.values().find(|plan| plan.rollout_key == record.version)?;
        let state = match record.outcome.as_deref() {
            None => RolloutState::Running,
            Some(outcome) if outcome == Outcome::Completed.label() => RolloutState::Completed,
            Some(_) => RolloutState::RolledBack,
        };
        let catalog = self.catalog.as_ref().filter(|_| plan.mode.is_ordered())?;
        let (key, value) = catalog.rollout_status(&plan.pool, &plan.name, state);
        Some(Put { key, value: value.into_bytes(), lease: 0 })
    }

    /// Reads the record of a move that this daemon begins to hold. Without an answer of the service
    /// it holds the move by what the site's facts say.
    async fn take(&mut self, plan: &VersionPlan) {
        let name = plan.rollout_key.clone();
        let records = read_records(&self.shared, &self.prefix).await;
        let read = records.is_some();
        let found = records.into_iter().flatten().find(|(record, _)| record.version == name);
        let known = self.shared.view.lock().facts().get(FactKind::Step, &name).map_or(0, |f| f.value as usize);
        let fresh = Record { version: name.clone(), step: if read { 0 } else { known }, ..Record::default() };
        let (record, revision) = found.unwrap_or((fresh, 0));
        if let Some(held) = self.held.get_mut(&name).filter(|_| !read) {
            held.record.step = known;
            return;
        }
        if read {
            self.spread(&record);
        }
        info!("event=move-held version={name} step={} read={read}", record.step);
        let earlier = self.held.remove(&name);
        let (seen, pending) = earlier.map(|held| (held.seen, held.pending)).unwrap_or_default();
        let rollout = Rollout::new(plan.clone(), record.step, self.shared.agreed_ms());
        self.held.insert(name, Held { rollout, record, revision, seen, next_ask: 0, pending, read });
    }

    /// Takes a version back while its record cannot be read; the outcome is written once it can.
    fn take_back_unread(&mut self, name: &Arc<str>, decision: Decision) {
        let Some(held) = self.held.get_mut(name) else { return };
        let Decision::End(_, reason) = &decision else { return };
        let outcome = Some(Outcome::RolledBack.label().to_owned());
        let record = Record { outcome, reason: reason.clone(), ..held.record.clone() };
        held.pending = Some(decision);
        self.spread(&record);
    }

    async fn decide(&mut self, name: &Arc<str>, decision: Decision) {
        let Some(held) = self.held.get(name) else { return };
        let revision = held.revision;
        let mut record =
            Record { at_ms: self.shared.agreed_ms(), holder: self.shared.settings.name.clone(), ..held.record.clone() };
        match &decision {
            Decision::Advance(step) => record.step = *step,
            Decision::End(outcome, reason) => {
                if *outcome == Outcome::Completed {
                    record.step = held.rollout.steps() + 1;
                }
                record.outcome = Some(outcome.label().into());
                record.reason.clone_from(reason);
            }
        }
        if let Decision::End(Outcome::RolledBack, _) = &decision {
            // Taking back is safe without the service, so it does not wait for it.
            self.spread(&record);
        }
        let result = self.write(&record, revision).await;
        let Some(held) = self.held.get_mut(name) else { return };
        match result {
            Ok(txn) if txn.succeeded => {
                held.revision = txn.revision;
                held.record = record.clone();
                held.rollout.apply(&decision, self.shared.agreed_ms());
                self.recorded(&record);
            }
            // Another holder, or an earlier try of this one, has written: read the record anew.
            Ok(_) => {
                self.held.remove(name);
            }
            // A version taken back stays so; every other decision is taken anew on what is known then.
            Err(_) if matches!(decision, Decision::End(Outcome::RolledBack, _)) => held.pending = Some(decision),
            Err(_) => {}
        }
    }

    fn recorded(&self, record: &Record) {
        self.spread(record);
        let (version, step) = (&record.version, record.step);
        match &record.outcome {
            None => info!("event=move-step version={version} step={step}"),
            Some(outcome) => {
                self.shared.metrics.moves.with_label_values(&[outcome]).inc();
                info!("event=move-ended version={version} outcome={outcome} reason={:?}", record.reason);
            }
        }
    }

    /// States what a record says as facts.
    fn spread(&self, record: &Record) {
        let until_ms = unix_ms() + FACT_MEMORY_MS;
        let note: Arc<str> = record.reason.as_str().into();
        let key = record.version.clone();
        if record.outcome.as_deref() == Some(Outcome::RolledBack.label()) {
            let kind = FactKind::TakenBack;
            self.shared.publish_fact(Fact { kind, key, value: 1, until_ms, note });
        } else if record.step > 0 {
            self.state_step(record, record.step);
        }
        self.shared.refresh_choices();
    }

    fn state_step(&self, record: &Record, step: usize) {
        let until_ms = unix_ms() + FACT_MEMORY_MS;
        let (key, note) = (record.version.clone(), record.reason.as_str().into());
        self.shared.publish_fact(Fact { kind: FactKind::Step, key, value: step as u64, until_ms, note });
        self.shared.refresh_choices();
    }
}

/// Prefix of the records of a site's moves.
pub(crate) fn record_prefix(site: &str) -> String {
    format!("/goldcrestward/{site}/moves/")
}

/// The records of all moves with their revisions; `None` if the service does not answer.
pub(crate) async fn read_records(shared: &Shared, prefix: &str) -> Option<Vec<(Record, u64)>> {
    let (rows, _) = shared.kv.list(Purpose::Rollout, prefix, 0).await.ok()?;
    let parse = |row: crate::store::Row| Some((serde_json::from_slice(&row.value).ok()?, row.revision));
    Some(rows.into_iter().filter_map(parse).collect())
}

/// Asks daemons for what they have counted; gives how many were asked.
async fn ask_sources(shared: &Arc<Shared>, plan: &VersionPlan, seen: &mut HashMap<Arc<str>, Source>) -> u64 {
    let mut versions = old_versions(shared, plan);
    versions.push(plan.name.clone());
    let asked = sources(shared, &plan.rollout_key);
    let count = asked.len() as u64;
    let asks = asked.into_iter().map(|(name, address)| ask(shared.clone(), name, address, versions.clone()));
    for (name, report) in join_all(asks).await.into_iter().flatten() {
        seen.entry(name).or_default().take(report);
    }
    count
}

/// What is known of a move now.
fn read(shared: &Shared, plan: &VersionPlan, seen: &HashMap<Arc<str>, Source>) -> Snapshot {
    let olds = old_versions(shared, plan);
    let mut strata = Strata::new();
    for (TallyKey { version, route, zone }, tally) in seen.values().flat_map(Source::rows) {
        let pair = strata.entry((route.clone(), zone.clone())).or_default();
        if *version == plan.name {
            pair.new.add(tally);
        } else if olds.contains(version) {
            pair.old.add(tally);
        }
    }
    let pool = shared.replicas.pool(&plan.pool);
    let ready = |new: bool| pool.iter().filter(|r| (r.version == plan.name) == new && !r.is_leaving()).count();
    let old = if olds.is_empty() { 0 } else { ready(false) };
    Snapshot { now_ms: shared.agreed_ms(), strata, ready: Readiness { new: ready(true), old } }
}

/// A plan with the start of its move as it was written down, and the date that follows from it.
fn begun(plan: VersionPlan, begun_ms: u64) -> VersionPlan {
    let (Some(start), Some(date)) = (plan.start_ms, plan.date_ms) else { return plan };
    if begun_ms == 0 {
        return plan;
    }
    VersionPlan { start_ms: Some(begun_ms), date_ms: Some(begun_ms + (date - start)), ..plan }
}

/// The versions that a move leads away from: those that serve, where the one in use has no plan.
fn old_versions(shared: &Shared, plan: &VersionPlan) -> Vec<Arc<str>> {
    if !plan.mode.is_ordered() {
        let base = shared.base_version(&plan.pool).filter(|base| *base != plan.name);
        return vec![base.unwrap_or_else(|| previous(shared, plan))];
    }
    let mut versions: Vec<Arc<str>> = Vec::new();
    for replica in shared.replicas.pool(&plan.pool) {
        if replica.version != plan.name && !versions.contains(&replica.version) {
            versions.push(replica.version.clone());
        }
    }
    versions
}

/// The version that was in use before the one that now has all traffic.
fn previous(shared: &Shared, plan: &VersionPlan) -> Arc<str> {
    let in_force = shared.in_force.load();
    let earlier = in_force.site.versions.values().filter(|v| v.pool == plan.pool && v.start_ms < plan.start_ms);
    earlier.max_by_key(|v| v.start_ms).map_or_else(|| Arc::from(""), |v| v.name.clone())
}

/// The daemons asked for evidence: the same ones for a whole move.
fn sources(shared: &Shared, version: &str) -> Vec<(Arc<str>, Option<SocketAddr>)> {
    let view = shared.view.lock();
    let me = view.local().name.clone();
    let mut present: Vec<_> = view.present().map(|m| (m.name.clone(), m.address)).collect();
    present.sort_by_key(|(name, _)| stable_hash(&[version.as_bytes(), name.as_bytes()]));
    present.truncate(SOURCES);
    present.into_iter().map(|(name, address)| (name.clone(), (name != me).then_some(address))).collect()
}

async fn ask(
    shared: Arc<Shared>,
    name: Arc<str>,
    address: Option<SocketAddr>,
    versions: Vec<Arc<str>>,
) -> Option<(Arc<str>, pb::EvidenceReport)> {
    let Some(address) = address else { return Some((name, evidence_report(&shared, &versions))) };
    let versions = versions.iter().map(ToString::to_string).collect();
    let body = request::Body::AskEvidence(pb::AskEvidence { versions });
    match shared.peer_client.request(address, body, ASK_TIMEOUT).await.ok()? {
        answer::Body::EvidenceReport(report) => Some((name, report)),
        _ => None,
    }
}

/// What this daemon has counted on some versions.
pub(crate) fn evidence_report(shared: &Shared, versions: &[Arc<str>]) -> pb::EvidenceReport {
    pb::EvidenceReport { epoch: shared.epoch, evidence: shared.evidence.export(versions) }
}

impl Source {
    fn take(&mut self, report: pb::EvidenceReport) {
        if report.epoch != self.epoch {
            let ended = std::mem::take(&mut self.now);
            for (key, tally) in ended {
                self.past.entry(key).or_default().add(tally);
            }
            self.epoch = report.epoch;
        }
        self.now.clear();
        for row in report.evidence {
            let tally = Tally { count: row.good + row.failed, failed: row.failed, slow: row.slow };
            let key = TallyKey { version: row.version.into(), route: row.route.into(), zone: row.zone.into() };
            self.now.entry(key).or_default().add(tally);
        }
    }

    fn rows(&self) -> impl Iterator<Item = (&TallyKey, Tally)> {
        self.past.iter().chain(&self.now).map(|(key, tally)| (key, *tally))
    }
}
