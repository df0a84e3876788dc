//! Wall-clock time agreed on by all daemons, since the clock of a single instance may jump.

use std::{collections::HashMap, sync::Arc};

use rustix::time::{ClockId, clock_gettime};

/// Time after which a peer's reading is no longer used.
const READING_EXPIRY_MS: u64 = 10_000;

/// Milliseconds of the boot-time clock, which never jumps and keeps running while the instance is suspended.
pub(crate) fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64) * 1000 + (time.tv_nsec as u64) / 1_000_000
}

/// The daemons' wall clocks, as offsets from this daemon's boot-time clock.
#[derive(Debug, Default)]
pub(crate) struct AgreedClock {
    /// Offset of each peer and the time of its reading, both in ms.
    peers: HashMap<Arc<str>, (i64, u64)>,
}

impl AgreedClock {
    /// Records a peer's wall clock, received at `boot_ms`.
    pub fn record_peer(&mut self, from: &Arc<str>, unix_ms: u64, boot_ms: u64) {
        self.peers.insert(from.clone(), (unix_ms as i64 - boot_ms as i64, boot_ms));
    }

    /// Returns the Unix time in ms: the median of all daemons' clocks, with `unix_ms` as this daemon's own reading.
    pub fn now(&self, unix_ms: u64, boot_ms: u64) -> u64 {
        let fresh = self.peers.values().filter(|(_, at)| boot_ms.saturating_sub(*at) < READING_EXPIRY_MS);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(unix_ms as i64 - boot_ms as i64);
        offsets.sort_unstable();
        (boot_ms as i64 + offsets[offsets.len() / 2]) as u64
    }
}

#[cfg(test)]
#[path = "clock_test.rs"]
mod clock_test;
