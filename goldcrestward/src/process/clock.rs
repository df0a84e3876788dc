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

/// Offset of a wall clock from the boot-time clock, in ms.
fn offset(unix_ms: u64, boot_ms: u64) -> i64 {
    let ms = |time| i64::try_from(time).unwrap_or(i64::MAX);
    ms(unix_ms).saturating_sub(ms(boot_ms))
}

/// The daemons' wall clocks, as offsets from this daemon's boot-time clock.
#[derive(Debug, Default)]
pub(crate) struct AgreedClock {
    /// Offsets by reporter, which is a daemon or the relay of an availability zone, and the time of their reading.
    readings: HashMap<Arc<str>, (Vec<i64>, u64)>,
    /// Offset that the relay of this daemon's zone has told, and when.
    told: Option<(i64, u64)>,
}

impl AgreedClock {
    /// Records the wall clock of a daemon of the zone, received at `boot_ms`.
    pub fn record_peer(&mut self, from: &Arc<str>, unix_ms: u64, boot_ms: u64) {
        self.record_clocks(from, unix_ms, &[0], boot_ms);
    }

    /// Records the wall clocks of the daemons of a zone, as differences from that of its relay.
    pub fn record_clocks(&mut self, from: &Arc<str>, unix_ms: u64, differences: &[i64], boot_ms: u64) {
        let relay_offset = offset(unix_ms, boot_ms);
        let offsets = differences.iter().map(|difference| relay_offset.saturating_add(*difference)).collect();
        self.readings.insert(from.clone(), (offsets, boot_ms));
    }

    /// Adopts the time that the relay of the zone has told.
    pub fn adopt(&mut self, agreed_ms: u64, boot_ms: u64) {
        self.told = Some((offset(agreed_ms, boot_ms), boot_ms));
    }

    /// Goes by the readings again, as this daemon now tells others the time.
    pub fn lead(&mut self) {
        self.told = None;
    }

    /// Differences of at most `limit` clocks of the daemons `of` this zone from this daemon's.
    pub fn differences(&self, unix_ms: u64, boot_ms: u64, of: impl Fn(&str) -> bool, limit: usize) -> Vec<i64> {
        let own = offset(unix_ms, boot_ms);
        let members = self.fresh(boot_ms).filter(|(name, _)| of(name)).flat_map(|(_, offsets)| offsets);
        let differences: Vec<i64> =
            std::iter::once(0).chain(members.map(|offset| offset.saturating_sub(own))).collect();
        let stride = differences.len().div_ceil(limit.max(1));
        differences.into_iter().step_by(stride).collect()
    }

    /// Returns the Unix time in ms: the time that the relay has told, or the median of the known clocks, with `unix_ms`
    /// as this daemon's own reading.
    pub fn now(&self, unix_ms: u64, boot_ms: u64) -> u64 {
        if let Some((offset, _)) = self.told.filter(|(_, at)| boot_ms.saturating_sub(*at) < READING_EXPIRY_MS) {
            return boot_ms.saturating_add_signed(offset);
        }
        let mut offsets: Vec<i64> = self.fresh(boot_ms).flat_map(|(_, offsets)| offsets).copied().collect();
        offsets.push(offset(unix_ms, boot_ms));
        offsets.sort_unstable();
        boot_ms.saturating_add_signed(offsets[offsets.len() / 2])
    }

    fn fresh(&self, boot_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Vec<i64>)> {
        let fresh = self.readings.iter().filter(move |(_, (_, at))| boot_ms.saturating_sub(*at) < READING_EXPIRY_MS);
        fresh.map(|(name, (offsets, _))| (name, offsets))
    }
}

#[cfg(test)]
#[path = "clock_test.rs"]
mod clock_test;
