//! The bounded list of daemons in the platform's service by which a new daemon finds the others.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{gossip::Gossip, membership::State, shared::Shared};
use crate::store::{Commit, Compare, Purpose, Put};

/// Daemons on the list at most.
const SEEDS: usize = 8;
/// Mean time for the whole site from one look at the list to the next.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Mean time from one look at the list to the next of a daemon that knows no other.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between tries to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a daemon that has joined looks at the list again: others may have started at the same moment.
const SECOND_LOOK: Duration = Duration::from_secs(3);
/// Time from one look for a daemon of the settings that is not known to the next, and that time in the end.
const MISSING_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Seeds {
    addresses: Vec<SocketAddr>,
}

/// Keeps the list and joins by it.
pub(crate) struct Seeder {
    shared: Arc<Shared>,
    gossip: Gossip,
    key: String,
}

impl Seeder {
    /// A keeper of the site's list.
    pub fn new(shared: Arc<Shared>, gossip: Gossip) -> Self {
        let key = format!("/goldcrestward/{}/seeds", shared.settings.site);
        Self { shared, gossip, key }
    }

    /// Joins the site, then looks after the list until the task is dropped.
    pub async fn run(self) {
        self.join().await;
        tokio::join!(self.look_after_list(), self.look_for_missing());
    }

    async fn look_after_list(&self) {
        let mut mean = SECOND_LOOK;
        loop {
            tokio::time::sleep(around(mean)).await;
            if let Some((seeds, revision)) = self.read().await {
                self.sync_unknown(&seeds.addresses).await;
                self.repair(seeds, revision).await;
            }
            let daemons = self.shared.daemon_count().max(1) as u32;
            mean = if daemons == 1 { ALONE_INTERVAL } else { CHECK_INTERVAL * daemons };
        }
    }

    /// Looks for daemons of the settings that are not known, ever more rarely while they do not answer.
    async fn look_for_missing(&self) {
        let mut mean = MISSING_INTERVAL.0;
        loop {
            tokio::time::sleep(around(mean)).await;
            let found = self.sync_unknown(&self.shared.settings.join).await;
            mean = if found { MISSING_INTERVAL.0 } else { (mean * 2).min(MISSING_INTERVAL.1) };
        }
    }

    /// Exchanges views with all of these daemons that are not known to take part; false if none answers.
    ///
    /// One that is known may be in another part of the site than one that is not, so each is asked.
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
            let pause = JOIN_PAUSE.mul_f64(rand::rng().random_range(1.0..3.0));
            tokio::time::sleep(pause).await;
        }
    }

    async fn read(&self) -> Option<(Seeds, u64)> {
        let row = self.shared.kv.get(Purpose::Seeds, &self.key).await.ok()?;
        let Some(row) = row else { return Some((Seeds::default(), 0)) };
        Some((serde_json::from_slice(&row.value).unwrap_or_default(), row.revision))
    }

    /// Replaces daemons on the list that no longer run.
    async fn repair(&self, seeds: Seeds, revision: u64) {
        let wanted = self.wanted(&seeds);
        if wanted == seeds {
            return;
        }
        let value = serde_json::to_vec(&wanted).unwrap_or_default();
        let compare = Compare { key: self.key.clone(), revision };
        let put = Put { key: self.key.clone(), value, lease: 0 };
        // A lost answer or a conflict needs nothing: some daemon looks again soon.
        let commit = Commit { compares: vec![compare], puts: vec![put], removes: Vec::new() };
        self.shared.kv.txn(Purpose::Seeds, commit).await.ok();
    }

    fn wanted(&self, seeds: &Seeds) -> Seeds {
        let view = self.shared.view.lock();
        let alive = |address: &SocketAddr| view.present().any(|m| m.address == *address && m.state == State::Alive);
        let mut addresses: Vec<_> = seeds.addresses.iter().copied().filter(alive).collect();
        let others = view.present().filter(|m| m.state == State::Alive).map(|m| m.address);
        for address in others {
            if addresses.len() >= SEEDS {
                break;
            }
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        Seeds { addresses }
    }
}

/// A time about a mean, so that daemons that start together do not act together.
fn around(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
