//! Keeps a copy of the site's state in the platform's store and puts its changes into force.
//!
//! What a daemon cannot read from the store itself it learns from its peers, since the copy is the
//! one that daemons exchange by revision.

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
    pace::silence_ms,
    shared::{InForce, Shared},
};
use crate::{
    config::{Site, VersionPlan},
    pb,
    port::{Catalog, Entry, Instance, MoveOrder},
    store::{Change, Changes, Error, Purpose, Row},
    util::unix_ms,
    version::ordered_plan,
};

/// Daemons of an availability zone that read the store.
const WATCHERS: usize = 3;
/// Time from one look at whether to read the store to the next.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after trouble of the store in which a removed entry may come back: three heartbeats.
const TROUBLE_MEMORY_MS: u64 = 4_000;
/// Time for a living server to restore an entry that lapsed while the store was away.
const LAPSE_GRACE_MS: u64 = 2_200;
/// Time from one look at lapsed entries to the next.
const LAPSE_CHECK: Duration = Duration::from_millis(200);

/// The site's state as this daemon knows it.
#[derive(Clone)]
pub(crate) struct SiteState {
    shared: Arc<Shared>,
    catalog: Arc<dyn Catalog>,
    /// Ordered moves by the entries that order them.
    orders: Arc<Mutex<BTreeMap<String, VersionPlan>>>,
}

impl SiteState {
    /// A copy that holds nothing yet.
    pub fn new(shared: Arc<Shared>, catalog: Arc<dyn Catalog>) -> Self {
        Self { shared, catalog, orders: Arc::default() }
    }

    /// Follows the store until the task is dropped.
    pub async fn watch(self) {
        loop {
            if self.shared.config.lock().revision() > 0 && !self.is_watcher() {
                sleep(ROLE_INTERVAL).await;
                continue;
            }
            if let Err(error) = self.follow().await {
                self.note_trouble(&error);
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                sleep(pause).await;
            }
        }
    }

    async fn follow(&self) -> Result<(), Error> {
        let (rows, revision) = self.shared.kv.list(Purpose::Site, self.catalog.prefix(), 0).await?;
        let rows = rows.into_iter().filter(|row| self.is_relevant(&row.key));
        let listing = pb::ConfigDelta { revision, files: rows.filter_map(file).collect(), whole: true };
        if self.shared.config.lock().replace(listing) {
            self.changed("listing");
        }
        let mut watch = self.shared.kv.watch(Purpose::Site, self.catalog.prefix(), revision).await?;
        loop {
            let Changes { changes, revision } = watch.next().await?;
            let files = changes.into_iter().filter_map(|change| self.changed_file(change)).collect::<Vec<_>>();
            let any = !files.is_empty();
            let newer = self.shared.config.lock().merge(pb::ConfigDelta { revision, files, whole: false });
            if newer && any {
                self.changed("watch");
            }
            if !self.is_watcher() {
                return Ok(());
            }
        }
    }

    fn is_relevant(&self, key: &str) -> bool {
        self.catalog.is_relevant(key) || key.starts_with(OWN_PREFIX)
    }

    /// Whether this daemon reads the store itself. The others learn from their peers, as long as they hear any.
    fn is_watcher(&self) -> bool {
        let silent = self.shared.now().saturating_sub(self.shared.heard_peer.load(Ordering::Relaxed));
        silent > silence_ms(self.shared.present()) || self.shared.view.lock().zone_rank("site-watch") < WATCHERS
    }

    fn note_trouble(&self, error: &Error) {
        if matches!(error, Error::Compacted { .. }) {
            info!("event=store-history-lost");
            return;
        }
        self.shared.store_trouble.store(self.shared.now().max(1), Ordering::Relaxed);
    }

    fn changed(&self, way: &str) {
        self.shared.metrics.config_changes.with_label_values(&[way]).inc();
        self.shared.config_changed.notify_one();
        self.shared.announce.notify_one();
    }

    fn changed_file(&self, change: Change) -> Option<pb::ConfigFile> {
        match change {
            Change::Put(row) if self.is_relevant(&row.key) => file(row),
            Change::Removed(key, revision) if self.is_relevant(&key) => {
                Some(pb::ConfigFile { name: key, revision, text: None })
            }
            _ => None,
        }
    }

    /// Puts changes into force until the task is dropped.
    pub async fn apply(self) {
        let mut applied = 0;
        let mut lapsed = BTreeMap::new();
        loop {
            tokio::select! {
                () = self.shared.config_changed.notified() => {}
                () = sleep(LAPSE_CHECK), if !lapsed.is_empty() => {}
            }
            let delta = self.shared.config.lock().delta(applied);
            applied = delta.revision;
            let mut instances = Vec::new();
            for file in delta.files {
                self.take(file, &mut instances, &mut lapsed);
            }
            self.shared.replicas.update(instances, self.shared.now());
            self.shared.listed.store(true, Ordering::Relaxed);
            self.expire(&mut lapsed);
        }
    }

