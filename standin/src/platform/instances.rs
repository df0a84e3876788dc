//! The platform's lagging list of instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Where an instance stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It has a reclaim notice or is being stopped.
    Leaving,
    /// It is gone.
    Gone,
}

/// One backend server instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// The platform's name for it.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The pool it belongs to.
    pub pool: String,
    /// The version of the backend server that it runs.
    pub version: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its state.
    pub state: InstanceState,
}

/// The changes since a position in the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstancePage {
    /// Position to ask from next time.
    pub position: u64,
    /// Instances changed since the position asked for.
    pub instances: Vec<Instance>,
}

struct Row {
    position: u64,
    visible: Instant,
    instance: Instance,
}

/// The list itself. A change shows only after the lag has passed.
#[derive(Default)]
pub struct Instances {
    lag: Duration,
    position: u64,
    rows: BTreeMap<String, Row>,
    pending: Vec<Row>,
}

impl Instances {
    /// Sets the time until a change shows.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Stores an instance's new state.
    pub fn put(&mut self, instance: Instance, now: Instant) {
        let visible = now + self.lag;
        self.pending.push(Row { position: 0, visible, instance });
    }

    /// The instance as it will show once the lag has passed.
    pub fn find(&self, id: &str) -> Option<Instance> {
        let late = self.pending.iter().rev().find(|r| r.instance.id == id);
        late.or_else(|| self.rows.get(id)).map(|r| r.instance.clone())
    }

    /// The changes since `position` that show by now.
    pub fn page(&mut self, position: u64, region: Option<&str>, now: Instant) -> InstancePage {
        self.settle(now);
        let instances = self
            .rows
            .values()
            .filter(|r| r.position > position)
            .filter(|r| region.is_none_or(|region| r.instance.region == region))
            .map(|r| r.instance.clone())
            .collect();
        InstancePage { position: self.position, instances }
    }

    fn settle(&mut self, now: Instant) {
        let (due, late) = std::mem::take(&mut self.pending).into_iter().partition(|r| r.visible <= now);
        self.pending = late;
        let due: Vec<Row> = due;
        for mut row in due {
            self.position += 1;
            row.position = self.position;
            self.rows.insert(row.instance.id.clone(), row);
        }
    }
}
