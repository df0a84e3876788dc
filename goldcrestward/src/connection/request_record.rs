//! What has become of one request of a caller.

use std::{
    error::Error,
    fmt,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use super::unanswered::UnansweredCause;

/// A request from its head to the last byte of its answer.
pub(crate) struct RequestRecord {
    read_at: Instant,
    id: OnceLock<Arc<str>>,
    /// 0 before there is an answer.
    status: AtomicU16,
    /// Bytes of the answer's body that were handed to the HTTP library.
    sent: AtomicU64,
    /// Whether the HTTP library has all of the answer.
    is_made: AtomicBool,
    /// Why the answer broke off.
    failure: Mutex<Option<(UnansweredCause, String)>>,
}

impl RequestRecord {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            read_at: Instant::now(),
            id: OnceLock::new(),
            status: AtomicU16::new(0),
            sent: AtomicU64::new(0),
            is_made: AtomicBool::new(false),
            failure: Mutex::default(),
        })
    }

    /// Sets the id that log lines name. Only the first call has an effect.
    pub fn set_id(&self, id: Arc<str>) {
        self.id.get_or_init(|| id);
    }

    pub fn id(&self) -> &str {
        self.id.get().map_or("-", |id| id)
    }

    /// Time since the head was read.
    pub fn age(&self) -> Duration {
        self.read_at.elapsed()
    }

    /// Status of the answer, if there is one.
    pub fn status(&self) -> Option<u16> {
        Some(self.status.load(Ordering::Relaxed)).filter(|status| *status > 0)
    }

    pub(super) fn set_status(&self, status: u16) {
        self.status.store(status, Ordering::Relaxed);
    }

    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    pub(super) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn set_made(&self) {
        self.is_made.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_made(&self) -> bool {
        self.is_made.load(Ordering::Relaxed)
    }

    /// Records that the answer breaks off with an error.
    pub(super) fn fail(&self, error: &(dyn Error + Send + Sync + 'static)) {
        let cause = error.downcast_ref::<BrokenAnswer>().map_or(UnansweredCause::Server, |error| error.cause);
        *self.failure.lock() = Some((cause, error.to_string()));
    }

    /// Why the answer broke off, if it did.
    pub(super) fn failure(&self) -> Option<(UnansweredCause, String)> {
        self.failure.lock().clone()
    }
}

/// The error of a body that ends before the answer is whole.
#[derive(Debug)]
pub(crate) struct BrokenAnswer {
    cause: UnansweredCause,
    message: String,
}

impl BrokenAnswer {
    pub fn new(cause: UnansweredCause, message: impl Into<String>) -> Self {
        Self { cause, message: message.into() }
    }
}

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl Error for BrokenAnswer {}
