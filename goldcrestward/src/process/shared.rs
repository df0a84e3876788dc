//! State that all components of a daemon share.
//!
//! Lock order: `config` before `view`. No other lock is held while either is acquired, and
//! no lock is held across an await.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use prometheus::IntGauge;
use tokio::sync::{Notify, Semaphore};
use tokio_util::task::TaskTracker;

use super::{
    brittle::DaemonRank,
    clock::{AgreedClock, boot_ms},
    crash_evidence::CrashEvidence,
    exchange::Exchange,
    lifecycle::StageView,
    lifetime::Lifetime,
    limits::AccountLimits,
    line_budget::LineBudget,
    membership::{Fact, View},
    metrics::Metrics,
    replicas::{Replica, Replicas},
    response_memory::{RequestBodies, ResponseMemory},
    run_times::RunTimes,
    settings::Settings,
    state::{Freshness, LineLimit, Refusals},
};
use crate::{
    config::{ConfigReplica, Site},
    connection::{CarriedConnections, HttpClient, PeerClient},
    ledger::Ledger,
    pb,
    request::{Refusal, RouteRetryBudgets},
    store::{Kv, Revision},
    util::unix_ms,
    version::{EvidenceTable, Sample, TallyKey, VersionChoice, VersionRule, version_choice},
};

/// Time to first token above which a request counts as slow.
const SLOW_FIRST_TOKEN_SECONDS: f64 = 0.34;

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// [`Revision::NONE`] until the first configuration takes effect.
    pub revision: Revision,
    pub site: Site,
}

/// State that all components of a daemon share.
pub(crate) struct Shared {
    pub settings: Settings,
    pub metrics: Metrics,
    pub in_force: ArcSwap<InForce>,
    /// The daemon's copy of the configuration files, which daemons also synchronize with each other.
    pub config: Mutex<ConfigReplica>,
    /// Membership of the site as this daemon sees it.
    pub view: Arc<Mutex<View>>,
    pub replicas: Replicas,
    /// HTTP client for back ends.
    pub client: HttpClient,
    /// Memory for the responses that are kept.
    pub response_memory: ResponseMemory,
    /// Memory for the bodies of requests that are kept.
    pub request_bodies: RequestBodies,
    /// Connections to other daemons.
    pub peer_client: PeerClient,
    /// The platform's key-value store.
    pub kv: Kv,
    /// The ledger of calls that must not run more than once.
    pub ledger: Ledger,
    /// Evidence on which prompt parts crash replicas.
    pub crash_evidence: Mutex<CrashEvidence>,
    /// Limits the retries of each route at this daemon.
    pub route_retry_budgets: RouteRetryBudgets,
    pub limits: Arc<AccountLimits>,
    /// Results of requests, counted per version.
    pub evidence: EvidenceTable,
    /// The versions that serve each pool, by pool; pools without versions are absent.
    pub version_choices: ArcSwap<HashMap<Arc<str>, VersionChoice>>,
    /// Wall-clock time agreed among the daemons.
    pub clock: Mutex<AgreedClock>,
    /// Number of daemons that take part, including this one.
    pub daemons: AtomicUsize,
    /// Position of this daemon in the order of their names.
    pub rank: AtomicUsize,
    /// Whether the platform's list of instances has been read.
    pub instances_listed: AtomicBool,
    /// Time of the last error while reading the site's state from the platform's store, in ms since the daemon's
    /// start; 0 if there was none.
    pub last_store_error_ms: AtomicU64,
    /// Whether this daemon holds the duties.
    pub holds_duties: AtomicBool,
    /// How often this daemon has asked others for what they know from before a restore of the store.
    pub kept_pulls: AtomicU32,
    /// How old this daemon's knowledge of the store is.
    pub freshness: Mutex<Freshness>,
    /// Entries of the platform's services that are refused.
    pub refusals: Refusals,
    /// Limits the log lines on pulls that failed: each datagram of a peer that is ahead begins one.
    pub pull_failures: Mutex<LineLimit>,
    /// Limits the log lines on requests with a part of a prompt that cannot be read.
    pub unread_parts: Mutex<LineLimit>,
    /// Limits pulls of the configuration from peers to one at a time.
    pub pull_permit: Arc<Semaphore>,
    /// Limits pulls of which more pieces follow, which may take long, to one at a time.
    pub long_pull_permit: Semaphore,
    /// Notified when configuration files have changed.
    pub config_changed: Notify,
    /// Notified when the configuration revision is to be announced to other daemons.
    pub announce: Notify,
    /// Exchanges load and usage with other daemons; set only if the daemon serves a platform's back ends.
    pub exchange: OnceLock<Exchange>,
    /// Notified when a report is to be sent without waiting for the next interval.
    pub report_due: Notify,
    /// Lifecycle stage of the daemon.
    pub stage: StageView,
    /// Connections to backend servers that this daemon carries for peers.
    pub carried: CarriedConnections,
    /// When this daemon ends.
    pub lifetime: Lifetime,
    /// Lines on requests that are sent to servers during the stop.
    pub stop_lines: LineBudget,
    /// How long the requests of each route take.
    pub run_times: RunTimes,
    /// Tasks that finish requests whose callers have disconnected.
    pub tasks: TaskTracker,
    /// The task that carries out the duties, which ends once they are released.
    pub duty_task: TaskTracker,
    pub start: Instant,
    /// Unix time of the daemon's start in ms, which tells restarts under the same name apart.
    pub epoch: u64,
}

