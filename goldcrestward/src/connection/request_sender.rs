//! The sending side of an HTTP/1.1 connection to a server.

use std::{error::Error, sync::Arc};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite};

use super::{
    client::SendError,
    response_head::{MAX_RESPONSE_HEAD_BYTES, ResponseHead},
    server_stream::ServerStream,
};

/// Size limit of the buffer for what is read; larger than a head, so that the stream's bound is the one that counts.
const MAX_BUFFER_BYTES: usize = MAX_RESPONSE_HEAD_BYTES + 16 * 1024;

/// Sends requests, one at a time. Dropping it closes the connection.
pub(super) struct RequestSender<B> {
    sender: SendRequest<B>,
    head: Arc<Mutex<ResponseHead>>,
}

impl<B> RequestSender<B>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    /// Uses a connection that has carried nothing.
    pub async fn new(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        mut builder: Builder,
    ) -> Option<Self> {
        let head = Arc::<Mutex<ResponseHead>>::default();
        let stream = TokioIo::new(ServerStream::new(stream, head.clone()));
        let (sender, connection) = builder.max_buf_size(MAX_BUFFER_BYTES).handshake(stream).await.ok()?;
        // Errors of the connection are returned to the request that uses it.
        tokio::spawn(async move { connection.await.ok() });
        Some(Self { sender, head })
    }

    /// Sends a request.
    ///
    /// # Errors
    /// Says whether the server may have received the request, and returns the request if it has not.
    pub async fn send(&mut self, request: Request<B>) -> Result<Response<Incoming>, (SendError, Option<Request<B>>)> {
        self.head.lock().restart();
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(request) => (SendError::NotSent, Some(request)),
            None => (self.send_error(error.error()), None),
        })
    }

    /// Waits until the last response has been read to its end. Returns false if the connection is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn send_error(&self, error: &hyper::Error) -> SendError {
        // The HTTP library limits the number of fields.
        if error.is_parse_too_large() {
            return SendError::HeadTooLong(self.head.lock().progress());
        }
        let source = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
        let bound = source.and_then(|error| error.get_ref()?.downcast_ref());
        bound.copied().map_or(SendError::MaybeSent, SendError::HeadTooLong)
    }
}
