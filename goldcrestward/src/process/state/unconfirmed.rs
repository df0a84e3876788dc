//! Asks servers whose entries have vanished together, and uses those that are not leaving, as [`LapsedEntries`] decides.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::info;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};

use super::lapsed_entries::{ANSWER_TIMEOUT_MS, LapsedEntries, Step};
use crate::{
    port::Instance,
    process::{exchange::Exchange, replicas::Replica, shared::Shared},
};

/// A server that is not used, and its pool.
struct TakenOut {
    replica: Arc<Replica>,
    pool: Arc<str>,
}

/// A server's answer to the question of a time.
struct Answer {
    id: Arc<str>,
    says_ready: bool,
    asked_at: u64,
}

/// Servers without an entry.
pub(super) struct Unconfirmed {
    shared: Arc<Shared>,
    lapsed: LapsedEntries,
    /// Servers whose entries have vanished, used or not.
    servers: HashMap<Arc<str>, TakenOut>,
    answers: UnboundedReceiver<Answer>,
    answers_in: UnboundedSender<Answer>,
}

impl Unconfirmed {
    pub fn new(shared: Arc<Shared>) -> Self {
        let (answers_in, answers) = unbounded_channel();
        let lapsed = LapsedEntries::new(SmallRng::from_rng(&mut rand::rng()));
        Self { shared, lapsed, servers: HashMap::new(), answers, answers_in }
    }

    pub fn is_empty(&self) -> bool {
        self.lapsed.is_empty()
    }

    /// Waits for a server's answer and records it.
    pub async fn next_answer(&mut self) {
        // The sender is kept, so the channel does not end.
        if let Some(answer) = self.answers.recv().await {
            self.record(&answer);
        }
    }

    fn record(&mut self, answer: &Answer) {
        let (daemons, now) = (self.shared.daemons.load(Ordering::Relaxed), self.shared.now());
        self.lapsed.record_answer(&answer.id, answer.says_ready, answer.asked_at, daemons, now);
    }

    /// Records a server's entry.
    pub fn list(&mut self, instance: &Instance) {
        if self.lapsed.has_lapsed(&instance.id) {
            info!("event=instance-confirmed instance={} state={:?}", instance.id, instance.state);
        }
        self.servers.remove(&instance.id);
        self.lapsed.list(instance);
    }

    /// Records that a server is gone once its entry is: it cannot be read, or the store has its time to get it back.
    pub fn settle(&mut self, id: &str) {
        self.servers.remove(id);
        self.lapsed.settle(id);
    }

    /// Applies that entries have vanished, and what has become of those that had vanished before.
    pub fn apply(&mut self, vanished: &[Arc<str>], now: u64) {
        for id in vanished {
            let replicas = &self.shared.replicas;
            let replica = replicas.find(id);
            let was_leaving = replica.as_ref().is_none_or(|replica| replica.is_leaving());
            self.lapsed.vanish(id, was_leaving, now);
            if let (Some(replica), Some(pool)) = (replica, replicas.pool_of(id))
                && self.lapsed.has_lapsed(id)
            {
                self.servers.insert(id.clone(), TakenOut { replica, pool });
            }
            replicas.remove(id, now);
        }
        while let Ok(answer) = self.answers.try_recv() {
            self.record(&answer);
        }
        if !self.lapsed.is_empty() {
            let (shared, servers) = (&self.shared, &self.servers);
            let has_stated_leaving =
                |id: &str| servers.get(id).is_none_or(|server| shared.replicas.has_stated_leaving(&server.replica));
            let steps = self.lapsed.step(shared.daemons.load(Ordering::Relaxed), has_stated_leaving, now);
            steps.into_iter().for_each(|step| self.carry_out(step, now));
        }
        self.shared.metrics.unconfirmed_servers.set(self.lapsed.counts().0 as i64);
    }

    fn carry_out(&mut self, step: Step, now: u64) {
        let (in_use, lapsed, known) = self.lapsed.counts();
        match step {
            Step::Ask(id) => self.ask(id, now),
            Step::Use(id) => {
                let Some(TakenOut { replica, pool }) = self.servers.get(&id) else { return };
                if self.shared.replicas.put_back(pool, replica) {
                    info!("event=instance-unconfirmed instance={id} lapsed={lapsed} of={known} in_use={in_use}");
                }
            }
            Step::TakeOut(id) => {
                self.shared.replicas.remove(&id, now);
                info!("event=instance-out instance={id} lapsed={lapsed} of={known} in_use={in_use}");
            }
            Step::Forget(id, reason) => {
                self.servers.remove(&id);
                info!("event=instance-gone instance={id} reason={reason}");
            }
        }
    }

    fn ask(&self, id: Arc<str>, now: u64) {
        let gateway = self.shared.exchange.get().and_then(Exchange::gateway);
        let (Some(gateway), Some(server)) = (gateway, self.servers.get(&id)) else { return };
        let path = self.shared.in_force.load().site.pools.get(&server.pool).and_then(|pool| pool.health_path.clone());
        let (replica, answers, shared) = (server.replica.clone(), self.answers_in.clone(), self.shared.clone());
        tokio::spawn(async move {
            let says_ready = match &path {
                Some(path) => {
                    let question = gateway.engines.says_ready(replica.address, &replica.id, path);
                    timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), question).await.unwrap_or(false)
                }
                None => false,
            };
            let result = if says_ready { "ready" } else { "not-ready" };
            shared.metrics.server_questions.with_label_values(&[result]).inc();
            answers.send(Answer { id, says_ready, asked_at: now }).ok();
        });
    }
}
