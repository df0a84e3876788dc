//! Runs rollouts: for each one, a single daemon makes the decisions, stores them and gossips them.
//!
//! This holder is chosen by hashing over the present daemons. It writes by compare-and-swap on the record that it last
//! read, so the writes of a second holder, or of one that resumes after a pause, fail.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use tokio::time::sleep;

use super::{
    membership::{Fact, FactKind},
    rollout_record::{EvidenceSummary, RolloutRecord, read_records, record_prefix},
    shared::Shared,
};
use crate::{
    config::VersionPlan,
    pb::{self, answer, request},
    port::{Catalog, RolloutState},
    store::{Compare, Purpose, Put, Revision, Txn, TxnOutcome},
    util::{stable_hash, unix_ms},
    version::{Decision, Outcome, Readiness, Rollout, Snapshot, Strata, Tally, TallyKey},
};

/// Interval between two decisions.
const TICK: Duration = Duration::from_secs(1);
/// The same where rollouts can be ordered.
const ORDERED_TICK: Duration = Duration::from_millis(500);
/// Interval at which the stored evidence is refreshed.
const RECORD_REFRESH_MS: u64 = 15_000;
/// Minimum time between two log lines on what holds a step back.
const OBSTACLE_LOG_MS: u64 = 2_000;
/// Maximum number of daemons queried for evidence; their share of the traffic is taken as a sample of the whole.
const MAX_SOURCES: usize = 50;
/// Average rate of evidence queries, which bounds the traffic of a rollout's holder.
const QUERIES_PER_SECOND: u64 = 10;
/// The same for an ordered rollout: it lasts seconds, and its evidence must be at most two seconds old.
const ORDERED_QUERIES_PER_SECOND: u64 = 25;
/// Time after the end of an ordered rollout within which the old version's servers stop.
const OLD_SERVERS_STOP_MS: u64 = 10_000;
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which steps and rollbacks are gossiped.
const FACT_TTL_MS: u64 = 90 * 24 * 3_600_000;

struct HeldRollout {
    rollout: Rollout,
    record: RolloutRecord,
    revision: Revision,
    /// Evidence by daemon.
    sources: HashMap<Arc<str>, Source>,
    next_query_ms: u64,
    /// When the daemons were last queried, and how many answered.
    queried: (u64, usize),
    obstacle_log: ObstacleLog,
    /// A rollback that is not stored yet.
    pending: Option<Decision>,
    /// Whether the record has been read; until then nothing is written and no step is taken.
    read: bool,
    /// Whether the site knows more than the stored record says, as a restore of the store has lost a write.
    unsaved: bool,
}

/// What the latest log line said to hold a step back, and when it was written.
#[derive(Clone, Copy, Debug, Default)]
struct ObstacleLog {
    obstacle: &'static str,
    at_ms: u64,
}

/// Tallies reported by one daemon, including those of earlier processes with its name.
#[derive(Default)]
struct Source {
    epoch: u64,
    earlier: HashMap<TallyKey, Tally>,
    current: HashMap<TallyKey, Tally>,
}

/// Runs the rollouts that one daemon holds.
pub(crate) struct RolloutController {
    shared: Arc<Shared>,
    /// Encodes the status of ordered rollouts for operators; `None` where there are only planned ones.
    catalog: Option<Arc<dyn Catalog>>,
    prefix: String,
    held: HashMap<Arc<str>, HeldRollout>,
    /// History of the store that the held records were read in.
    history: Option<u64>,
}

impl RolloutController {
    /// Creates a controller that holds no rollout yet.
    pub fn new(shared: Arc<Shared>, catalog: Option<Arc<dyn Catalog>>) -> Self {
        let prefix = record_prefix(&shared.settings.site);
        Self { shared, catalog, prefix, held: HashMap::new(), history: None }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        while !self.load_records().await {
            sleep(TICK).await;
        }
        let tick = if self.catalog.is_some() { ORDERED_TICK } else { TICK };
        loop {
            sleep(tick).await;
            // Facts are added and expire, so the choice of versions is recomputed on each tick.
            self.shared.refresh_version_choices();
            let plans: Vec<_> = self.shared.in_force.load().site.versions.values().cloned().collect();
            self.follow_history();
            self.held.retain(|name, _| plans.iter().any(|plan| plan.rollout_key == *name));
            for plan in plans {
                if plan.start_ms.is_some_and(|start| self.shared.agreed_ms() >= start) {
                    self.advance(plan).await;
                }
            }
        }
    }

