//! The tenure of the duties as a plain state machine: time and answers in, the next step out.
//!
//! The holder acts only while its lease surely runs, counted from before the call that granted or renewed it.
//! What must not be said in two ways is written down before it is said, in place of what was written before:
//! a write that is carried out late, or by an earlier holder, finds another record than the one that it replaces.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::usage::AccountCounts;
use crate::port::DutyAnswer;

/// Part of the lease that is left unused, for clocks that run differently and calls on their way.
const UNUSED: f64 = 0.2;
/// Part of the lease after which it is renewed.
const RENEWED: f64 = 0.3;

/// What is written down before a window's usage is reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    /// The window.
    pub window: u64,
    /// Requests by account.
    pub counts: AccountCounts,
}

/// Windows of usage, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageTerms {
    /// Length of a window.
    pub length: u64,
    /// Time after the end of a window in which its report is due.
    pub due: u64,
    /// Time after its end for the other daemons' counts to arrive.
    pub settle: u64,
}

/// What the holder does next about usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UsageStep {
    /// Nothing.
    Rest,
    /// Read what is written down.
    Read,
    /// Write this down in place of the record of this revision, 0 for none.
    Write(UsageRecord, u64),
    /// Report this.
    Send(UsageRecord),
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// It stands, with this revision.
    Done(u64),
    /// It was refused, as another record stands there or the duties are no longer held.
    Refused,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// The duties as their holder knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Tenure {
    /// The lease.
    pub lease: u64,
    /// The fencing number.
    pub fence: u64,
    until: u64,
    renew: u64,
    record: Option<UsageRecord>,
    /// Revision of the record; `None` while it is not known what stands there.
    revision: Option<u64>,
    reported: bool,
}

impl Tenure {
    /// A tenure under a lease that was asked for at `asked`, in ms of the steady clock.
    pub fn new(lease: u64, fence: u64, asked: u64, ttl: Duration) -> Self {
        let mut tenure = Self { lease, fence, until: 0, renew: 0, record: None, revision: None, reported: false };
        tenure.renewed(asked, ttl);
        tenure
    }

    /// The lease runs anew from `asked`.
    pub fn renewed(&mut self, asked: u64, ttl: Duration) {
        let ttl = ttl.as_millis() as f64;
        self.until = asked + (ttl * (1.0 - UNUSED)) as u64;
        self.renew = asked + (ttl * RENEWED) as u64;
    }

    /// Whether the lease surely runs.
    pub fn holds(&self, now: u64) -> bool {
        now < self.until
    }

    /// Whether the lease is to be renewed.
    pub fn is_renewal_due(&self, now: u64) -> bool {
        now >= self.renew
    }

    /// What to do about usage at `unix_ms`. `count` gives the window that follows the last one written down, with
    /// its counts, of those that have ended; it is told the first that has not ended and the oldest not overdue.
    pub fn usage_step(
        &self,
        unix_ms: u64,
        terms: UsageTerms,
        count: impl FnOnce(Option<u64>, u64, u64) -> Option<UsageRecord>,
    ) -> UsageStep {
        let Some(revision) = self.revision else { return UsageStep::Read };
        let ended = unix_ms.saturating_sub(terms.settle) / terms.length;
        let owed = self.record.as_ref().filter(|_| !self.reported);
        if let Some(record) = owed.filter(|r| unix_ms < (r.window + 1) * terms.length + terms.due) {
            return UsageStep::Send(record.clone());
        }
        let oldest = ended.saturating_sub(terms.due / terms.length).max(1);
        let written = self.record.as_ref().map(|record| record.window);
        count(written, ended, oldest).map_or(UsageStep::Rest, |record| UsageStep::Write(record, revision))
    }

    /// Takes in what is written down, with its revision. Whether it has been reported is not known.
    pub fn read(&mut self, record: Option<UsageRecord>, revision: u64) {
        self.record = record;
        self.revision = Some(revision);
        self.reported = false;
    }

    /// Takes in what became of writing a record down.
    pub fn wrote(&mut self, record: UsageRecord, written: Written) {
        match written {
            Written::Done(revision) => self.read(Some(record), revision),
            Written::Refused | Written::Unknown => self.revision = None,
        }
    }

    /// Takes in the answer to a report.
    pub fn sent(&mut self, answer: DutyAnswer) {
        self.reported = answer == DutyAnswer::Done;
    }
}

#[cfg(test)]
#[path = "term_search_test.rs"]
mod term_search_test;
