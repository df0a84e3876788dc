//! Keeps a local copy of the site's state from the platform's store and applies its changes.
//!
//! A daemon that does not read the store itself gets changes from its peers, because daemons synchronize
//! this copy with each other by revision.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::{info, warn};
use parking_lot::Mutex;
use rand::Rng;
use tokio::time::sleep;

use super::delayed::Delayed;
use crate::{
    config::{Site, VersionPlan},
    pb::{self, FileOrigin},
    port::{Catalog, Entry, Instance, RolloutOrder},
    process::{
        duty::{OWN_PREFIX, is_earlier_record},
        shared::{InForce, Shared},
        verdict_keeper::apply_verdict,
    },
    store::{Change, Changes, Error, Purpose, Revision, Row},
    util::unix_ms,
    version::ordered_plan,
};

/// Number of daemons per region that read the store, so that one may fail or be turned away.
const REGION_WATCHERS: usize = 2;
/// Minimum number of daemons that read the store, at a site of few regions.
const MIN_WATCHERS: usize = 4;
/// Interval at which a daemon re-evaluates whether it reads the store.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message of a relay after which a daemon reads the store itself.
const RELAY_SILENCE_MS: u64 = 1_500;
/// Time for which the store holds a long poll open while nothing changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after a failed call to the store in which a removed entry may come back: three heartbeats.
const STORE_ERROR_WINDOW_MS: u64 = 4_000;
/// Longest entry of a server, in bytes.
const MAX_INSTANCE_BYTES: usize = 16 * 1024;
/// Interval between checks for delayed changes that are due.
const DELAYED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the site's state in the platform's store and applies it.
#[derive(Clone)]
pub(crate) struct SiteState {
    shared: Arc<Shared>,
    catalog: Arc<dyn Catalog>,
    /// Rollouts ordered by operators, by the key of the store entry.
    orders: Arc<Mutex<BTreeMap<String, VersionPlan>>>,
}

impl SiteState {
    pub fn new(shared: Arc<Shared>, catalog: Arc<dyn Catalog>) -> Self {
        let precedence = catalog.clone();
        let is_outdated = move |key: &str, value: &str, known: &str| {
            precedence.is_outdated(key, value, known) || is_earlier_record(key, value, known)
        };
        shared.config.lock().set_precedence(Arc::new(is_outdated));
        Self { shared, catalog, orders: Arc::default() }
    }

    /// Reads and watches the store until the task is dropped, while this daemon is a watcher.
    pub async fn watch(self) {
        let mut last_overdue = Revision::NONE;
        loop {
            let is_known = !self.shared.config.lock().revision().is_none();
            if is_known && !self.is_watcher() {
                sleep(ROLE_INTERVAL).await;
                continue;
            }
            let wanted = self.shared.pull_lag.lock().wanted();
            if self.is_behind_peers() && wanted != last_overdue {
                last_overdue = wanted;
                let own = self.shared.config.lock().revision();
                info!("event=pulls-overdue revision={own} wanted={wanted}");
            }
            if let Err(error) = self.follow().await {
                self.record_store_error(&error);
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                sleep(pause).await;
            }
        }
    }

    async fn follow(&self) -> Result<(), Error> {
        let (rows, revision) = self.shared.kv.list(Purpose::Site, self.catalog.prefix(), Revision::NONE).await?;
        let rows = rows.into_iter().filter(|row| self.is_relevant(&row.key));
        let files = rows.map(|row| self.row_to_file(row)).collect();
        let listing = pb::ConfigDelta { revision: revision.ordinal(), files, whole: true, next: None };
        let known = self.shared.config.lock().revision();
        let files = listing.files.len();
        if self.shared.config.lock().replace(listing) {
            self.notify_changed("listing");
        }
        info!("event=state-listed revision={revision} files={files} known={known}");
        let mut watch = self.shared.kv.watch(Purpose::Site, self.catalog.prefix(), revision).await?;
        loop {
            let Changes { changes, revision: watched } = tokio::select! {
                changes = watch.next(LONG_POLL_WAIT) => changes?,
                // Another call has been answered from a new history, in which the watch may miss changes.
                () = self.shared.kv.history_ended(revision.history()) => return Ok(()),
            };
            let files = changes.into_iter().filter_map(|change| self.changed_file(change)).collect::<Vec<_>>();
            let any = !files.is_empty();
            let known = self.shared.config.lock().revision();
            if any && watched < known {
                warn!("event=changes-dropped revision={watched} files={} known={known}", files.len());
            }
            let newer = self.shared.config.lock().merge(pb::ConfigDelta {
                revision: watched.ordinal(),
                files,
                whole: false,
                next: None,
            });
            if newer && any {
                self.notify_changed("watch");
            }
            if !self.is_watcher() {
                return Ok(());
            }
        }
    }