impl Shared {
    /// Time since the daemon's start, in ms.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a fact, which gossip then propagates to the other daemons.
    pub fn publish_fact(&self, fact: Fact) {
        let now = self.now();
        self.view.lock().add_fact(fact, now, unix_ms());
    }

    /// Learns of the store's history from a revision that another daemon knows.
    pub fn learn_history(&self, revision: Revision) {
        if self.kv.history().number.is_some_and(|known| known < revision.history()) {
            self.kv.learn_history(revision.history());
        }
    }

    /// Number of daemons that take part, including this one.
    pub fn daemon_count(&self) -> usize {
        self.daemons.load(Ordering::Relaxed)
    }

    /// This daemon's place among those that take part.
    pub fn daemon_rank(&self) -> DaemonRank {
        DaemonRank { rank: self.rank.load(Ordering::Relaxed), count: self.daemon_count() }
    }

    /// Merges newer configuration files and wakes the task that applies them; returns whether any was newer.
    ///
    /// `source` is the metric label for where they came from.
    pub fn merge_config(&self, delta: pb::ConfigDelta, source: &str) -> bool {
        let newer = self.config.lock().merge(delta);
        if newer {
            self.metrics.config_changes.with_label_values(&[source]).inc();
            self.config_changed.notify_one();
            self.announce.notify_one();
        }
        newer
    }

    /// Recomputes which versions serve, after a change of the configuration or of facts.
    pub fn refresh_version_choices(&self) {
        let in_force = self.in_force.load();
        let view = self.view.lock();
        let pools = in_force.site.pools.keys();
        let choices =
            pools.filter_map(|pool| Some((pool.clone(), version_choice(&in_force.site, view.facts(), pool)?)));
        self.version_choices.store(Arc::new(choices.collect()));
    }

    /// Returns the version that serves a conversation, if the pool has versions.
    pub fn choose_version(&self, pool: &Arc<str>, conversation: u64) -> Option<Arc<str>> {
        let choices = self.version_choices.load();
        let choice = choices.get(pool)?;
        let new_version =
            choice.next_for(conversation).filter(|next| self.replicas.serves(pool, |v| *v == ***next, self.now()));
        new_version.cloned().or_else(|| choice.base.clone())
    }

    /// Returns which versions may serve a conversation.
    pub fn version_rule(&self, pool: &Arc<str>, conversation: u64) -> VersionRule {
        let choices = self.version_choices.load();
        let Some(choice) = choices.get(pool) else { return VersionRule::Any };
        let serves = |rule: &VersionRule| self.replicas.serves(pool, |version| rule.allows(version), self.now());
        if let Some(next) = choice.next_for(conversation) {
            let rule = VersionRule::Only(next.clone());
            if serves(&rule) {
                return rule;
            }
        }
        let rule = choice.in_use();
        if serves(&rule) {
            return rule;
        }
        choice.fallback()
    }

    /// Unix time in ms as agreed among the daemons.
    pub fn agreed_ms(&self) -> u64 {
        self.clock.lock().now(unix_ms(), boot_ms())
    }

    /// Returns the base version, if the pool has versions.
    pub fn base_version(&self, pool: &Arc<str>) -> Option<Arc<str>> {
        self.version_choices.load().get(pool).and_then(|choice| choice.base.clone())
    }

    /// Counts a request's result for the version, route and zone of a replica.
    pub fn observe(&self, replica: &Replica, route: &Arc<str>, sample: Sample) {
        let (version, zone) = (replica.version.clone(), replica.zone.clone());
        self.evidence.count(TallyKey { version, route: route.clone(), zone }, sample);
    }

    /// Counts a slow first token.
    pub fn observe_first_token(&self, replica: &Replica, route: &Arc<str>, seconds: f64) {
        if seconds > SLOW_FIRST_TOKEN_SECONDS {
            self.observe(replica, route, Sample::Slow);
        }
    }

    pub fn count_refusal(&self, refusal: &Refusal) {
        let labels = [refusal.reason.label(), refusal.run.label()];
        self.metrics.refusals.with_label_values(&labels).inc();
    }
}

/// Counts a request as in flight until this guard is dropped.
pub(crate) struct InFlight(IntGauge);

impl InFlight {
    pub fn new(shared: &Shared) -> Self {
        shared.metrics.in_flight.inc();
        Self(shared.metrics.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}
