//! A TCP connection that tells whether bytes have arrived on it.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether bytes have arrived, also those of a frame that is not complete.
#[derive(Clone, Debug, Default)]
pub(super) struct Receipts(Arc<AtomicBool>);

impl Receipts {
    /// Whether bytes have arrived since the last call.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// A connection whose received bytes are noticed.
pub(super) struct ObservedStream {
    stream: TcpStream,
    receipts: Receipts,
}

impl ObservedStream {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, receipts: Receipts::default() }
    }

    pub fn receipts(&self) -> Receipts {
        self.receipts.clone()
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.receipts.0.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
