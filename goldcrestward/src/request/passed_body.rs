//! The body of a plain service's answer, which is passed on as it comes.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use log::info;
use tokio::time::{Instant, Sleep, sleep};
use volo_http::{body::Body, error::BoxError};

use super::model::IDLE_TIMEOUT;
use crate::{
    config::Route,
    process::{AdmissionPermit, InFlight, ReplicaGuard, Shared},
    version::Sample,
};

/// A body that breaks off when its server has sent nothing for [`IDLE_TIMEOUT`] although the caller takes more. The time
/// that the caller takes to read does not count.
pub(crate) struct PassedBody {
    shared: Arc<Shared>,
    id: Arc<str>,
    route: Arc<Route>,
    /// `None` once the body has broken off.
    source: Option<BodySource>,
    silence: Pin<Box<Sleep>>,
    /// Whether the last poll found nothing, so that `silence` runs.
    is_waiting: bool,
    bytes: u64,
}

struct BodySource {
    body: Body,
    guard: ReplicaGuard,
    _held: HeldForBody,
}

/// What a request holds until its answer has been passed on.
pub(crate) type HeldForBody = (AdmissionPermit, InFlight);

impl PassedBody {
    /// Creates the body of the answer of a replica to request `id` on `route`. `guard` and `held` are released at its end.
    pub fn new(
        shared: Arc<Shared>,
        id: Arc<str>,
        route: Arc<Route>,
        body: Body,
        guard: ReplicaGuard,
        held: HeldForBody,
    ) -> Self {
        let source = Some(BodySource { body, guard, _held: held });
        let silence = Box::pin(sleep(IDLE_TIMEOUT));
        Self { shared, id, route, source, silence, is_waiting: false, bytes: 0 }
    }

    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_waiting {
            self.is_waiting = true;
            self.silence.as_mut().reset(Instant::now() + IDLE_TIMEOUT);
        }
        self.silence.as_mut().poll(context)
    }

    /// Closes the connection to the server and gives its place back.
    fn break_off(&mut self) {
        let Some(BodySource { guard, .. }) = self.source.take() else { return };
        let (id, route, bytes, replica) = (&self.id, &self.route.name, self.bytes, guard.replica());
        info!("event=body-silent id={id} route={route} instance={} bytes={bytes}", replica.id);
        self.shared.metrics.cut_answers.inc();
        replica.update_ejection(false, self.shared.now());
        self.shared.observe(replica, route, Sample::Failed);
    }
}

impl HttpBody for PassedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Some(source) = &mut self.source else { return Poll::Ready(None) };
        if let Poll::Ready(frame) = Pin::new(&mut source.body).poll_frame(context) {
            self.is_waiting = false;
            if let Some(Ok(frame)) = &frame {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
            }
            return Poll::Ready(frame);
        }
        ready!(self.poll_silence(context));
        self.break_off();
        Poll::Ready(Some(Err("the back end has fallen silent".into())))
    }

    fn is_end_stream(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.source.as_ref().map_or_else(SizeHint::default, |source| source.body.size_hint())
    }
}
