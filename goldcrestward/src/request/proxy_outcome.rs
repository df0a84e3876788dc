//! Results of the attempts of a proxied request.

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use hyper::body::Incoming;
use volo_http::response::Response;

use super::{held_answer::HeldAnswer, refusal::Refusal};
use crate::{connection::BackendConnection, port::MigratedKvCache, process::ReplicaGuard};

/// A run that has been stopped to resume on another server.
pub(crate) struct MigratedRun {
    /// The server that the run has been migrated to; `None` if it resumes where it was, as no other had room.
    pub target: Option<ReplicaGuard>,
    /// The run's KV cache.
    pub kv_cache: MigratedKvCache,
}

/// Why an attempt produced no response to pass on.
pub(crate) enum ProxyFailure {
    /// The connection could not be established, so nothing was sent.
    ConnectFailed,
    /// Neither this daemon nor a peer that was asked reaches the server, so nothing was sent.
    NoPath,
    /// The server has stopped taking requests meanwhile, so nothing was sent.
    Withdrawn,
    /// The server reports that it has not run the request.
    NotRun,
    /// Another instance has the server's address, which has not run the request.
    Misdirected,
    /// The server returned a sealed 5xx response.
    ErrorResponse(Box<HeldAnswer>),
    /// No trustworthy response was received, for the given reason; the request may have run.
    Indeterminate(&'static str),
    /// Nothing was sent, as the request may not be begun any more.
    TooLate(Box<Refusal>),
    /// Nothing was sent, as the retry budget has been used up meanwhile.
    OverBudget,
    /// The daemon ended first.
    Stopped,
    /// The run has been stopped to resume on another server; with the place at the one that ran it.
    Migrated(Box<(MigratedRun, ReplicaGuard)>),
    /// The server was silent and left for the named one, whose attempt failed for this reason.
    TakenOver(Box<(Arc<str>, ProxyFailure)>),
}

impl ProxyFailure {
    /// Whether the server of the attempt has not run the request.
    pub fn is_unserved(&self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NoPath | Self::Withdrawn | Self::NotRun | Self::Misdirected)
    }

    /// Label of the failure in metrics and log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreached",
            Self::NoPath => "no-path",
            Self::Withdrawn => "withdrawn",
            Self::NotRun => "not-run",
            Self::Misdirected => "misdirected",
            Self::ErrorResponse(_) => "own-failure",
            Self::Indeterminate(reason) => reason,
            Self::TooLate(_) => "too-late",
            Self::OverBudget => "over-budget",
            Self::Stopped => "stopped",
            Self::Migrated(_) => "moved",
            Self::TakenOver(other) => other.1.label(),
        }
    }

    /// The last of the attempts that failed, and its server; `instance` is that of the first.
    pub fn locate(self, instance: Arc<str>) -> (Arc<str>, Self) {
        match self {
            Self::TakenOver(other) => other.1.locate(other.0),
            failure => (instance, failure),
        }
    }
}

/// A stream whose first events have been received.
pub(crate) struct ProxyStream {
    /// Status and headers of the response.
    pub head: Parts,
    /// The rest of the response body.
    pub body: Incoming,
    /// The connection, which is reused if the stream ends without an error.
    pub connection: BackendConnection,
    /// The server that sends the stream.
    pub guard: ReplicaGuard,
    /// The events received so far.
    pub first: Bytes,
}

/// A response to pass on.
pub(crate) enum ProxyResponse {
    /// A complete response.
    Buffered(Box<Response>),
    /// A stream whose first events have been received.
    Stream(Box<ProxyStream>),
}

/// Result of sending a request to a server.
pub(super) enum ExchangeResult {
    /// A complete response.
    Buffered(Response),
    /// The head of a stream, the rest of its body, its connection and the events received so far.
    Stream(Parts, Incoming, BackendConnection, Bytes),
    /// The response of another server, which was asked as the first one was silent.
    Elsewhere(ProxyResponse),
}
