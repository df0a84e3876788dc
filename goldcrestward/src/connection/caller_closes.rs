//! Counts and logs the connections of callers that are closed over a request which has had no answer, or over one that
//! may be on its way.

use std::{io, time::Instant};

use log::{info, warn};
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec};

use super::{
    activity::Activity,
    request_record::RequestRecord,
    unanswered::{Unanswered, UnansweredCause},
};
use crate::{process::LineLimit, request::Refusal};

/// Header that names a request.
const ID_HEADER: &[u8] = b"x-request-id";
/// Longest id that is logged, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Why the daemon closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The idle time-out.
    Idle,
    /// The stop of the daemon.
    Stop,
    /// The time-out for heads.
    HeadTimeout,
    /// What came is no request.
    Framing,
    /// The end of an answer that announced it, or that no other may follow.
    LastAnswer,
}

impl CloseReason {
    /// Whether the caller gets a refusal.
    fn is_refused(self) -> bool {
        matches!(self, Self::HeadTimeout | Self::Framing)
    }

    /// Whether the caller may still use the connection, as nothing has told it of the close.
    pub fn is_unannounced(self) -> bool {
        matches!(self, Self::Idle | Self::Stop)
    }

    fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::HeadTimeout => "head-timeout",
            Self::Framing => "framing",
            Self::LastAnswer => "last-answer",
        }
    }
}

/// Records closes over a request that has had no answer.
pub(crate) struct CallerCloses {
    counter: IntCounterVec,
    unannounced: IntCounterVec,
    failed_accepts: IntCounter,
    late_arrivals: IntCounterVec,
    /// `None` for connections of operators.
    unanswered: Option<Unanswered>,
    started: Instant,
    lines: Mutex<LineLimit>,
    unannounced_lines: Mutex<LineLimit>,
    accept_lines: Mutex<LineLimit>,
}

impl CallerCloses {
    /// Creates a record with counters, by reason, of closes over a request that has arrived and of those that may cross
    /// one, of connections that could not be accepted at once, and of requests that come after the notice of a stop.
    pub fn new(
        counter: IntCounterVec,
        unannounced: IntCounterVec,
        failed_accepts: IntCounter,
        late_arrivals: IntCounterVec,
    ) -> Self {
        Self {
            counter,
            unannounced,
            failed_accepts,
            late_arrivals,
            unanswered: None,
            started: Instant::now(),
            lines: Mutex::default(),
            unannounced_lines: Mutex::default(),
            accept_lines: Mutex::default(),
        }
    }

    /// Records each request without a whole answer, too, in a counter by cause.
    pub fn with_unanswered(self, counter: IntCounterVec) -> Self {
        Self { unanswered: Some(Unanswered::new(counter)), ..self }
    }

    /// Records a request that gets no whole answer.
    pub(super) fn record_unanswered(&self, request: &RequestRecord, cause: UnansweredCause, why: &str) {
        if let Some(unanswered) = &self.unanswered {
            unanswered.record(request, cause, why);
        }
    }

    /// Records the close of a connection that its caller may still use, as nothing has told it of the close.
    pub(super) fn record_unannounced(&self, reason: CloseReason, activity: &Activity) {
        self.unannounced.with_label_values(&[reason.label()]).inc();
        let now_ms = self.started.elapsed().as_millis() as u64;
        let Some(others) = self.unannounced_lines.lock().record(now_ms) else { return };
        let (reason, idle_ms, unread_body) = (reason.label(), activity.idle().as_millis(), activity.has_unread_body());
        info!(
            "event=caller-close-unannounced reason={reason} idle_ms={idle_ms} unread_body={unread_body} others={others}"
        );
    }

    /// Counts a connection that has ended with an error before an answer was whole, though its caller had not closed it.
    pub(super) fn record_broken(&self, activity: &Activity) {
        if activity.lacks_answer() && !activity.is_left() {
            self.counter.with_label_values(&["broken"]).inc();
        }
    }

    /// Records a request that has crossed the close of its connection, whose caller got the refusal.
    pub(super) fn record_crossing(&self, reason: CloseReason, refusal: &Refusal, crossing: &[u8]) {
        let (id, label, run) = (request_id(crossing), refusal.reason.label(), refusal.run.label());
        info!("event=refused id={id} reason={label} run={run} close={} message={:?}", reason.label(), refusal.message);
    }

    /// Records a request that came after the notice of a stop, on a connection that is new since or older.
    pub(super) fn record_late_arrival(&self, is_new: bool) {
        self.late_arrivals.with_label_values(&[if is_new { "new" } else { "kept" }]).inc();
    }

    /// Records that a connection could not be accepted, as when file descriptors have run out: it waits meanwhile.
    pub(super) fn record_failed_accept(&self, error: &io::Error) {
        self.failed_accepts.inc();
        let now_ms = self.started.elapsed().as_millis() as u64;
        let Some(others) = self.accept_lines.lock().record(now_ms) else { return };
        warn!("event=accept-failed error={:?} others={others}", error.to_string());
    }

    /// Records a close over `buffered` bytes that were read and `unread` ones that were not.
    pub(super) fn record(&self, reason: CloseReason, activity: &Activity, buffered: &[u8], unread: &[u8]) {
        self.counter.with_label_values(&[reason.label()]).inc();
        let id = request_id(&[buffered, unread].concat());
        if let (Some(unanswered), false) = (&self.unanswered, reason.is_refused()) {
            unanswered.record_unread(&id, reason.label());
        }
        let now_ms = self.started.elapsed().as_millis() as u64;
        let Some(others) = self.lines.lock().record(now_ms) else { return };
        let (reason, idle_ms) = (reason.label(), activity.idle().as_millis());
        let (limit_ms, answer_limit_ms) = activity.idle_limits_ms();
        info!(
            "event=caller-closed id={id} reason={reason} idle_ms={idle_ms} limit_ms={limit_ms} \
             answer_limit_ms={answer_limit_ms} buffered={} unread={} others={others}",
            buffered.len(),
            unread.len()
        );
    }
}

/// The id in the head of a request, as far as it can be told; `-` if not.
pub(super) fn request_id(bytes: &[u8]) -> String {
    let mut fields = bytes.split(|byte| *byte == b'\n').take_while(|line| !line.trim_ascii().is_empty());
    let id = fields.find_map(|line| {
        let at = line.iter().position(|byte| *byte == b':')?;
        line[..at].eq_ignore_ascii_case(ID_HEADER).then(|| line[at + 1..].trim_ascii())
    });
    let is_id = |id: &&[u8]| !id.is_empty() && id.len() <= MAX_ID_BYTES && id.iter().all(is_id_byte);
    id.filter(is_id).map_or_else(|| "-".to_owned(), |id| String::from_utf8_lossy(id).into_owned())
}

/// Whether a byte stands in a log line's value without quotes.
fn is_id_byte(byte: &u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'"' | b'=')
}

#[cfg(test)]
#[path = "caller_closes_test.rs"]
mod caller_closes_test;
