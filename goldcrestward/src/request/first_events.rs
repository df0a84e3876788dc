//! The first events of a stream, which are awaited before the caller gets any of it: until then the request can still be
//! retried at another server.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{header, response::Parts};
use http_body::Body as _;
use hyper::body::Incoming;

use super::{
    numbered_events::{EventSequence, SequenceError},
    proxy::ProxyCall,
    proxy_outcome::{ExchangeResult, ProxyFailure},
    takeover::{Awaited, Waited},
};
use crate::{
    connection::BackendConnection,
    process::{ReplicaGuard, TooLong},
};

/// Why a stream did not begin.
pub(super) enum FirstEventError {
    TooLong(TooLong),
    /// Another reason, as a label.
    Other(&'static str),
}

/// A stream whose first events are awaited.
struct FirstEvents<'a> {
    sequence: &'a mut EventSequence,
    /// `None` once it has been given up.
    open: Option<(Incoming, BackendConnection)>,
    /// A body without a length also ends when its server breaks off.
    has_length: bool,
}

impl FirstEvents<'_> {
    fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, FirstEventError>> {
        let Some((body, _)) = &mut self.open else { return Poll::Pending };
        loop {
            if let Poll::Ready(error) = self.sequence.poll_given_up(context) {
                return Poll::Ready(Err(FirstEventError::TooLong(error)));
            }
            let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(context)) else { break };
            let Ok(data) = frame.map_err(drop).and_then(|frame| frame.into_data().map_err(drop)) else {
                return Poll::Ready(Err(FirstEventError::Other("cut")));
            };
            let events = self.sequence.read(&data);
            if self.sequence.has_begun() {
                return Poll::Ready(Ok(events));
            }
            match self.sequence.error() {
                Some(SequenceError::TooLong(error)) => return Poll::Ready(Err(FirstEventError::TooLong(error))),
                Some(_) => return Poll::Ready(Err(FirstEventError::Other("disorder"))),
                None => {}
            }
        }
        let is_whole = self.has_length && self.sequence.may_end();
        Poll::Ready(if is_whole { Ok(Bytes::new()) } else { Err(FirstEventError::Other("empty")) })
    }
}

impl Awaited for FirstEvents<'_> {
    type Output = Result<Bytes, FirstEventError>;

    fn poll_output(&mut self, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.poll_events(context)
    }

    fn failure(output: &Self::Output) -> Option<&'static str> {
        match output {
            Ok(_) => None,
            Err(FirstEventError::TooLong(_)) => Some("too-long"),
            Err(FirstEventError::Other(cause)) => Some(cause),
        }
    }

    fn close(&mut self) {
        self.open = None;
    }
}

impl ProxyCall {
    /// Waits for the first events of a stream.
    pub(super) async fn first_event(
        &mut self,
        guard: &ReplicaGuard,
        head: Parts,
        body: Incoming,
        connection: BackendConnection,
        sequence: &mut EventSequence,
    ) -> Result<ExchangeResult, ProxyFailure> {
        sequence.restart_at(&guard.replica().id);
        let has_length =
            [header::CONTENT_LENGTH, header::TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name));
        let mut other = sequence.fork(&self.gateway.shared.response_memory);
        let mut first = FirstEvents { sequence, open: Some((body, connection)), has_length };
        let waited = self.wait_or_take_over(guard, &mut first, &mut other).await;
        let FirstEvents { sequence, open, .. } = first;
        let events = match waited {
            Waited::Output(events) => events,
            Waited::TakenOver(result) => {
                *sequence = other;
                return *result;
            }
            Waited::Ended => Err(FirstEventError::Other("silent")),
        };
        let cause = match (events, open) {
            (Ok(events), Some((body, connection))) => {
                self.count_started();
                return Ok(ExchangeResult::Stream(head, body, connection, events));
            }
            (Err(FirstEventError::TooLong(error)), _) => self.record_too_long(guard, "event", &error),
            (Err(FirstEventError::Other(cause)), _) => cause,
            (Ok(_), None) => "cut",
        };
        Err(ProxyFailure::Indeterminate(cause))
    }
}