    fn is_relevant(&self, key: &str) -> bool {
        self.catalog.is_relevant(key) || key.starts_with(OWN_PREFIX)
    }

    /// Whether this daemon reads the store itself. The others rely on their peers, as long as they hear the relay of
    /// their zone and get from them what they announce.
    fn is_watcher(&self) -> bool {
        let since_relay = self.shared.now().saturating_sub(self.shared.last_relay_ms.load(Ordering::Relaxed));
        since_relay > RELAY_SILENCE_MS || self.is_behind_peers() || self.is_ranked_watcher()
    }

    /// Whether this daemon's peers have announced a revision that it has not got from them in time.
    fn is_behind_peers(&self) -> bool {
        let own = self.shared.config.lock().revision();
        self.shared.pull_lag.lock().is_overdue(own, self.shared.now())
    }

    /// Whether this daemon is one of those of its region that read the store while they hear each other.
    fn is_ranked_watcher(&self) -> bool {
        let (rank, regions) = self.shared.view.lock().region_rank("site-watch");
        rank < watchers_per_region(regions)
    }

    fn record_store_error(&self, error: &Error) {
        if matches!(error, Error::Compacted { .. }) {
            info!("event=store-history-lost");
            return;
        }
        self.shared.last_store_error_ms.store(self.shared.now().max(1), Ordering::Relaxed);
    }

    fn notify_changed(&self, source: &str) {
        self.shared.metrics.config_changes.with_label_values(&[source]).inc();
        self.shared.config_changed.notify_one();
        self.shared.announce.notify_one();
    }

    /// Converts a row. Text that no server's entry can be is propagated as empty text, which is just as unreadable:
    /// others may write entries of any length there, and every daemon keeps them.
    fn row_to_file(&self, row: Row) -> pb::ConfigFile {
        let Row { key, revision, value, .. } = row;
        let is_long = self.catalog.instance_id(&key).is_some() && value.len() > MAX_INSTANCE_BYTES;
        let text = if is_long { Err("too long") } else { String::from_utf8(value.to_vec()).map_err(|_| "not UTF-8") };
        let text = text.unwrap_or_else(|error| {
            warn!("event=entry-refused key={key:?} revision={revision} bytes={} error={error:?}", value.len());
            String::new()
        });
        let mut file =
            pb::ConfigFile { name: key, revision: revision.ordinal(), text: Some(text), ..pb::ConfigFile::default() };
        // Servers' entries are many, and change with each heartbeat.
        if self.catalog.instance_id(&file.name).is_none() {
            file.reader = self.shared.settings.name.to_string();
            file.read_ms = self.shared.agreed_ms();
        }
        file
    }

    fn changed_file(&self, change: Change) -> Option<pb::ConfigFile> {
        match change {
            Change::Put(row) if self.is_relevant(&row.key) => Some(self.row_to_file(row)),
            Change::Removed(key, revision) if self.is_relevant(&key) => {
                Some(pb::ConfigFile { name: key, revision: revision.ordinal(), ..pb::ConfigFile::default() })
            }
            _ => None,
        }
    }

    /// Applies changes of the copy until the task is dropped.
    pub async fn apply(self) {
        let mut applied = 0;
        let mut delayed = Delayed::default();
        loop {
            tokio::select! {
                () = self.shared.config_changed.notified() => {}
                () = sleep(DELAYED_CHECK_INTERVAL), if !delayed.is_empty() => {}
            }
            let (files, changes) = self.shared.config.lock().changes_since(applied);
            applied = changes;
            let mut instances = Vec::new();
            for file in files {
                self.apply_file(file, &mut instances, &mut delayed);
            }
            let now = self.shared.now();
            let due = delayed.take_due(now);
            instances.extend(due.returned);
            self.shared.replicas.update(instances, now);
            self.shared.instances_listed.store(true, Ordering::Relaxed);
            due.removed.iter().for_each(|id| self.shared.replicas.remove(id, now));
            due.withdrawn.iter().for_each(|key| self.withdraw_order(key));
        }
    }

