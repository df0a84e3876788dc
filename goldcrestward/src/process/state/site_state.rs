//! Applies the changes of this daemon's copy of the site's state.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::{info, warn};
use parking_lot::Mutex;
use tokio::time::sleep;

use super::{delayed::Delayed, unconfirmed::Unconfirmed};
use crate::{
    config::{Site, VersionPlan},
    pb::{self, FileOrigin},
    port::{Catalog, Entry, Instance, RolloutOrder},
    process::{
        duty::is_earlier_record,
        shared::{InForce, Shared},
        verdict_keeper::apply_verdict,
    },
    store::Revision,
    util::unix_ms,
    version::ordered_plan,
};

/// Time after a failed call to the store in which a removed entry may come back: three heartbeats.
const STORE_ERROR_WINDOW_MS: u64 = 4_000;
/// Interval between checks for delayed changes that are due.
const DELAYED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the site's state.
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

    /// Applies changes of the copy until the task is dropped.
    pub async fn apply(self) {
        let mut applied = 0;
        let mut delayed = Delayed::default();
        let mut unconfirmed = Unconfirmed::new(self.shared.clone());
        loop {
            tokio::select! {
                () = self.shared.config_changed.notified() => {}
                () = unconfirmed.next_answer() => {}
                () = sleep(DELAYED_CHECK_INTERVAL), if !delayed.is_empty() || !unconfirmed.is_empty() => {}
            }
            let (files, changes) = self.shared.config.lock().changes_since(applied);
            applied = changes;
            let mut instances = Vec::new();
            for file in files {
                self.apply_file(file, &mut instances, &mut delayed, &mut unconfirmed);
            }
            let now = self.shared.now();
            let due = delayed.take_due(now);
            due.returned.iter().for_each(|instance| unconfirmed.list(instance));
            instances.extend(due.returned);
            self.shared.replicas.update(instances, now);
            self.shared.instances_listed.store(true, Ordering::Relaxed);
            unconfirmed.apply(&due.removed, now);
            due.withdrawn.iter().for_each(|key| self.withdraw_order(key));
        }
    }

    fn apply_file(
        &self,
        file: pb::ConfigFile,
        instances: &mut Vec<Instance>,
        delayed: &mut Delayed,
        unconfirmed: &mut Unconfirmed,
    ) {
        let id: Option<Arc<str>> = self.catalog.instance_id(&file.name).map(Into::into);
        let (origin, now) = (file.origin(), self.shared.now());
        let revision = Revision::from_ordinal(file.revision);
        let Some(text) = &file.text else {
            match id {
                Some(id) => {
                    let grace = delayed.remove(id.clone(), origin, self.had_recent_store_error(), now);
                    if grace > 0 {
                        unconfirmed.settle(&id);
                    }
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
                let leaves_in = instance.leaves_in.map(|leaves_in| self.least_time_left(leaves_in, now));
                let instance = Instance { leaves_in, ..instance };
                let (id, pool, state) = (instance.id.clone(), instance.pool.clone(), instance.state);
                let used = delayed.use_server(instance, origin, now);
                let held_back = used.is_none();
                used.iter().for_each(|used| unconfirmed.list(used));
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
                self.shared.refusals.record_entry(&file.name, revision, text.len(), &error);
                // The instance that an unreadable entry names must not be used, whatever the entry said before.
                if let Some(id) = id {
                    unconfirmed.settle(&id);
                    delayed.remove(id, FileOrigin::Written, false, now);
                }
            }
        }
    }

    /// Shortest time that a server may stay whose entry says for how long it stays. The entry may have stood in the store for
    /// long if this daemon's knowledge was old before it.
    fn least_time_left(&self, leaves_in: Duration, now: u64) -> Duration {
        let age = self.shared.freshness.lock().age_of_news(now).map(Duration::from_millis);
        let late = age.filter(|age| *age > self.shared.settings.config_apply);
        leaves_in.saturating_sub(late.unwrap_or_default())
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
