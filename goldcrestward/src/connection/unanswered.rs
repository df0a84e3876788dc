//! Counts and logs the requests whose callers get neither a whole answer nor a whole refusal.

use std::time::Instant;

use log::info;
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use super::request_record::RequestRecord;
use crate::util::derive_value_traits;

/// Most lines that are written in a second for each cause.
const MAX_LINES_PER_SECOND: u32 = 50;

derive_value_traits! {
    /// Why a caller did not get a whole answer.
    pub(crate) enum UnansweredCause {
        /// The caller closed its side before the answer was made whole.
        CallerClosed,
        /// The answer was whole, but the caller had closed its side before it was written.
        CallerGone,
        /// The connection was reset.
        Reset,
        /// The connection failed in another way.
        Connection,
        /// The caller took too long over reading the answer.
        CallerSlow,
        /// The request's deadline passed in the middle of the answer.
        Deadline,
        /// The daemon ended.
        DaemonEnd,
        /// The server sent only part of the answer.
        Server,
        /// The request was on its way when the daemon closed the connection, and was not read.
        Unread,
    }
}

impl UnansweredCause {
    const ALL: [Self; 9] = [
        Self::CallerClosed,
        Self::CallerGone,
        Self::Reset,
        Self::Connection,
        Self::CallerSlow,
        Self::Deadline,
        Self::DaemonEnd,
        Self::Server,
        Self::Unread,
    ];

    /// Value in log lines and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller-closed",
            Self::CallerGone => "caller-gone",
            Self::Reset => "reset",
            Self::Connection => "connection",
            Self::CallerSlow => "caller-slow",
            Self::Deadline => "deadline",
            Self::DaemonEnd => "daemon-end",
            Self::Server => "server",
            Self::Unread => "unread",
        }
    }

    /// The counts of all causes that are not 0, as `cause:count`.
    pub fn summary(counter: &IntCounterVec) -> String {
        let counts = Self::ALL.map(|cause| (cause.label(), counter.with_label_values(&[cause.label()]).get()));
        let counts = counts.iter().filter(|(_, count)| *count > 0);
        counts.map(|(label, count)| format!("{label}:{count}")).collect::<Vec<_>>().join(",")
    }
}

/// Lines of one cause in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct LineRate {
    second: u64,
    written: u32,
    others: u64,
}

impl LineRate {
    /// Returns how many requests have had no line since the last one, if this one is to have a line.
    fn take(&mut self, second: u64) -> Option<u64> {
        if second != self.second {
            (self.second, self.written) = (second, 0);
        }
        if self.written == MAX_LINES_PER_SECOND {
            self.others += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.others))
    }
}

/// Records requests without a whole answer, each once.
pub(crate) struct Unanswered {
    counter: IntCounterVec,
    started: Instant,
    rates: Mutex<[LineRate; UnansweredCause::ALL.len()]>,
}

impl Unanswered {
    pub fn new(counter: IntCounterVec) -> Self {
        Self { counter, started: Instant::now(), rates: Mutex::default() }
    }

    /// Records a request whose head has been read.
    pub(super) fn record(&self, request: &RequestRecord, cause: UnansweredCause, why: &str) {
        let status = request.status().map_or_else(|| "-".to_owned(), |status| status.to_string());
        let (sent, ms) = (request.sent(), request.age().as_millis());
        self.log(cause, |others| {
            let (id, cause) = (request.id(), cause.label());
            info!(
                "event=unanswered id={id} cause={cause} status={status} sent={sent} ms={ms} why={why:?} others={others}"
            );
        });
    }

    /// Records a request that was left unread when its connection was closed.
    pub(super) fn record_unread(&self, id: &str, why: &str) {
        let cause = UnansweredCause::Unread;
        self.log(cause, |others| {
            let cause = cause.label();
            info!("event=unanswered id={id} cause={cause} status=- sent=0 ms=0 why={why:?} others={others}");
        });
    }

    fn log(&self, cause: UnansweredCause, write: impl FnOnce(u64)) {
        self.counter.with_label_values(&[cause.label()]).inc();
        let others = self.rates.lock()[cause as usize].take(self.started.elapsed().as_secs());
        if let Some(others) = others {
            write(others);
        }
    }
}

#[cfg(test)]
#[path = "unanswered_test.rs"]
mod unanswered_test;
