//! A response body that ends with the daemon.

use std::{
    mem,
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::StatusCode;
use http_body::{Body as HttpBody, Frame, SizeHint};
use parking_lot::Mutex;
use volo_http::{body::Body, error::BoxError, response::Response};

use super::run_window::RunWindow;
use crate::connection::{BrokenAnswer, UnansweredCause};

/// A body that breaks off when the daemon ends, which is logged then.
pub(crate) struct BoundedBody {
    body: Body,
    window: RunWindow,
    /// The mutex is never contended; it makes the body `Sync`.
    ended: Mutex<BoxFuture<'static, ()>>,
    bytes: u64,
    /// When the head or a piece of the body came last.
    last_frame: Instant,
    status: StatusCode,
    /// When the run began whose time is recorded at the end of the body.
    started: Option<Instant>,
    is_over: bool,
}

impl BoundedBody {
    /// Bounds the body of a response that is passed on as it comes. If the response belongs to a run that `started`,
    /// its time is recorded at the end of the body.
    pub fn bound(response: Response, window: RunWindow, started: Option<Instant>) -> Response {
        let ended = Mutex::new({
            let window = window.clone();
            Box::pin(async move { window.ended().await }) as BoxFuture<'static, ()>
        });
        let status = response.status();
        response.map(|body| {
            let last_frame = Instant::now();
            let mut bounded = Self { body, window, ended, bytes: 0, last_frame, status, started, is_over: false };
            // The HTTP library does not poll a body that is empty.
            if bounded.body.is_end_stream() {
                bounded.finish();
            }
            Body::from_body(bounded)
        })
    }
}

impl BoundedBody {
    fn finish(&mut self) {
        if !mem::replace(&mut self.is_over, true)
            && let Some(started) = self.started
        {
            self.window.record_answer(self.status, started);
        }
    }
}

impl Drop for BoundedBody {
    fn drop(&mut self) {
        // The caller reads too slowly for the body to be polled at the end of the daemon.
        if !self.is_over && self.window.has_ended() {
            self.window.record_cut(self.bytes, self.last_frame.elapsed());
        }
    }
}

impl HttpBody for BoundedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.last_frame = Instant::now();
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                if self.body.is_end_stream() {
                    self.finish();
                }
                return polled;
            }
            Poll::Ready(None) => {
                self.finish();
                return polled;
            }
            Poll::Ready(Some(Err(_))) => {
                self.is_over = true;
                return polled;
            }
            Poll::Pending => {}
        }
        if self.ended.get_mut().as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.is_over = true;
        self.window.record_cut(self.bytes, self.last_frame.elapsed());
        Poll::Ready(Some(Err(BrokenAnswer::new(UnansweredCause::DaemonEnd, "the daemon is being stopped").into())))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