    /// Has all records read again after a restore of the store, which may have lost them.
    fn follow_history(&mut self) {
        let history = self.shared.kv.history().number;
        if self.history != history {
            self.history = history;
            self.held.values_mut().for_each(|held| held.read = false);
        }
    }

    /// Publishes what earlier holders recorded, as no daemon knows it after a restart of all of them. Returns false if
    /// the store does not answer and there is no other daemon to learn it from.
    async fn load_records(&self) -> bool {
        match read_records(&self.shared, &self.prefix).await {
            Some(records) => {
                records.iter().filter_map(|stored| stored.record.as_ref()).for_each(|record| self.publish(record));
                true
            }
            None => self.shared.daemon_count() > 1,
        }
    }

    fn is_holder(&self, version: &str) -> bool {
        let view = self.shared.view.lock();
        view.owner(&format!("move/{version}")).name == view.local().name
    }

    async fn advance(&mut self, plan: VersionPlan) {
        if !self.is_holder(&plan.rollout_key) {
            self.held.remove(&plan.rollout_key);
            return;
        }
        let name = plan.rollout_key.clone();
        if self.held.get(&name).is_none_or(|held| !held.read) {
            self.take_over(&plan).await;
        }
        if self.is_ordered(&plan) && !self.record_start(&plan).await {
            return;
        }
        if !self.save_record(&name).await {
            return;
        }
        let Some(held) = self.held.get_mut(&name) else { return };
        if held.record.outcome.is_some() {
            let record = held.record.clone();
            return self.end_version_choice(&plan, &record);
        }
        let plan = with_recorded_start(plan, held.record.begun_ms);
        held.rollout.set_plan(plan.clone());
        let now = self.shared.now();
        if now >= held.next_query_ms {
            let (queried, answered) = query_sources(&self.shared, &plan, &mut held.sources).await;
            held.queried = (now, answered);
            let rate = if plan.mode.is_ordered() { ORDERED_QUERIES_PER_SECOND } else { QUERIES_PER_SECOND };
            held.next_query_ms = now + queried * 1_000 / rate;
        }
        let snapshot = take_snapshot(&self.shared, &plan, &held.sources);
        let rollback = self.shared.view.lock().facts().get(FactKind::TakenBack, &name).cloned();
        let Some(held) = self.held.get_mut(&name) else { return };
        let decision = match (rollback, held.pending.take()) {
            (Some(fact), _) => Some(Decision::End(Outcome::RolledBack, fact.note.to_string())),
            (None, Some(pending)) => Some(pending),
            (None, None) => {
                let was_waiting = held.rollout.is_waiting();
                let decision = held.rollout.decide(&snapshot);
                if held.rollout.is_waiting() != was_waiting {
                    let state = if was_waiting { "left-out" } else { "awaited" };
                    info!("event=move-late-burst version={name} state={state} evidence={:?}", held.rollout.evidence());
                }
                decision
            }
        };
        let evidence = EvidenceSummary::from(held.rollout.evidence());
        let obstacle = held.rollout.obstacle(&snapshot).unwrap_or_default();
        held.log_obstacle(&snapshot, now);
        held.record.evidence = evidence;
        held.record.obstacle = obstacle.to_owned();
        if !held.read {
            // Without the record, only a rollback is safe.
            if let Some(decision @ Decision::End(Outcome::RolledBack, _)) = decision {
                self.roll_back_unread(&name, decision);
            }
            return;
        }
        match decision {
            Some(decision) => self.execute(&name, decision).await,
            None => self.refresh_record(&name).await,
        }
    }

    /// Whether an operator ordered the rollout and waits for its status.
    fn is_ordered(&self, plan: &VersionPlan) -> bool {
        self.catalog.is_some() && plan.mode.is_ordered()
    }

