//! Entries and answers of the platform's services that cannot be read.

use std::{sync::Arc, time::Instant};

use log::warn;
use parking_lot::Mutex;
use prometheus::IntCounter;

use super::{
    line_limit::LineLimit,
    refused_entries::{RefusalLine, RefusedEntries},
};
use crate::store::Revision;

/// Counts and logs what this daemon refuses of the platform's services; clones share the counts.
#[derive(Clone, Debug)]
pub(crate) struct Refusals(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    entries: Mutex<RefusedEntries>,
    answers: Mutex<LineLimit>,
    counter: IntCounter,
    started: Instant,
}

impl Refusals {
    /// Creates an empty record; `counter` counts the refused entries.
    pub fn new(counter: IntCounter) -> Self {
        let (entries, answers, started) = (Mutex::default(), Mutex::default(), Instant::now());
        Self(Arc::new(Inner { entries, answers, counter, started }))
    }

    /// Counts an entry that cannot be read, and logs it, once for each of its revisions.
    pub fn record_entry(&self, key: &str, revision: Revision, bytes: usize, error: &str) {
        let line = self.0.entries.lock().record(key, revision, self.now());
        if line == RefusalLine::Known {
            return;
        }
        self.0.counter.inc();
        if let RefusalLine::Logged(others) = line {
            warn!("event=entry-refused key={key:?} revision={revision} bytes={bytes} error={error:?} others={others}");
        }
    }

    /// Logs an answer of which nothing can be read.
    pub fn record_answer(&self, service: &str, call: &str, bytes: usize, error: &str) {
        if let Some(others) = self.0.answers.lock().record(self.now()) {
            warn!("event=answer-refused service={service:?} call={call} bytes={bytes} error={error:?} others={others}");
        }
    }

    fn now(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }
}
