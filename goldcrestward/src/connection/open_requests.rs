//! The requests of a connection that have not been answered yet.

use std::{io, sync::Arc};

use parking_lot::Mutex;

use super::{
    activity::Activity, caller_closes::CallerCloses, request_record::RequestRecord, unanswered::UnansweredCause,
};

/// The requests of a connection whose answers have not been written to their end. There are several only if the caller does
/// not wait for an answer before its next request.
#[derive(Default)]
pub(super) struct OpenRequests(Mutex<Vec<Arc<RequestRecord>>>);

impl OpenRequests {
    pub fn begin(&self) -> Arc<RequestRecord> {
        let record = RequestRecord::new();
        self.0.lock().push(record.clone());
        record
    }

    /// Removes and returns the requests whose answers are whole.
    pub fn take_made(&self) -> Vec<Arc<RequestRecord>> {
        self.0.lock().extract_if(.., |record| record.is_made()).collect()
    }

    fn take_all(&self) -> Vec<Arc<RequestRecord>> {
        std::mem::take(&mut *self.0.lock())
    }
}

/// Records, at the end of a connection, the requests that it leaves without a whole answer. A connection whose task is dropped
/// ends with the daemon.
pub(super) struct ConnectionRecord<'a> {
    activity: &'a Activity,
    closes: &'a CallerCloses,
    end: Option<(UnansweredCause, String)>,
}

impl<'a> ConnectionRecord<'a> {
    pub fn new(activity: &'a Activity, closes: &'a CallerCloses) -> Self {
        Self { activity, closes, end: None }
    }

    /// Records how the connection has ended.
    pub fn end(&mut self, ended: &hyper::Result<()>) {
        let (caller_end, text) = (self.activity.caller_end(), ended.as_ref().err().map(ToString::to_string));
        let cause = match caller_end {
            Some(CallerEnd::Closed) => UnansweredCause::CallerClosed,
            Some(CallerEnd::Reset) => UnansweredCause::Reset,
            None => UnansweredCause::Connection,
        };
        self.end = Some((cause, text.unwrap_or_else(|| "closed".to_owned())));
    }
}

impl Drop for ConnectionRecord<'_> {
    fn drop(&mut self) {
        let end = self.end.take();
        let (cause, why) = end.unwrap_or_else(|| (UnansweredCause::DaemonEnd, "the daemon has ended".to_owned()));
        for request in self.activity.open_requests().take_all() {
            let (cause, why) = request.failure().unwrap_or_else(|| (cause, why.clone()));
            self.closes.record_unanswered(&request, cause, &why);
        }
    }
}

/// How a caller has ended its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerEnd {
    Closed,
    Reset,
}

impl CallerEnd {
    /// What an error of the connection says; `None` if nothing.
    pub fn of_error(error: &io::Error) -> Option<Self> {
        use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected};

        matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | NotConnected).then_some(Self::Reset)
    }
}
