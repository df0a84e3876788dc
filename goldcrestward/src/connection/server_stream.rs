//! The stream of a connection to a server.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::response_head::ResponseHead;

/// Bytes that are read in a row before other tasks get their turn.
const TURN_BYTES: usize = 64 * 1024;

/// Fails when a response head exceeds its bounds, and yields to other tasks while a server sends without pause.
pub(super) struct ServerStream<S> {
    stream: S,
    /// The head of the current response; whoever sends the next request restarts it.
    head: Arc<Mutex<ResponseHead>>,
    /// Bytes read in this turn.
    turn_bytes: usize,
}

impl<S> ServerStream<S> {
    pub fn new(stream: S, head: Arc<Mutex<ResponseHead>>) -> Self {
        Self { stream, head, turn_bytes: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ServerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {}
            other => {
                self.turn_bytes = 0;
                return other;
            }
        }
        let received = &buffer.filled()[before..];
        self.turn_bytes += received.len();
        let read = self.head.lock().read(received);
        Poll::Ready(read.map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ServerStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
#[path = "server_stream_test.rs"]
mod server_stream_test;
