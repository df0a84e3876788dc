//! The tables that all parts of a daemon share.
//!
//! Lock order: `config` before `view`; no other lock is held while either is taken, and
//! no lock is held across an await.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use prometheus::IntGauge;
use tokio::sync::{Notify, Semaphore};
use tokio_util::task::TaskTracker;

use super::{
    clock::{AgreedClock, boot_ms},
    exchange::Exchange,
    life::StageView,
    limits::AccountLimits,
    membership::{Fact, View},
    metrics::Metrics,
    replicas::{Replica, Replicas},
    settings::Settings,
};
use crate::{
    config::{ConfigReplica, Site},
    connection::{HttpClient, PeerLinks},
    ledger::Ledger,
    pb,
    request::{Budgets, Refusal},
    store::Kv,
    util::unix_ms,
    version::{EvidenceTable, Sample, TallyKey, VersionChoice, VersionRule, version_choice},
};

/// Time to the first token above which a request counts as late, in seconds.
const LATE_SECONDS: f64 = 0.34;

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// Its revision, 0 before the first.
    pub revision: u64,
    /// Its content.
    pub site: Site,
}

/// The tables that all parts of a daemon share.
pub(crate) struct Shared {
    /// The daemon's settings.
    pub settings: Settings,
    /// Its metrics.
    pub metrics: Metrics,
    /// The configuration in force.
    pub in_force: ArcSwap<InForce>,
    /// The files of the configuration.
    pub config: Mutex<ConfigReplica>,
    /// The other daemons.
    pub view: Arc<Mutex<View>>,
    /// The backend servers.
    pub replicas: Replicas,
    /// The client towards back ends.
    pub client: HttpClient,
    /// Streams to other daemons.
    pub links: PeerLinks,
    /// The platform's key-value service.
    pub kv: Kv,
    /// The ledger of calls that may not be repeated.
    pub ledger: Ledger,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Limits of accounts.
    pub limits: Arc<AccountLimits>,
    /// Evidence on versions.
    pub evidence: EvidenceTable,
    /// The versions in use, by pool.
    pub choices: ArcSwap<HashMap<Arc<str>, VersionChoice>>,
    /// The time of day that daemons agree on.
    pub clock: Mutex<AgreedClock>,
    /// Daemons that take part, this one included.
    pub daemons: AtomicUsize,
    /// Whether the platform's list of instances has been read.
    pub listed: AtomicBool,
    /// This daemon's time in ms of the last trouble with the platform's store; 0 for none.
    pub store_trouble: AtomicU64,
    /// This daemon's time in ms at which it last heard a digest of another daemon.
    pub heard_peer: AtomicU64,
    /// Lets one configuration be pulled from a peer at a time.
    pub pulls: Arc<Semaphore>,
    /// Told when the files of the configuration have changed.
    pub config_changed: Notify,
    /// Told when the configuration shall be announced to other daemons.
    pub announce: Notify,
    /// Takes in what other daemons tell several times a second.
    pub exchange: OnceLock<Exchange>,
    /// Told when other daemons should hear of this one's use at once.
    pub tell_peers: Notify,
    /// Where the daemon stands in its life.
    pub stage: StageView,
    /// Tasks that end requests whose callers are gone.
    pub tasks: TaskTracker,
    /// Start of the daemon.
    pub start: Instant,
    /// Unix time in ms of the daemon's start.
    pub epoch: u64,
}

impl Shared {
    /// Time since the daemon's start, in ms.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// States a fact, which gossip spreads from here.
    pub fn state(&self, fact: Fact) {
        let now = self.now();
        self.view.lock().state(fact, now, unix_ms());
    }

    /// Daemons that take part, this one included.
    pub fn present(&self) -> usize {
        self.daemons.load(Ordering::Relaxed)
    }

    /// Takes in files of the configuration; the compiler then puts them into force.
    pub fn take_config(&self, delta: pb::ConfigDelta, way: &str) -> bool {
        let newer = self.config.lock().merge(delta);
        if newer {
            self.metrics.config_changes.with_label_values(&[way]).inc();
            self.config_changed.notify_one();
            self.announce.notify_one();
        }
        newer
    }

    /// Works out anew which versions serve, after a change of configuration or facts.
    pub fn refresh_choices(&self) {
        let in_force = self.in_force.load();
        let view = self.view.lock();
        let pools = in_force.site.pools.keys();
        let choices =
            pools.filter_map(|pool| Some((pool.clone(), version_choice(&in_force.site, view.facts(), pool)?)));
        self.choices.store(Arc::new(choices.collect()));
    }

    /// The version that serves a conversation, if the pool has versions.
    pub fn choose_version(&self, pool: &Arc<str>, conversation: u64) -> Option<Arc<str>> {
        let choices = self.choices.load();
        let choice = choices.get(pool)?;
        let moved = choice.next_for(conversation).filter(|next| self.replicas.serves(pool, |v| *v == ***next));
        moved.cloned().or_else(|| choice.base.clone())
    }

    /// The versions that may serve a conversation.
    pub fn version_rule(&self, pool: &Arc<str>, conversation: u64) -> VersionRule {
        let choices = self.choices.load();
        let Some(choice) = choices.get(pool) else { return VersionRule::Any };
        let serves = |rule: &VersionRule| self.replicas.serves(pool, |version| rule.allows(version));
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

    /// Unix time in ms, as the daemons agree on it.
    pub fn agreed_ms(&self) -> u64 {
        self.clock.lock().now(unix_ms(), boot_ms())
    }

    /// The version in use, if the pool has versions.
    pub fn base_version(&self, pool: &Arc<str>) -> Option<Arc<str>> {
        self.choices.load().get(pool).and_then(|choice| choice.base.clone())
    }

    /// Counts how a request went at a replica.
    pub fn observe(&self, replica: &Replica, route: &Arc<str>, sample: Sample) {
        let (version, zone) = (replica.version.clone(), replica.zone.clone());
        self.evidence.count(TallyKey { version, route: route.clone(), zone }, sample);
    }

    /// Counts a late first token.
    pub fn observe_first(&self, replica: &Replica, route: &Arc<str>, seconds: f64) {
        if seconds > LATE_SECONDS {
            self.observe(replica, route, Sample::Slow);
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = [refusal.reason.label(), refusal.run.label()];
        self.metrics.refusals.with_label_values(&labels).inc();
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(IntGauge);

impl InFlight {
    /// One more request in flight.
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