    /// Records the start time of an ordered rollout. Returns false until the record is known to be stored.
    async fn record_start(&mut self, plan: &VersionPlan) -> bool {
        let name = &plan.rollout_key;
        let Some(held) = self.held.get(name) else { return false };
        if !held.revision.is_none() || !held.read {
            return true;
        }
        let now = self.shared.agreed_ms();
        let holder = self.shared.settings.name.clone();
        let begun_ms = plan.start_ms.map_or(now, |start| start.min(now));
        let record = RolloutRecord { begun_ms, at_ms: now, holder, ..held.record.clone() };
        let result = self.write_record(&record, Revision::NONE).await;
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
        held.unsaved = false;
        true
    }

    /// Stores a record again of which a restore of the store has lost a part. Returns false until it is stored.
    async fn save_record(&mut self, name: &Arc<str>) -> bool {
        let Some(held) = self.held.get(name) else { return false };
        if !held.unsaved || !held.read {
            return true;
        }
        let record = RolloutRecord { at_ms: self.shared.agreed_ms(), ..held.record.clone() };
        let result = self.write_record(&record, held.revision).await;
        let Some(held) = self.held.get_mut(name) else { return false };
        match result {
            Ok(txn) if txn.succeeded => {
                info!("event=move-record-restored version={name} step={} outcome={:?}", record.step, record.outcome);
                held.revision = txn.revision;
                held.record = record;
                held.unsaved = false;
                true
            }
            Ok(_) => {
                held.read = false;
                false
            }
            Err(error) => {
                warn!("event=move-record-unsaved version={name} error={error:?}");
                false
            }
        }
    }

    /// Lets any version serve again some time after an ordered rollout has completed.
    fn end_version_choice(&self, plan: &VersionPlan, record: &RolloutRecord) {
        let is_due = self.shared.agreed_ms() >= record.at_ms + OLD_SERVERS_STOP_MS;
        let known_step =
            self.shared.view.lock().facts().get(FactKind::Step, &plan.rollout_key).map_or(0, |f| f.value as usize);
        if is_due
            && record.step > plan.steps.len()
            && !Rollout::has_old_version_stopped(plan, known_step)
            && plan.mode.is_ordered()
        {
            self.publish_step(record, record.step + 1);
        }
    }

    /// Stores the evidence at intervals, so that operators can see it through any daemon.
    async fn refresh_record(&mut self, name: &Arc<str>) {
        let Some(held) = self.held.get(name) else { return };
        let now = self.shared.agreed_ms();
        if now.saturating_sub(held.record.at_ms) < RECORD_REFRESH_MS {
            return;
        }
        let record = RolloutRecord { at_ms: now, ..held.record.clone() };
        let result = self.write_record(&record, held.revision).await;
        let Some(held) = self.held.get_mut(name) else { return };
        match result {
            Ok(txn) if txn.succeeded => {
                held.revision = txn.revision;
                held.record = record;
            }
            // Read again, with the evidence that this holder has.
            Ok(_) => held.read = false,
            Err(_) => held.record.at_ms = now,
        }
    }

    async fn write_record(
        &self,
        record: &RolloutRecord,
        revision: Revision,
    ) -> Result<TxnOutcome, crate::store::Error> {
        let key = format!("{}{}", self.prefix, record.version);
        let compare = Compare { key: key.clone(), revision };
        let put = Put { key, value: serde_json::to_vec(record).unwrap_or_default(), lease: 0 };
        // The record comes last, so that the revision of the transaction is that of the record.
        let puts = self.status_entry(record).into_iter().chain([put]).collect();
        let commit = Txn { compares: vec![compare], puts, removes: Vec::new() };
        self.shared.kv.txn(Purpose::Rollout, commit).await
    }

