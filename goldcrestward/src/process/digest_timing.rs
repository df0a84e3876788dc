//! How often daemons tell each other of their work, by their number.

use std::time::Duration;

/// Time from one digest to the next at a small site.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time from one digest to the next for each daemon, so that the datagrams a second at a daemon stay bounded.
const INTERVAL_EACH: Duration = Duration::from_millis(20);
/// Daemons up to which all regions hear every digest; beyond, bytes between regions would grow too fast.
const FEW_DAEMONS: usize = 16;
/// Digests of which another region hears one, at a site of many daemons.
const FAR_EVERY: u32 = 4;
/// Digests that may be lost in a row before a daemon counts as silent.
const LOST: u32 = 4;

/// Time from one digest to the next.
pub(crate) fn digest_interval(daemons: usize) -> Duration {
    INTERVAL.max(INTERVAL_EACH * u32::try_from(daemons).unwrap_or(u32::MAX))
}

/// Digests of which daemons in other regions hear one.
pub(crate) fn cross_region_stride(daemons: usize) -> u32 {
    if daemons <= FEW_DAEMONS { 1 } else { FAR_EVERY }
}

/// Time in ms after which a daemon that tells nothing counts as silent.
pub(crate) fn peer_timeout_ms(daemons: usize) -> u64 {
    (digest_interval(daemons) * cross_region_stride(daemons) * (LOST + 1)).as_millis() as u64
}

#[cfg(test)]
#[path = "digest_timing_test.rs"]
mod digest_timing_test;