    fn take(&self, file: pb::ConfigFile, instances: &mut Vec<Instance>, lapsed: &mut BTreeMap<Arc<str>, u64>) {
        let id: Option<Arc<str>> = self.catalog.instance_id(&file.name).map(Into::into);
        let Some(text) = &file.text else {
            let Some(id) = id else { return self.order(&file, None) };
            let grace = if self.is_store_troubled() { LAPSE_GRACE_MS } else { 0 };
            info!("event=instance-removed instance={id} revision={} grace_ms={grace}", file.revision);
            lapsed.insert(id, self.shared.now() + grace);
            return;
        };
        match self.catalog.read(&file.name, text) {
            Ok(Entry::Site(site)) => self.put_in_force(file.revision, *site),
            Ok(Entry::Instance(instance)) => {
                lapsed.remove(&instance.id);
                let (id, pool, state) = (&instance.id, &instance.pool, instance.state);
                info!("event=instance-changed instance={id} pool={pool} state={state:?} revision={}", file.revision);
                instances.push(instance);
            }
            Ok(Entry::Move(order)) => self.order(&file, Some(order)),
            Ok(Entry::Other) => {}
            Err(error) => {
                warn!("event=entry-refused key={:?} revision={} error={error:?}", file.name, file.revision);
                // What an unreadable entry names must not be used, whatever it said before.
                if let Some(id) = id {
                    lapsed.insert(id, self.shared.now());
                }
            }
        }
    }

    fn is_store_troubled(&self) -> bool {
        let trouble = self.shared.store_trouble.load(Ordering::Relaxed);
        self.shared.kv.is_failing() || (trouble > 0 && self.shared.now() < trouble + TROUBLE_MEMORY_MS)
    }

    fn expire(&self, lapsed: &mut BTreeMap<Arc<str>, u64>) {
        let now = self.shared.now();
        let due: Vec<_> = lapsed.iter().filter(|(_, due)| **due <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            lapsed.remove(&id);
            self.shared.replicas.remove(&id, now);
        }
    }

    /// Takes in an order to move traffic, or that there is none any more.
    fn order(&self, file: &pb::ConfigFile, order: Option<MoveOrder>) {
        let mut orders = self.orders.lock();
        match order {
            None if !orders.contains_key(&file.name) => return,
            None => {
                info!("event=move-withdrawn key={:?} revision={}", file.name, file.revision);
                orders.remove(&file.name);
            }
            Some(order) => {
                let MoveOrder { pool, version, time } = &order;
                let (time, ms) = (*time, time.as_millis());
                info!("event=move-ordered pool={pool} version={version} ms={ms} revision={}", file.revision);
                self.shared.evidence.forget(version);
                let plan = ordered_plan(order.pool, order.version, time, file.revision, self.shared.agreed_ms());
                orders.insert(file.name.clone(), plan);
            }
        }
        drop(orders);
        let in_force = self.shared.in_force.load();
        let (revision, site) = (in_force.revision, in_force.site.clone());
        self.shared.in_force.store(Arc::new(InForce { revision, site: self.with_orders(site) }));
        self.shared.refresh_choices();
    }

    fn with_orders(&self, site: Site) -> Site {
        let orders = self.orders.lock();
        let versions = orders.values().map(|plan| (plan.key.clone(), plan.clone())).collect();
        Site { versions, ..site }
    }

    fn put_in_force(&self, revision: u64, site: Site) {
        if revision <= self.shared.in_force.load().revision {
            return;
        }
        let site = self.with_orders(site);
        let (routes, accounts) = (site.routes.len(), site.accounts.len());
        self.shared.in_force.store(Arc::new(InForce { revision, site }));
        self.shared.metrics.config_revision.set(revision as i64);
        self.shared.metrics.config_since.set(unix_ms() as i64);
        self.shared.refresh_choices();
        info!("event=config-in-force revision={revision} routes={routes} accounts={accounts}");
    }
}

fn file(row: Row) -> Option<pb::ConfigFile> {
    match String::from_utf8(row.value.to_vec()) {
        Ok(text) => Some(pb::ConfigFile { name: row.key, revision: row.revision, text: Some(text) }),
        Err(_) => {
            warn!("event=entry-refused key={:?} revision={} error=\"not UTF-8\"", row.key, row.revision);
            // An empty text cannot be read either, and is spread in its place.
            Some(pb::ConfigFile { name: row.key, revision: row.revision, text: Some(String::new()) })
        }
    }
}
