//! Bounds how many log lines a daemon writes on one matter.

use std::sync::atomic::{AtomicU32, Ordering};

/// A number of lines that may still be written.
#[derive(Debug)]
pub(crate) struct LineBudget(AtomicU32);

impl LineBudget {
    pub fn new(lines: u32) -> Self {
        Self(AtomicU32::new(lines))
    }

    /// Takes a line from the budget. Returns whether it may be written.
    pub fn take(&self) -> bool {
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok()
    }
}

#[cfg(test)]
#[path = "line_budget_test.rs"]
mod line_budget_test;
