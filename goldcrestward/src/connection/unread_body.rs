//! The part of a request's body that its handler has not read.

use std::{future::poll_fn, pin::Pin, sync::Arc, task::Poll};

use http_body::Body as _;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::task::yield_now;

/// Most bytes that are read to keep a connection whose request was answered without them.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Turns of the connection after which bytes that have not come are taken to be still on their way.
const MAX_IDLE_TURNS: u32 = 3;

/// The body of a request whose handler has dropped it before its end.
#[derive(Clone, Default)]
pub(super) struct UnreadBody(Arc<Mutex<Option<Incoming>>>);

impl UnreadBody {
    /// Takes over the body from its handler.
    pub fn put(&self, body: Option<Incoming>) {
        *self.0.lock() = body;
    }

    /// Discards what has arrived of the body. Returns whether that was all of it.
    pub async fn discard_arrived(&self) -> bool {
        let Some(mut body) = self.0.lock().take() else { return false };
        let (mut bytes, mut idle_turns) = (0, 0);
        while !body.is_end_stream() {
            let polled = poll_fn(|context| match Pin::new(&mut body).poll_frame(context) {
                Poll::Ready(frame) => Poll::Ready(Some(frame)),
                Poll::Pending => Poll::Ready(None),
            });
            match polled.await {
                Some(None) => break,
                Some(Some(Err(_))) => return false,
                Some(Some(Ok(frame))) => {
                    idle_turns = 0;
                    bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
                }
                None => {
                    idle_turns += 1;
                    // The connection reads on only in a turn of its own.
                    yield_now().await;
                }
            }
            if bytes > MAX_DISCARDED_BYTES || idle_turns > MAX_IDLE_TURNS {
                return false;
            }
        }
        true
    }
}
