//! A response body that ends with the daemon.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body::{Body as HttpBody, Frame, SizeHint};
use parking_lot::Mutex;
use volo_http::{body::Body, error::BoxError, response::Response};

use super::run_window::RunWindow;

/// A body that breaks off when the daemon ends, which is logged then.
pub(crate) struct BoundedBody {
    body: Body,
    window: RunWindow,
    /// The mutex is never contended; it makes the body `Sync`.
    ended: Mutex<BoxFuture<'static, ()>>,
    bytes: u64,
}

impl BoundedBody {
    /// Bounds the body of a response, unless all of it is there already.
    pub fn bound(response: Response, window: RunWindow) -> Response {
        if response.body().size_hint().exact().is_some() {
            return response;
        }
        let ended = Mutex::new({
            let window = window.clone();
            Box::pin(async move { window.ended().await }) as BoxFuture<'static, ()>
        });
        response.map(|body| Body::from_body(Self { body, window, ended, bytes: 0 }))
    }
}

impl HttpBody for BoundedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                return polled;
            }
            Poll::Ready(_) => return polled,
            Poll::Pending => {}
        }
        if self.ended.get_mut().as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.window.record_cut(self.bytes);
        Poll::Ready(Some(Err("the daemon is being stopped".into())))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
