//! Windows of usage by the boot-time clock, in which spans of time are compared.

use crate::process::{clock::boot_ms, gateway::Gateway};

/// When windows begin, by the boot-time clock.
pub(super) struct WindowClock {
    agreed_ms: u64,
    /// Time at which it was read.
    pub boot_ms: u64,
    window_ms: u64,
}

impl WindowClock {
    pub fn now(gateway: &Gateway) -> Self {
        let window_ms = gateway.shared.settings.usage_window.as_millis().max(1) as u64;
        Self { agreed_ms: gateway.shared.agreed_ms(), boot_ms: boot_ms(), window_ms }
    }

    pub fn begin_of(&self, window: u64) -> u64 {
        (self.boot_ms + window.saturating_mul(self.window_ms)).saturating_sub(self.agreed_ms)
    }
}