    fn apply_file(&self, file: pb::ConfigFile, instances: &mut Vec<Instance>, delayed: &mut Delayed) {
        let id: Option<Arc<str>> = self.catalog.instance_id(&file.name).map(Into::into);
        let (origin, now) = (file.origin(), self.shared.now());
        let revision = Revision::from_ordinal(file.revision);
        let Some(text) = &file.text else {
            match id {
                Some(id) => {
                    let grace = delayed.remove(id.clone(), origin, self.had_recent_store_error(), now);
                    info!("event=instance-removed instance={id} revision={revision} grace_ms={grace}");
                }
                None if delayed.keeps_order(&file.name, origin, now) => {}
                None => self.withdraw_order(&file.name),
            }
            return;
        };
        match self.catalog.parse(&file.name, text) {
            Ok(Entry::Site(site)) => self.apply_site(revision, *site, &file),
            Ok(Entry::Instance(instance)) => {
                let (id, pool, state) = (instance.id.clone(), instance.pool.clone(), instance.state);
                let used = delayed.use_server(instance, origin, now);
                let held_back = used.is_none();
                if origin != FileOrigin::Kept {
                    info!(
                        "event=instance-changed instance={id} pool={pool} state={state:?} revision={revision} held_back={held_back}"
                    );
                }
                // Entries that a restored store still has would only start the warm-up again.
                instances
                    .extend(used.filter(|used| origin != FileOrigin::Kept || !self.shared.replicas.is_known(&used.id)));
            }
            Ok(Entry::Rollout(order)) => {
                delayed.order_written(&file.name);
                self.apply_order(&file, order);
            }
            Ok(Entry::Other) => apply_verdict(&self.shared, &file.name, text),
            Err(error) => {
                warn!("event=entry-refused key={:?} revision={revision} error={error:?}", file.name);
                // The instance that an unreadable entry names must not be used, whatever the entry said before.
                if let Some(id) = id {
                    delayed.remove(id, FileOrigin::Written, false, now);
                }
            }
        }
    }

    fn had_recent_store_error(&self) -> bool {
        let last_error = self.shared.last_store_error_ms.load(Ordering::Relaxed);
        self.shared.kv.is_failing() || (last_error > 0 && self.shared.now() < last_error + STORE_ERROR_WINDOW_MS)
    }

    /// Applies an order for a rollout.
    fn apply_order(&self, file: &pb::ConfigFile, order: RolloutOrder) {
        // An order that is written again after a restore is the same order.
        let revision = Revision::from_ordinal(if file.first_seen > 0 { file.first_seen } else { file.revision });
        let RolloutOrder { pool, version, duration } = order;
        let ms = duration.as_millis();
        let plan = ordered_plan(pool, version, duration, revision, self.shared.agreed_ms());
        if self.orders.lock().get(&file.name).is_some_and(|known| known.rollout_key == plan.rollout_key) {
            return;
        }
        info!("event=move-ordered pool={} version={} ms={ms} revision={revision}", plan.pool, plan.name);
        self.shared.evidence.remove_version(&plan.name);
        self.orders.lock().insert(file.name.clone(), plan);
        self.orders_changed();
    }

    /// Removes an order whose entry is gone.
    fn withdraw_order(&self, key: &str) {
        if self.orders.lock().remove(key).is_some() {
            info!("event=move-withdrawn key={key:?}");
            self.orders_changed();
        }
    }

    fn orders_changed(&self) {
        let in_force = self.shared.in_force.load();
        let (revision, site) = (in_force.revision, in_force.site.clone());
        self.shared.in_force.store(Arc::new(InForce { revision, site: self.with_orders(site) }));
        self.shared.refresh_version_choices();
    }

    fn with_orders(&self, site: Site) -> Site {
        let orders = self.orders.lock();
        let versions = orders.values().map(|plan| (plan.rollout_key.clone(), plan.clone())).collect();
        Site { versions, ..site }
    }

    fn apply_site(&self, revision: Revision, site: Site, file: &pb::ConfigFile) {
        let in_force = self.shared.in_force.load();
        let (version, known) = (site.version, in_force.site.version);
        if version < known {
            warn!("event=config-outdated revision={revision} version={version} in_force={known}");
            return;
        }
        if version == known && revision <= in_force.revision {
            return;
        }
        let site = self.with_orders(site);
        let (routes, accounts) = (site.routes.len(), site.accounts.len());
        self.shared.in_force.store(Arc::new(InForce { revision, site }));
        self.shared.metrics.config_revision.set(revision.ordinal() as i64);
        self.shared.metrics.config_since.set(unix_ms() as i64);
        self.shared.refresh_version_choices();
        // Builds up to 03a0b72 do not say who read it.
        let reader = if file.reader.is_empty() { "-" } else { &file.reader };
        let source = if *reader == *self.shared.settings.name { "store" } else { "peers" };
        let age_ms = (file.read_ms > 0).then(|| self.shared.agreed_ms().saturating_sub(file.read_ms));
        if let Some(age_ms) = age_ms {
            self.shared.metrics.config_delay.observe(age_ms as f64 / 1e3);
        }
        let age_ms = age_ms.map_or_else(|| "-".to_owned(), |age_ms| age_ms.to_string());
        info!(
            "event=config-in-force revision={revision} version={version} routes={routes} accounts={accounts} \
             source={source} reader={reader} age_ms={age_ms}"
        );
    }
}

/// Number of daemons of each region that read the store, at a site of so many regions.
fn watchers_per_region(regions: usize) -> usize {
    MIN_WATCHERS.div_ceil(regions.max(1)).max(REGION_WATCHERS)
}
