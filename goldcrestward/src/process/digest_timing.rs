//! Interval and range of digests, by the number of daemons.

use std::time::Duration;

const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the interval per daemon, which bounds the rate of datagrams that a daemon receives.
const INTERVAL_PER_DAEMON: Duration = Duration::from_millis(20);
/// Largest number of daemons for which every digest goes to all regions; beyond it, traffic between regions would
/// grow too fast.
const SMALL_SITE_DAEMONS: usize = 16;
/// At a larger site, one digest in this many goes to other regions.
const LARGE_SITE_STRIDE: u32 = 4;
/// Consecutive digests that may be lost before a peer times out.
const MAX_LOST_DIGESTS: u32 = 4;

/// Interval at which a daemon sends digests.
pub(crate) fn digest_interval(daemons: usize) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX))
}

/// One digest in this many is sent to daemons in other regions.
pub(crate) fn cross_region_stride(daemons: usize) -> u32 {
    if daemons <= SMALL_SITE_DAEMONS { 1 } else { LARGE_SITE_STRIDE }
}

/// Time in ms without a digest after which a peer has timed out.
pub(crate) fn peer_timeout_ms(daemons: usize) -> u64 {
    (digest_interval(daemons) * cross_region_stride(daemons) * (MAX_LOST_DIGESTS + 1)).as_millis() as u64
}

#[cfg(test)]
#[path = "digest_timing_test.rs"]
mod digest_timing_test;
