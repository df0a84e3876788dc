//! The body of an answer that has been read whole before it is passed on.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use log::info;
use volo_http::{body::Body, error::BoxError};

use crate::{
    connection::{BrokenAnswer, UnansweredCause},
    process::{KeptAnswer, Shared},
};

/// Size of the pieces that are handed to a caller's connection. They are no longer counted, so the connection gets the
/// next one only when it has room.
const PIECE_BYTES: usize = 64 * 1024;

/// A body that hands out a kept answer as the caller reads it, and breaks off if the answer has given way.
pub(crate) struct KeptBody {
    answer: KeptAnswer,
    shared: Arc<Shared>,
    id: Arc<str>,
    instance: Arc<str>,
    sent: usize,
    is_broken: bool,
}

impl KeptBody {
    /// Creates the body of the answer of server `instance` to request `id`.
    pub fn body(answer: KeptAnswer, shared: &Arc<Shared>, id: &Arc<str>, instance: &Arc<str>) -> Body {
        if answer.is_empty() {
            return Body::empty();
        }
        let (shared, id, instance) = (shared.clone(), id.clone(), instance.clone());
        Body::from_body(Self { answer, shared, id, instance, sent: 0, is_broken: false })
    }
}

impl KeptBody {
    fn record_broken(&mut self) {
        self.is_broken = true;
        let (id, instance, bytes, sent) = (&self.id, &self.instance, self.answer.len(), self.sent);
        info!("event=answer-unread id={id} instance={instance} bytes={bytes} sent={sent}");
        self.shared.metrics.cut_answers.inc();
    }
}

impl Drop for KeptBody {
    fn drop(&mut self) {
        // The caller reads too slowly for the body to be polled after it has given way.
        if !self.is_end_stream() && self.answer.bytes().is_err() {
            self.record_broken();
        }
    }
}

impl HttpBody for KeptBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        let Ok(piece) = self.answer.take_piece(self.sent, PIECE_BYTES) else {
            self.record_broken();
            return Poll::Ready(Some(Err(BrokenAnswer::new(
                UnansweredCause::CallerSlow,
                "the caller has not read the answer in time",
            )
            .into())));
        };
        self.sent += piece.len();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_broken || self.sent == self.answer.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.answer.len() - self.sent) as u64)
    }
}
