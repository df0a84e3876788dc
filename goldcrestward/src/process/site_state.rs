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

use super::{
    duty::OWN_PREFIX,
    shared::{InForce, Shared},
    verdict_keeper::apply_verdict,
};
use crate::{
    config::{Site, VersionPlan},
    pb,
    port::{Catalog, Entry, Instance, RolloutOrder},
    store::{Change, Changes, Error, Purpose, Row},
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
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after a failed call to the store in which a removed entry may come back: three heartbeats.
const STORE_ERROR_WINDOW_MS: u64 = 4_000;
/// Time for a running server to restore an entry that expired while the store was unavailable.
const REMOVAL_GRACE_MS: u64 = 2_200;
/// Interval between checks for instances whose grace time has ended.
const REMOVAL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

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
        Self { shared, catalog, orders: Arc::default() }
    }

    /// Reads and watches the store until the task is dropped, while this daemon is a watcher.
    pub async fn watch(self) {
        loop {
            if self.shared.config.lock().revision() > 0 && !self.is_watcher() {
                sleep(ROLE_INTERVAL).await;
                continue;
            }
            if let Err(error) = self.follow().await {
                self.record_store_error(&error);
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                sleep(pause).await;
            }
        }
    }

    async fn follow(&self) -> Result<(), Error> {
        let (rows, revision) = self.shared.kv.list(Purpose::Site, self.catalog.prefix(), 0).await?;
        let rows = rows.into_iter().filter(|row| self.is_relevant(&row.key));
        let listing = pb::ConfigDelta { revision, files: rows.filter_map(row_to_file).collect(), whole: true };
        let known = self.shared.config.lock().revision();
        let files = listing.files.len();
        if self.shared.config.lock().replace(listing) {
            self.notify_changed("listing");
        }
        info!("event=state-listed revision={revision} files={files} known={known}");
        let mut watch = self.shared.kv.watch(Purpose::Site, self.catalog.prefix(), revision).await?;
        loop {
            let Changes { changes, revision } = watch.next().await?;
            let files = changes.into_iter().filter_map(|change| self.changed_file(change)).collect::<Vec<_>>();
            let any = !files.is_empty();
            let known = self.shared.config.lock().revision();
            if any && revision < known {
                warn!("event=changes-dropped revision={revision} files={} known={known}", files.len());
            }
            let newer = self.shared.config.lock().merge(pb::ConfigDelta { revision, files, whole: false });
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

    /// Whether this daemon reads the store itself. The others rely on their peers, as long as they hear the relay of their zone.
    fn is_watcher(&self) -> bool {
        let since_relay = self.shared.now().saturating_sub(self.shared.last_relay_ms.load(Ordering::Relaxed));
        since_relay > RELAY_SILENCE_MS || self.is_ranked_watcher()
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

    fn changed_file(&self, change: Change) -> Option<pb::ConfigFile> {
        match change {
            Change::Put(row) if self.is_relevant(&row.key) => row_to_file(row),
            Change::Removed(key, revision) if self.is_relevant(&key) => {
                Some(pb::ConfigFile { name: key, revision, text: None })
            }
            _ => None,
        }
    }

    /// Applies changes of the copy until the task is dropped.
    pub async fn apply(self) {
        let mut applied = 0;
        let mut pending_removals = BTreeMap::new();
        loop {
            tokio::select! {
                () = self.shared.config_changed.notified() => {}
                () = sleep(REMOVAL_CHECK_INTERVAL), if !pending_removals.is_empty() => {}
            }
            let delta = self.shared.config.lock().delta(applied);
            applied = delta.revision;
            let mut instances = Vec::new();
            for file in delta.files {
                self.apply_file(file, &mut instances, &mut pending_removals);
            }
            self.shared.replicas.update(instances, self.shared.now());
            self.shared.instances_listed.store(true, Ordering::Relaxed);
            self.remove_due(&mut pending_removals);
        }
    }

    fn apply_file(
        &self,
        file: pb::ConfigFile,
        instances: &mut Vec<Instance>,
        pending_removals: &mut BTreeMap<Arc<str>, u64>,
    ) {
        let id: Option<Arc<str>> = self.catalog.instance_id(&file.name).map(Into::into);
        let Some(text) = &file.text else {
            let Some(id) = id else { return self.apply_order(&file, None) };
            let grace = if self.had_recent_store_error() { REMOVAL_GRACE_MS } else { 0 };
            info!("event=instance-removed instance={id} revision={} grace_ms={grace}", file.revision);
            pending_removals.insert(id, self.shared.now() + grace);
            return;
        };
        match self.catalog.parse(&file.name, text) {
            Ok(Entry::Site(site)) => self.apply_site(file.revision, *site),
            Ok(Entry::Instance(instance)) => {
                pending_removals.remove(&instance.id);
                let (id, pool, state) = (&instance.id, &instance.pool, instance.state);
                info!("event=instance-changed instance={id} pool={pool} state={state:?} revision={}", file.revision);
                instances.push(instance);
            }
            Ok(Entry::Rollout(order)) => self.apply_order(&file, Some(order)),
            Ok(Entry::Other) => apply_verdict(&self.shared, &file.name, text),
            Err(error) => {
                warn!("event=entry-refused key={:?} revision={} error={error:?}", file.name, file.revision);
                // The instance that an unreadable entry names must not be used, whatever the entry said before.
                if let Some(id) = id {
                    pending_removals.insert(id, self.shared.now());
                }
            }
        }
    }

    fn had_recent_store_error(&self) -> bool {
        let last_error = self.shared.last_store_error_ms.load(Ordering::Relaxed);
        self.shared.kv.is_failing() || (last_error > 0 && self.shared.now() < last_error + STORE_ERROR_WINDOW_MS)
    }

    fn remove_due(&self, pending_removals: &mut BTreeMap<Arc<str>, u64>) {
        let now = self.shared.now();
        let due: Vec<_> =
            pending_removals.iter().filter(|(_, remove_at)| **remove_at <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            pending_removals.remove(&id);
            self.shared.replicas.remove(&id, now);
        }
    }

    /// Applies an order for a rollout, or removes the order if its entry is gone.
    fn apply_order(&self, file: &pb::ConfigFile, order: Option<RolloutOrder>) {
        let mut orders = self.orders.lock();
        match order {
            None if !orders.contains_key(&file.name) => return,
            None => {
                info!("event=move-withdrawn key={:?} revision={}", file.name, file.revision);
                orders.remove(&file.name);
            }
            Some(order) => {
                let RolloutOrder { pool, version, duration } = &order;
                let (duration, ms) = (*duration, duration.as_millis());
                info!("event=move-ordered pool={pool} version={version} ms={ms} revision={}", file.revision);
                self.shared.evidence.remove_version(version);
                let plan = ordered_plan(order.pool, order.version, duration, file.revision, self.shared.agreed_ms());
                orders.insert(file.name.clone(), plan);
            }
        }
        drop(orders);
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

    fn apply_site(&self, revision: u64, site: Site) {
        if revision <= self.shared.in_force.load().revision {
            return;
        }
        let site = self.with_orders(site);
        let (routes, accounts) = (site.routes.len(), site.accounts.len());
        self.shared.in_force.store(Arc::new(InForce { revision, site }));
        self.shared.metrics.config_revision.set(revision as i64);
        self.shared.metrics.config_since.set(unix_ms() as i64);
        self.shared.refresh_version_choices();
        info!("event=config-in-force revision={revision} routes={routes} accounts={accounts}");
    }
}

/// Number of daemons of each region that read the store, at a site of so many regions.
fn watchers_per_region(regions: usize) -> usize {
    MIN_WATCHERS.div_ceil(regions.max(1)).max(REGION_WATCHERS)
}

fn row_to_file(row: Row) -> Option<pb::ConfigFile> {
    match String::from_utf8(row.value.to_vec()) {
        Ok(text) => Some(pb::ConfigFile { name: row.key, revision: row.revision, text: Some(text) }),
        Err(_) => {
            warn!("event=entry-refused key={:?} revision={} error=\"not UTF-8\"", row.key, row.revision);
            // Empty text is just as unreadable, so it is propagated in place of the value.
            Some(pb::ConfigFile { name: row.key, revision: row.revision, text: Some(String::new()) })
        }
    }
}
