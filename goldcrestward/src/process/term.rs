//! State machine of a term, the time for which one daemon holds the duties. It performs no I/O: it takes in time and
//! answers, and returns the next step.
//!
//! The holder acts only while its lease is certain to be valid, counted from before the call that granted or renewed
//! it. A window must never be reported with two different counts, so the counts are stored before they are reported,
//! in place of the previous record: a write that is executed late, or by an earlier holder, fails because it finds
//! another record than the one it replaces.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::usage::AccountCounts;
use crate::{port::DutyAnswer, store::Revision};

/// Fraction of the lease that is left unused, to allow for clock drift and calls in transit.
const SAFETY_MARGIN: f64 = 0.2;
/// Fraction of the lease after which it is renewed.
const RENEWAL_POINT: f64 = 0.3;

/// Record that is stored before a window's usage is reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    /// Number of the window.
    pub window: u64,
    /// Number of requests by account.
    pub counts: AccountCounts,
    /// History of the store in which it was stored and no record of a later window could be lost; `None` if unknown.
    #[serde(default)]
    pub history: Option<u64>,
}

/// Schedule of usage windows and their reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageSchedule {
    /// Length of a window.
    pub window_ms: u64,
    /// Time after the end of a window within which it must be reported.
    pub report_within_ms: u64,
    /// Time after the end of a window for the other daemons' counts to arrive.
    pub settle_ms: u64,
}

/// Next step of the usage report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UsageStep {
    /// Nothing is due.
    Idle,
    /// Read the stored record.
    Read,
    /// Store this record in place of the one with this revision, if any.
    Write(UsageRecord, Revision),
    /// Report this record to the platform.
    Send(UsageRecord),
}

/// Result of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// Stored with this revision.
    Done(Revision),
    /// Refused: another record is stored, or the duties are no longer held.
    Refused,
    /// It may have been executed, or may still be.
    Unknown,
}

/// A term as seen by the holder of the duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Term {
    /// ID of the lease.
    pub lease: u64,
    /// The term's fencing token.
    pub fencing_token: u64,
    valid_until_ms: u64,
    /// When the lease has ended if no later renewal has reached the store.
    ends_at_ms: u64,
    renew_at_ms: u64,
    record: Option<UsageRecord>,
    /// Revision of the stored record, if there is one; `None` while it is unknown.
    revision: Option<Revision>,
    reported: bool,
}

impl Term {
    /// Starts a term under a lease that was requested at `requested_ms` of the boot-time clock.
    pub fn new(lease: u64, fencing_token: u64, requested_ms: u64, ttl: Duration) -> Self {
        let mut term = Self {
            lease,
            fencing_token,
            valid_until_ms: 0,
            ends_at_ms: 0,
            renew_at_ms: 0,
            record: None,
            revision: None,
            reported: false,
        };
        term.extend(requested_ms, ttl);
        term
    }

    /// Extends the lease to `ttl` after `requested_ms`.
    pub fn extend(&mut self, requested_ms: u64, ttl: Duration) {
        let ttl = ttl.as_millis() as f64;
        self.valid_until_ms = requested_ms + (ttl * (1.0 - SAFETY_MARGIN)) as u64;
        self.ends_at_ms = requested_ms + ttl as u64;
        self.renew_at_ms = requested_ms + (ttl * RENEWAL_POINT) as u64;
    }

    /// Whether the lease is certain to be valid.
    pub fn is_valid(&self, now: u64) -> bool {
        now < self.valid_until_ms
    }

    /// Whether the lease may have ended for good. Before that, it may be renewed even if it is not certain to be valid: the
    /// store refuses a lease that has ended.
    pub fn has_ended(&self, now: u64) -> bool {
        now >= self.ends_at_ms
    }

    /// Whether the lease should be renewed.
    pub fn is_renewal_due(&self, now: u64) -> bool {
        now >= self.renew_at_ms
    }

    /// The stored record, as far as this daemon knows.
    pub fn record(&self) -> Option<&UsageRecord> {
        self.record.as_ref()
    }

    /// Returns the next step of the usage report at `unix_ms`. `count` gets the last window on record, the first window
    /// that has not ended and the first whose report is not overdue; it returns the next ended window with its counts.
    pub fn usage_step(
        &self,
        unix_ms: u64,
        schedule: UsageSchedule,
        count: impl FnOnce(Option<u64>, u64, u64) -> Option<UsageRecord>,
    ) -> UsageStep {
        let Some(revision) = self.revision else { return UsageStep::Read };
        let first_open = unix_ms.saturating_sub(schedule.settle_ms) / schedule.window_ms;
        let unreported = self.record.as_ref().filter(|_| !self.reported);
        if let Some(record) =
            unreported.filter(|r| unix_ms < (r.window + 1) * schedule.window_ms + schedule.report_within_ms)
        {
            return UsageStep::Send(record.clone());
        }
        let oldest_on_time = first_open.saturating_sub(schedule.report_within_ms / schedule.window_ms).max(1);
        let last_written = self.record.as_ref().map(|record| record.window);
        count(last_written, first_open, oldest_on_time)
            .map_or(UsageStep::Idle, |record| UsageStep::Write(record, revision))
    }

    /// Applies the stored record and its revision. Whether it has been reported is unknown, so it is reported again.
    pub fn apply_read(&mut self, record: Option<UsageRecord>, revision: Revision) {
        self.record = record;
        self.revision = Some(revision);
        self.reported = false;
    }

    /// Applies the result of storing a record.
    pub fn apply_write(&mut self, record: UsageRecord, result: WriteResult) {
        match result {
            WriteResult::Done(revision) => self.apply_read(Some(record), revision),
            WriteResult::Refused | WriteResult::Unknown => self.revision = None,
        }
    }

    /// Applies the platform's answer to a report.
    pub fn apply_answer(&mut self, answer: DutyAnswer) {
        self.reported = answer == DutyAnswer::Done;
    }
}

#[cfg(test)]
#[path = "term_search_test.rs"]
mod term_search_test;