    /// Entry that tells operators the status of an ordered rollout; it is written together with the record.
    fn status_entry(&self, record: &RolloutRecord) -> Option<Put> {
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

    /// Reads the record of a rollout that this daemon starts to hold. If the store does not answer, the daemon uses
    /// the step in the site's facts.
    async fn take_over(&mut self, plan: &VersionPlan) {
        let name = plan.rollout_key.clone();
        let records = read_records(&self.shared, &self.prefix).await;
        let read = records.is_some();
        let key = format!("{}{name}", self.prefix);
        let found = records.into_iter().flatten().find(|stored| stored.key == key);
        let known_step = self.shared.view.lock().facts().get(FactKind::Step, &name).map_or(0, |f| f.value as usize);
        let fresh = RolloutRecord {
            version: name.clone(),
            step: if read { 0 } else { known_step },
            ..RolloutRecord::default()
        };
        let revision = found.as_ref().map_or(Revision::NONE, |stored| stored.revision);
        // What cannot be read is replaced.
        let is_unreadable = found.as_ref().is_some_and(|stored| stored.record.is_none());
        let stored = found.and_then(|stored| stored.record).unwrap_or(fresh);
        let record = self.with_known_state(stored.clone(), plan);
        let unsaved = is_unreadable || record != stored;
        if let Some(held) = self.held.get_mut(&name).filter(|_| !read) {
            held.record.step = known_step;
            return;
        }
        if read {
            self.publish(&record);
        }
        info!("event=move-held version={name} step={} read={read}", record.step);
        let earlier = self.held.remove(&name);
        let new_rollout = || Rollout::new(plan.clone(), record.step, self.shared.agreed_ms());
        let (sources, pending, rollout) = match earlier {
            // The same holder goes on after a restore of the store.
            Some(held) if held.rollout.step() == record.step => (held.sources, held.pending, held.rollout),
            Some(held) => (held.sources, held.pending, new_rollout()),
            None => (HashMap::new(), None, new_rollout()),
        };
        self.held.insert(
            name,
            HeldRollout {
                rollout,
                record,
                revision,
                sources,
                next_query_ms: 0,
                queried: (self.shared.now(), 0),
                obstacle_log: ObstacleLog::default(),
                pending,
                read,
                unsaved,
            },
        );
    }

    /// Adds what the site's facts say of a rollout to its record, which may be older.
    fn with_known_state(&self, mut record: RolloutRecord, plan: &VersionPlan) -> RolloutRecord {
        let view = self.shared.view.lock();
        let step = view.facts().get(FactKind::Step, &plan.rollout_key).map_or(0, |fact| fact.value as usize);
        let last = plan.steps.len() + 1;
        record.step = record.step.max(step.min(last));
        if record.outcome.is_some() {
            return record;
        }
        if let Some(fact) = view.facts().get(FactKind::TakenBack, &plan.rollout_key) {
            record.outcome = Some(Outcome::RolledBack.label().into());
            record.reason = fact.note.to_string();
        } else if step >= last {
            record.outcome = Some(Outcome::Completed.label().into());
        }
        record
    }

    /// Rolls a version back while its record cannot be read; the outcome is stored once it can.
    fn roll_back_unread(&mut self, name: &Arc<str>, decision: Decision) {
        let Some(held) = self.held.get_mut(name) else { return };
        let Decision::End(_, reason) = &decision else { return };
        let outcome = Some(Outcome::RolledBack.label().to_owned());
        let record = RolloutRecord { outcome, reason: reason.clone(), ..held.record.clone() };
        held.pending = Some(decision);
        self.publish(&record);
    }

    /// Stores a decision and publishes it.
    async fn execute(&mut self, name: &Arc<str>, decision: Decision) {
        let Some(held) = self.held.get(name) else { return };
        let revision = held.revision;
        let mut record = RolloutRecord {
            at_ms: self.shared.agreed_ms(),
            holder: self.shared.settings.name.clone(),
            ..held.record.clone()
        };
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
            // A rollback is safe even if it is not stored, so it does not wait for the store.
            self.publish(&record);
        }
        let result = self.write_record(&record, revision).await;
        let Some(held) = self.held.get_mut(name) else { return };
        match result {
            Ok(txn) if txn.succeeded => {
                held.revision = txn.revision;
                held.record = record.clone();
                held.rollout.apply(&decision, self.shared.agreed_ms());
                let evidence = held.log_evidence(self.shared.now());
                self.publish_decision(&record, &evidence);
            }
            // Another holder, or an earlier attempt of this one, has written the record: it must be read again.
            Ok(_) => held.read = false,
            // A rollback is final and is retried; any other decision is made anew with the evidence of the next tick.
            Err(_) if matches!(decision, Decision::End(Outcome::RolledBack, _)) => held.pending = Some(decision),
            Err(_) => {}
        }
    }

