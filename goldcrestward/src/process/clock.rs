//! The time of day that daemons agree on, since the clock of one instance may jump.

use std::{collections::HashMap, sync::Arc};

use rustix::time::{ClockId, clock_gettime};

/// Time for which another daemon's clock counts, in ms.
const PEER_MEMORY_MS: u64 = 10_000;

/// Milliseconds of a clock that never jumps and goes on while the instance is suspended.
pub(crate) fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64) * 1000 + (time.tv_nsec as u64) / 1_000_000
}

/// The clocks of the daemons, as distances from this one's steady clock.
#[derive(Debug, Default)]
pub(crate) struct AgreedClock {
    peers: HashMap<Arc<str>, (i64, u64)>,
}

impl AgreedClock {
    /// Takes in another daemon's time of day.
    pub fn record_peer(&mut self, from: &Arc<str>, unix_ms: u64, boot_ms: u64) {
        self.peers.insert(from.clone(), (unix_ms as i64 - boot_ms as i64, boot_ms));
    }

    /// Unix time in ms: the median of the daemons' clocks, of which this one says `unix_ms`.
    pub fn now(&self, unix_ms: u64, boot_ms: u64) -> u64 {
        let fresh = self.peers.values().filter(|(_, at)| boot_ms.saturating_sub(*at) < PEER_MEMORY_MS);
        let mut distances: Vec<i64> = fresh.map(|(distance, _)| *distance).collect();
        distances.push(unix_ms as i64 - boot_ms as i64);
        distances.sort_unstable();
        (boot_ms as i64 + distances[distances.len() / 2]) as u64
    }
}

#[cfg(test)]
#[path = "clock_test.rs"]
mod clock_test;
