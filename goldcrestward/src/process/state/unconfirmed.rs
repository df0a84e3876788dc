//! Keeps servers in use whose entries have vanished together, as [`LapsedEntries`] decides.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
};

use log::info;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{
    lapsed_entries::{LapsedEntries, Signs, Step},
    server_probe::reach,
};
use crate::{
    port::Instance,
    process::{replicas::Replica, shared::Shared},
};

/// A server that is not used, and its pool.
struct TakenOut {
    replica: Arc<Replica>,
    pool: Arc<str>,
}

/// Servers without an entry.
pub(super) struct Unconfirmed {
    shared: Arc<Shared>,
    lapsed: LapsedEntries,
    taken_out: HashMap<Arc<str>, TakenOut>,
    /// Peers by way of which servers were reached last.
    helpers: HashMap<Arc<str>, Arc<str>>,
    results: UnboundedReceiver<ProbeResult>,
    results_in: UnboundedSender<ProbeResult>,
}

/// A server, whether it was reached, and the peer by way of which.
type ProbeResult = (Arc<str>, bool, Option<Arc<str>>);

impl Unconfirmed {
    pub fn new(shared: Arc<Shared>) -> Self {
        let (results_in, results) = unbounded_channel();
        let (lapsed, taken_out, helpers) = (LapsedEntries::default(), HashMap::new(), HashMap::new());
        Self { shared, lapsed, taken_out, helpers, results, results_in }
    }

    pub fn is_empty(&self) -> bool {
        self.lapsed.is_empty()
    }

    /// Waits for the result of a probe and records it.
    pub async fn next_probe(&mut self) {
        // The sender is kept, so the channel does not end.
        if let Some(result) = self.results.recv().await {
            self.record(result, self.shared.now());
        }
    }

    fn record(&mut self, (id, reached, helper): ProbeResult, now: u64) {
        self.lapsed.record_probe(&id, reached, now);
        if let Some(helper) = helper {
            self.helpers.insert(id, helper);
        }
    }

    /// Records a server's entry.
    pub fn list(&mut self, instance: &Instance) {
        if self.lapsed.has_lapsed(&instance.id) {
            info!("event=instance-confirmed instance={} state={:?}", instance.id, instance.state);
        }
        self.taken_out.remove(&instance.id);
        self.lapsed.list(instance);
    }

    /// Records that a server's entry cannot be read.
    pub fn refuse(&mut self, id: &str) {
        self.taken_out.remove(id);
        self.lapsed.refuse(id);
    }

    /// Applies that entries have vanished, and what has become of those that had vanished before.
    pub fn apply(&mut self, vanished: &[Arc<str>], now: u64) {
        for id in vanished {
            let replica = self.shared.replicas.find(id).filter(|replica| !replica.is_leaving());
            if !self.lapsed.vanish(id, replica.map(|replica| replica.address), now) {
                self.shared.replicas.remove(id, now);
            }
        }
        while let Ok(result) = self.results.try_recv() {
            self.record(result, now);
        }
        if self.lapsed.is_empty() {
            self.helpers.clear();
            return self.report(now);
        }
        let daemons = self.shared.daemons.load(Ordering::Relaxed);
        let (shared, taken_out) = (&self.shared, &self.taken_out);
        let steps = self.lapsed.step(daemons, |id| signs(shared, taken_out, id), now);
        for step in steps {
            self.carry_out(step, now);
        }
        self.report(now);
    }

    fn carry_out(&mut self, step: Step, now: u64) {
        match step {
            Step::TakeOut(id) => {
                let Some(pool) = self.shared.replicas.pool_of(&id) else { return };
                let Some(replica) = self.shared.replicas.find(&id) else { return };
                self.shared.replicas.remove(&id, now);
                info!("event=instance-out instance={id} {}", self.inputs(&replica, now));
                self.taken_out.insert(id, TakenOut { replica, pool });
            }
            Step::Keep(id) => {
                if let Some(TakenOut { replica, pool }) = self.taken_out.remove(&id)
                    && !self.shared.replicas.put_back(&pool, &replica)
                {
                    return;
                }
                let Some(replica) = self.shared.replicas.find(&id) else { return };
                info!("event=instance-unconfirmed instance={id} {}", self.inputs(&replica, now));
            }
            Step::Forget(id, reason) => {
                self.taken_out.remove(&id);
                info!("event=instance-gone instance={id} reason={reason}");
            }
            Step::Probe(id) => {
                let taken_out = self.taken_out.get(&id).map(|taken_out| taken_out.replica.clone());
                let Some(replica) = taken_out.or_else(|| self.shared.replicas.find(&id)) else { return };
                let (shared, results) = (self.shared.clone(), self.results_in.clone());
                let helper = self.helpers.get(&id).cloned();
                tokio::spawn(async move {
                    let (reached, helper) = reach(&shared, &replica, helper.as_deref()).await;
                    results.send((id, reached, helper)).ok();
                });
            }
        }
    }

    /// What has decided on a server, for the log.
    fn inputs(&self, replica: &Replica, now: u64) -> String {
        let (in_use, lapsed, known) = self.lapsed.counts();
        let age = |at: Option<u64>| at.map_or_else(|| "-".to_owned(), |at| now.saturating_sub(at).to_string());
        let (answered, failed) = replica.last_outcomes();
        let probed = age(self.lapsed.probed_at(&replica.id));
        format!(
            "lapsed={lapsed} of={known} in_use={in_use} answered_ms_ago={} failed_ms_ago={} probed_ms_ago={probed}",
            age(answered),
            age(failed)
        )
    }

    fn report(&self, now: u64) {
        self.shared.metrics.unconfirmed_servers.set(self.lapsed.counts().0 as i64);
        self.shared.lapses_undecided.store(self.lapsed.is_undecided(now), Ordering::Relaxed);
    }
}

fn signs(shared: &Shared, taken_out: &HashMap<Arc<str>, TakenOut>, id: &str) -> Signs {
    let of = |replica: &Replica, is_leaving: bool| {
        let (answered_at, failed_at) = replica.last_outcomes();
        Signs { answered_at, failed_at, is_leaving: is_leaving || shared.replicas.has_stated_leaving(replica) }
    };
    match (taken_out.get(id), shared.replicas.find(id)) {
        // One that is taken out is marked as leaving, so that its requests move.
        (Some(taken_out), _) => of(&taken_out.replica, false),
        (None, Some(replica)) => of(&replica, replica.is_leaving()),
        (None, None) => Signs { is_leaving: true, ..Signs::default() },
    }
}
