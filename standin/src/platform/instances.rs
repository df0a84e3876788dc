//! The platform's list of instances, which shows changes after a lag.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// State of an instance in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It serves requests.
    Live,
    /// It has a reclaim notice or is being stopped.
    Leaving,
    /// It has ended.
    Gone,
}

/// One backend server instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier given by the platform.
    pub id: String,
    pub address: SocketAddr,
    pub pool: String,
    /// The version of the backend server that it runs.
    pub version: String,
    pub zone: String,
    pub region: String,
    pub state: InstanceState,
}

/// The changes since a position in the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstancePage {
    /// Position to request the next page from.
    pub position: u64,
    /// Instances that changed after the requested position.
    pub instances: Vec<Instance>,
}

struct ListedInstance {
    position: u64,
    visible_at: Instant,
    instance: Instance,
}

/// List of instances. A change becomes visible after the lag.
#[derive(Default)]
pub struct InstanceList {
    lag: Duration,
    position: u64,
    visible: BTreeMap<String, ListedInstance>,
    pending: Vec<ListedInstance>,
}

impl InstanceList {
    /// Sets the time after which later changes become visible.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces an instance.
    pub fn put(&mut self, instance: Instance, now: Instant) {
        let visible_at = now + self.lag;
        self.pending.push(ListedInstance { position: 0, visible_at, instance });
    }

    /// The latest state of an instance, including changes that are not yet visible.
    pub fn find(&self, id: &str) -> Option<Instance> {
        let pending = self.pending.iter().rev().find(|r| r.instance.id == id);
        pending.or_else(|| self.visible.get(id)).map(|r| r.instance.clone())
    }

    /// The changes after `position` that are visible at `now`, in `region` if it is given.
    pub fn page(&mut self, position: u64, region: Option<&str>, now: Instant) -> InstancePage {
        self.apply_due(now);
        let instances = self
            .visible
            .values()
            .filter(|r| r.position > position)
            .filter(|r| region.is_none_or(|region| r.instance.region == region))
            .map(|r| r.instance.clone())
            .collect();
        InstancePage { position: self.position, instances }
    }

    fn apply_due(&mut self, now: Instant) {
        let (due, pending) = std::mem::take(&mut self.pending).into_iter().partition(|r| r.visible_at <= now);
        self.pending = pending;
        let due: Vec<ListedInstance> = due;
        for mut row in due {
            self.position += 1;
            row.position = self.position;
            self.visible.insert(row.instance.id.clone(), row);
        }
    }
}