    /// Publishes a stored decision, logs it and counts the outcome.
    fn publish_decision(&self, record: &RolloutRecord, evidence: &str) {
        self.publish(record);
        let (version, step) = (&record.version, record.step);
        match &record.outcome {
            None => info!("event=move-step version={version} step={step} {evidence}"),
            Some(outcome) => {
                self.shared.metrics.rollouts.with_label_values(&[outcome]).inc();
                let reason = &record.reason;
                info!("event=move-ended version={version} outcome={outcome} reason={reason:?} {evidence}");
            }
        }
    }

    /// Publishes the state of a rollout as facts, which are gossiped.
    fn publish(&self, record: &RolloutRecord) {
        let until_ms = unix_ms() + FACT_TTL_MS;
        let note: Arc<str> = record.reason.as_str().into();
        let key = record.version.clone();
        if record.outcome.as_deref() == Some(Outcome::RolledBack.label()) {
            let kind = FactKind::TakenBack;
            self.shared.publish_fact(Fact { kind, key, value: 1, until_ms, note });
        } else if record.step > 0 {
            self.publish_step(record, record.step);
        }
        self.shared.refresh_version_choices();
    }

    fn publish_step(&self, record: &RolloutRecord, step: usize) {
        let until_ms = unix_ms() + FACT_TTL_MS;
        let (key, note) = (record.version.clone(), record.reason.as_str().into());
        self.shared.publish_fact(Fact { kind: FactKind::Step, key, value: step as u64, until_ms, note });
        self.shared.refresh_version_choices();
    }
}

/// Queries daemons for their tallies. Returns how many were queried, and how many answered.
async fn query_sources(
    shared: &Arc<Shared>,
    plan: &VersionPlan,
    known: &mut HashMap<Arc<str>, Source>,
) -> (u64, usize) {
    let mut versions = old_versions(shared, plan);
    versions.push(plan.name.clone());
    let selected = select_sources(shared, &plan.rollout_key);
    let count = selected.len() as u64;
    let queries =
        selected.into_iter().map(|(name, address)| query_source(shared.clone(), name, address, versions.clone()));
    let mut answered = 0;
    for (name, report) in join_all(queries).await.into_iter().flatten() {
        known.entry(name).or_default().apply_report(report);
        answered += 1;
    }
    (count, answered)
}

/// Collects the input of a rollout's next decision.
fn take_snapshot(shared: &Shared, plan: &VersionPlan, sources: &HashMap<Arc<str>, Source>) -> Snapshot {
    let old_names = old_versions(shared, plan);
    let mut strata = Strata::new();
    for (TallyKey { version, route, zone }, tally) in sources.values().flat_map(Source::tallies) {
        let pair = strata.entry((route.clone(), zone.clone())).or_default();
        if *version == plan.name {
            pair.new.add(tally);
        } else if old_names.contains(version) {
            pair.old.add(tally);
        }
    }
    let servers = shared.replicas.servers(&plan.pool, shared.now());
    let ready = |new: bool| servers.iter().filter(|r| (r.version == plan.name) == new).count();
    let old = if old_names.is_empty() { 0 } else { ready(false) };
    Snapshot { now_ms: shared.agreed_ms(), strata, ready: Readiness { new: ready(true), old } }
}

/// Moves the start of a plan to the recorded one, and its date by the same time.
fn with_recorded_start(plan: VersionPlan, begun_ms: u64) -> VersionPlan {
    let (Some(start), Some(date)) = (plan.start_ms, plan.date_ms) else { return plan };
    if begun_ms == 0 {
        return plan;
    }
    VersionPlan { start_ms: Some(begun_ms), date_ms: Some(begun_ms + (date - start)), ..plan }
}

