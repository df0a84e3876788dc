//! What the attempts of a request that is passed through may give.

use bytes::Bytes;
use http::response::Parts;
use hyper::body::Incoming;
use volo_http::response::Response;

use crate::{connection::BackendConnection, port::MigratedKvCache, process::ReplicaGuard};

/// A run's new place and its memory there.
pub(crate) struct MigratedRun {
    /// The server's place.
    pub target: ReplicaGuard,
    /// The memory there.
    pub kv_cache: MigratedKvCache,
}

/// Why an attempt gave no answer to pass on.
pub(crate) enum Failure {
    /// Nothing was sent.
    ConnectFailed,
    /// The server states that it has not run the request.
    NotRun,
    /// The server failed, and vouches for it.
    ErrorResponse(Box<Response>),
    /// No answer came that can be trusted, for the reason given; the request may have run.
    Indeterminate(&'static str),
}

impl Failure {
    /// The failure as a label of counters and log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreached",
            Self::NotRun => "not-run",
            Self::ErrorResponse(_) => "own-failure",
            Self::Indeterminate(reason) => reason,
        }
    }
}

/// A stream that has begun.
pub(crate) struct OpenStream {
    /// Status and headers of the answer.
    pub head: Parts,
    /// What is still to come.
    pub body: Incoming,
    /// The connection, which is kept if the stream ends well.
    pub link: BackendConnection,
    /// The server's place.
    pub guard: ReplicaGuard,
    /// Events that are to be passed on first.
    pub first: Bytes,
}

/// What an attempt gave.
pub(crate) enum ProxyResponse {
    /// A whole answer.
    Buffered(Box<Response>),
    /// A stream that has begun.
    Stream(Box<OpenStream>),
}

/// What an exchange gave.
pub(super) enum Exchange {
    /// A whole answer.
    Buffered(Response),
    /// The head of a stream, what is still to come, its connection, and the first events.
    Stream(Parts, Incoming, BackendConnection, Bytes),
}
