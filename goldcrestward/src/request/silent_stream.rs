//! A stream whose server is silent, while another server is asked to go on with it.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http_body::Body as _;
use hyper::body::Incoming;

use super::{
    fallback::Fallback,
    numbered_events::EventSequence,
    proxy::ProxyCall,
    proxy_outcome::ProxyResponse,
    refusal::Refusal,
    takeover::{Awaited, Takeover},
};
use crate::{connection::BackendConnection, process::ReplicaGuard};

/// The stream of a server.
pub(super) struct OpenStream {
    pub body: Incoming,
    pub connection: BackendConnection,
    pub head: HeaderMap,
}

/// How a stream goes on.
pub(super) enum Continuation {
    /// At another server, if that has answered.
    Elsewhere(EventSequence, Result<ProxyResponse, Refusal>),
    /// At the server that was silent, with the events that it has sent, if any.
    Here(EventSequence, Box<OpenStream>, ReplicaGuard, Option<Bytes>),
}

/// A stream whose caller has got its beginning from a server that is silent now.
pub(super) struct SilentStream {
    sequence: EventSequence,
    /// `None` once it has been given up.
    open: Option<Box<OpenStream>>,
    /// What was received since, which counts as forwarded.
    received: BytesMut,
}

impl SilentStream {
    pub fn new(sequence: EventSequence, open: OpenStream) -> Self {
        Self { sequence, open: Some(Box::new(open)), received: BytesMut::new() }
    }

    /// Goes on at the server that sends the next event first.
    pub async fn go_on(mut self, call: &mut ProxyCall, guard: ReplicaGuard, fallback: Fallback) -> Continuation {
        let mut sequence = self.sequence.fork(&call.gateway.shared.response_memory);
        let takeover = call.take_over(&guard, &mut self, fallback, &mut sequence).await;
        let Self { sequence: own, open, received } = self;
        let has_resumed = match takeover {
            Takeover::TakenOver { instance, result } => {
                drop(guard);
                let response = call.go_on(&instance, result, &mut sequence).await;
                return Continuation::Elsewhere(sequence, response);
            }
            Takeover::Resumed(_) => true,
            Takeover::Returned(_) => false,
        };
        let Some(open) = open else {
            let response = call.attempts(&mut sequence).await;
            return Continuation::Elsewhere(sequence, response);
        };
        let events = (has_resumed || !received.is_empty()).then(|| received.freeze());
        Continuation::Here(own, open, guard, events)
    }

    fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Result<(), &'static str>> {
        let Some(open) = &mut self.open else { return Poll::Pending };
        let forwarded = self.sequence.forwarded();
        loop {
            // The stream is at its end, or the error is found when its events have been forwarded.
            if self.sequence.poll_given_up(context).is_ready() || open.body.is_end_stream() {
                return Poll::Ready(Ok(()));
            }
            let Some(frame) = ready!(Pin::new(&mut open.body).poll_frame(context)) else {
                return Poll::Ready(if self.sequence.is_partial() { Err("cut") } else { Ok(()) });
            };
            let Ok(frame) = frame else { return Poll::Ready(Err("cut")) };
            self.received.extend_from_slice(&self.sequence.read(&frame.into_data().unwrap_or_default()));
            if self.sequence.forwarded() > forwarded {
                return Poll::Ready(Ok(()));
            }
            if self.sequence.error().is_some() {
                return Poll::Ready(Err("disorder"));
            }
        }
    }
}

impl Awaited for SilentStream {
    type Output = Result<(), &'static str>;

    fn poll_output(&mut self, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.poll_events(context)
    }

    fn failure(output: &Self::Output) -> Option<&'static str> {
        output.err()
    }

    fn close(&mut self) {
        self.open = None;
    }
}