/// The versions that a rollout replaces: the one in use, or, for an ordered rollout, all that servers run, as the one in
/// use has no plan.
fn old_versions(shared: &Shared, plan: &VersionPlan) -> Vec<Arc<str>> {
    if !plan.mode.is_ordered() {
        let base = shared.base_version(&plan.pool).filter(|base| *base != plan.name);
        return vec![base.unwrap_or_else(|| previous_version(shared, plan))];
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
fn previous_version(shared: &Shared, plan: &VersionPlan) -> Arc<str> {
    let in_force = shared.in_force.load();
    let earlier = in_force.site.versions.values().filter(|v| v.pool == plan.pool && v.start_ms < plan.start_ms);
    earlier.max_by_key(|v| v.start_ms).map_or_else(|| Arc::from(""), |v| v.name.clone())
}

/// Selects the daemons to query for evidence, the same ones throughout a rollout.
fn select_sources(shared: &Shared, version: &str) -> Vec<(Arc<str>, Option<SocketAddr>)> {
    let view = shared.view.lock();
    let own_name = view.local().name.clone();
    let mut present: Vec<_> = view.present().map(|m| (m.name.clone(), m.address)).collect();
    present.sort_by_key(|(name, _)| stable_hash(&[version.as_bytes(), name.as_bytes()]));
    present.truncate(MAX_SOURCES);
    present.into_iter().map(|(name, address)| (name.clone(), (name != own_name).then_some(address))).collect()
}

async fn query_source(
    shared: Arc<Shared>,
    name: Arc<str>,
    address: Option<SocketAddr>,
    versions: Vec<Arc<str>>,
) -> Option<(Arc<str>, pb::EvidenceReport)> {
    let Some(address) = address else { return Some((name, evidence_report(&shared, &versions))) };
    let versions = versions.iter().map(ToString::to_string).collect();
    let body = request::Body::AskEvidence(pb::AskEvidence { versions });
    match shared.peer_client.request(address, body, QUERY_TIMEOUT).await.ok()? {
        answer::Body::EvidenceReport(report) => Some((name, report)),
        _ => None,
    }
}

/// This daemon's tallies of some versions.
pub(crate) fn evidence_report(shared: &Shared, versions: &[Arc<str>]) -> pb::EvidenceReport {
    pb::EvidenceReport { epoch: shared.epoch, evidence: shared.evidence.export(versions) }
}

impl HeldRollout {
    /// The evidence of the latest decision as fields of a log line.
    fn log_evidence(&self, now_ms: u64) -> String {
        let (queried_ms, answered) = self.queried;
        let age_ms = now_ms.saturating_sub(queried_ms);
        format!("{} evidence_age_ms={age_ms} evidence_sources={answered}", self.rollout.latest())
    }

    /// Logs what holds a step back when it changes.
    fn log_obstacle(&mut self, snapshot: &Snapshot, now_ms: u64) {
        let obstacle = self.rollout.held_back(snapshot).unwrap_or_default();
        let ObstacleLog { obstacle: logged, at_ms } = self.obstacle_log;
        if obstacle == logged || (at_ms > 0 && now_ms < at_ms + OBSTACLE_LOG_MS) {
            return;
        }
        self.obstacle_log = ObstacleLog { obstacle, at_ms: now_ms };
        let (version, step, evidence) = (&self.record.version, self.rollout.step(), self.log_evidence(now_ms));
        info!("event=move-obstacle version={version} step={step} obstacle={obstacle:?} {evidence}");
    }
}

impl Source {
    /// Applies a report. Tallies of an earlier process are kept, as those of a new process start from zero.
    fn apply_report(&mut self, report: pb::EvidenceReport) {
        if report.epoch != self.epoch {
            let ended = std::mem::take(&mut self.current);
            for (key, tally) in ended {
                self.earlier.entry(key).or_default().add(tally);
            }
            self.epoch = report.epoch;
        }
        self.current.clear();
        for row in report.evidence {
            let tally = Tally { count: row.good + row.failed, failed: row.failed, slow: row.slow };
            let key = TallyKey { version: row.version.into(), route: row.route.into(), zone: row.zone.into() };
            self.current.entry(key).or_default().add(tally);
        }
    }

    fn tallies(&self) -> impl Iterator<Item = (&TallyKey, Tally)> {
        self.earlier.iter().chain(&self.current).map(|(key, tally)| (key, *tally))
    }
}
