//! Intervals of the exchange between daemons and the relays of their availability zones.

use std::time::Duration;

/// Interval in a small availability zone.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval per daemon of the availability zone, which bounds the rate of messages that a relay handles.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(6);
/// Longest interval, which bounds how old the knowledge of a daemon can get.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Relays of other regions get every second message, as the traffic between regions is paid by volume.
const OTHER_REGION_STRIDE: u32 = 2;
/// Number of availability zones up to which that stride applies; it grows in proportion beyond.
const STRIDE_ZONES: u32 = 8;

/// Time without a message after which a relay is taken to have failed.
pub(crate) const RELAY_TIMEOUT_MS: u64 = 700;
/// Time without a message after which the part of a daemon or zone that is not heard is reserved for it.
pub(crate) const SILENCE_MS: u64 = 1_500;
/// Time without a report after which a daemon's or zone's figures no longer count.
pub(crate) const REPORT_TIMEOUT_MS: u64 = 2_500;

/// Longest time from one sum of another zone to the next that is believed.
const MAX_PERIOD_MS: u64 = 5_000;

/// Time without a message after which a relay that speaks every `period_ms` is taken to have failed: one message may be lost, and the next late.
pub(crate) fn relay_timeout_ms(period_ms: u64) -> u64 {
    allow_for_loss(RELAY_TIMEOUT_MS, period_ms)
}

/// Time without a message after which the part of a zone whose relay speaks every `period_ms` is reserved for it.
pub(crate) fn silence_ms(period_ms: u64) -> u64 {
    allow_for_loss(SILENCE_MS, period_ms)
}

/// Time without a report after which the figures of a zone whose relay speaks every `period_ms` no longer count.
pub(crate) fn report_timeout_ms(period_ms: u64) -> u64 {
    REPORT_TIMEOUT_MS.max(4 * period_ms.min(MAX_PERIOD_MS))
}

fn allow_for_loss(timeout_ms: u64, period_ms: u64) -> u64 {
    timeout_ms.max(period_ms.min(MAX_PERIOD_MS) * 5 / 2)
}

/// Interval at which the daemons of an availability zone with `members` daemons report, and its relay answers.
pub(crate) fn exchange_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    INTERVAL_PER_MEMBER.saturating_mul(members).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// One message in this many goes to the relays of other regions, at a site with `zones` availability zones.
pub(crate) fn other_region_stride(zones: usize) -> u32 {
    let zones = u32::try_from(zones).unwrap_or(u32::MAX);
    OTHER_REGION_STRIDE * zones.div_ceil(STRIDE_ZONES).max(1)
}

#[cfg(test)]
#[path = "timing_test.rs"]
mod timing_test;
