//! Discovery of other daemons by a bounded list of seeds in the platform's key-value store.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{gossip::Gossip, membership::State, shared::Shared};
use crate::store::{Compare, Purpose, Put, Revision, Txn};

/// Maximum number of daemons on the list.
const MAX_SEEDS: usize = 8;
/// Mean interval between checks of the list, over all daemons of the site.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Mean interval between checks of the list by a daemon that knows no other daemon.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);
/// Base of the pause between attempts to join.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Mean delay after joining until the first check of the list, as other daemons may have started at the same time.
const FIRST_CHECK_DELAY: Duration = Duration::from_secs(3);
/// Initial and maximum mean interval between attempts to reach daemons of the `join` setting that are not known.
const JOIN_MISSING_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredSeeds")]
pub(super) struct Seeds {
    addresses: Vec<SocketAddr>,
    /// Items of the stored list that are no addresses.
    #[serde(skip)]
    refused: usize,
}

/// The stored list, whose items are decoded one by one.
#[derive(Deserialize)]
struct StoredSeeds {
    addresses: Vec<Value>,
}

impl From<StoredSeeds> for Seeds {
    fn from(stored: StoredSeeds) -> Self {
        let items = &stored.addresses;
        let addresses: Vec<SocketAddr> = items.iter().filter_map(|item| item.as_str()?.parse().ok()).collect();
        let refused = items.len() - addresses.len();
        Self { addresses, refused }
    }
}

/// Joins the site by its seed list and maintains the list.
pub(crate) struct Seeder {
    shared: Arc<Shared>,
    gossip: Gossip,
    key: String,
}

impl Seeder {
    pub fn new(shared: Arc<Shared>, gossip: Gossip) -> Self {
        let key = format!("/goldcrestward/{}/seeds", shared.settings.site);
        Self { shared, gossip, key }
    }

    /// Joins the site, then maintains the list until the task is dropped.
    pub async fn run(self) {
        self.join().await;
        tokio::join!(self.maintain_list(), self.join_missing());
    }

    async fn maintain_list(&self) {
        let mut mean = FIRST_CHECK_DELAY;
        loop {
            tokio::time::sleep(jittered(mean)).await;
            if let Some((seeds, revision)) = self.read().await {
                self.sync_unknown(&seeds.addresses).await;
                self.repair(seeds, revision).await;
            }
            let daemons = self.shared.daemon_count().max(1) as u32;
            mean = if daemons == 1 { ALONE_INTERVAL } else { CHECK_INTERVAL * daemons };
        }
    }

    /// Tries to reach daemons of the `join` setting that are not known, backing off while none answers.
    async fn join_missing(&self) {
        let mut mean = JOIN_MISSING_INTERVAL.0;
        loop {
            tokio::time::sleep(jittered(mean)).await;
            let found = self.sync_unknown(&self.shared.settings.join).await;
            mean = if found { JOIN_MISSING_INTERVAL.0 } else { (mean * 2).min(JOIN_MISSING_INTERVAL.1) };
        }
    }

    /// Exchanges views with those of the daemons that are not known to be present; returns false if none answers.
    ///
    /// Known daemons may be in another partition than unknown ones, so every unknown one is queried.
    async fn sync_unknown(&self, addresses: &[SocketAddr]) -> bool {
        let unknown: BTreeSet<SocketAddr> = {
            let view = self.shared.view.lock();
            let is_known = |address: &SocketAddr| view.present().any(|member| member.address == *address);
            addresses.iter().copied().filter(|address| !is_known(address)).collect()
        };
        let answers = join_all(unknown.into_iter().map(|address| self.gossip.sync(address))).await;
        answers.contains(&true)
    }

    async fn join(&self) {
        loop {
            let listed = self.read().await;
            let mut addresses = self.shared.settings.join.clone();
            addresses.extend(listed.iter().flat_map(|(seeds, _)| seeds.addresses.iter().copied()));
            let joined = self.sync_unknown(&addresses).await;
            if let Some((seeds, revision)) = listed {
                self.repair(seeds, revision).await;
                info!("event=joined alone={}", !joined);
                return;
            }
            if joined {
                info!("event=joined alone=false seeds=unread");
                return;
            }
            warn!("event=join-failed reason=\"no seeds can be read and no daemon answers\"");
            let pause = JOIN_RETRY_PAUSE.mul_f64(rand::rng().random_range(1.0..3.0));
            tokio::time::sleep(pause).await;
        }
    }

    async fn read(&self) -> Option<(Seeds, Revision)> {
        let row = self.shared.kv.get(Purpose::Seeds, &self.key).await.ok()?;
        let Some(row) = row else { return Some((Seeds::default(), Revision::NONE)) };
        let seeds: Seeds = serde_json::from_slice(&row.value).unwrap_or_else(|error| {
            warn!("event=seeds-unreadable key={:?} error={:?} action=replaced", row.key, error.to_string());
            Seeds::default()
        });
        if seeds.refused > 0 {
            let (key, revision, refused) = (&row.key, row.revision, seeds.refused);
            warn!(
                "event=seeds-refused key={key:?} revision={revision} refused={refused} of={}",
                seeds.addresses.len() + refused
            );
        }
        Some((seeds, row.revision))
    }

    /// Replaces daemons on the list that are not alive.
    async fn repair(&self, seeds: Seeds, revision: Revision) {
        let repaired = self.repaired(&seeds);
        if repaired == seeds {
            return;
        }
        let value = serde_json::to_vec(&repaired).unwrap_or_default();
        let compare = Compare { key: self.key.clone(), revision };
        let put = Put { key: self.key.clone(), value, lease: 0 };
        // A lost answer or a conflict needs no retry, as some daemon checks the list again soon.
        let commit = Txn { compares: vec![compare], puts: vec![put], removes: Vec::new() };
        self.shared.kv.txn(Purpose::Seeds, commit).await.ok();
    }

    fn repaired(&self, seeds: &Seeds) -> Seeds {
        let view = self.shared.view.lock();
        let alive = |address: &SocketAddr| view.present().any(|m| m.address == *address && m.state == State::Alive);
        let mut addresses: Vec<_> = seeds.addresses.iter().copied().filter(alive).collect();
        let others = view.present().filter(|m| m.state == State::Alive).map(|m| m.address);
        for address in others {
            if addresses.len() >= MAX_SEEDS {
                break;
            }
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        Seeds { addresses, refused: 0 }
    }
}

/// Adds random jitter of up to 50 %, so that daemons that start together do not act together.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}

#[cfg(test)]
#[path = "seeds_test.rs"]
mod seeds_test;
