//! A connection to a backend server that a peer has opened, carried in the frames of a stream between the daemons.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex};

use super::peer::{AuthenticatedStream, FrameReceiver, FrameSender};

/// Bytes on their way in each direction.
const BUFFER_BYTES: usize = 32 * 1024;
/// Largest piece in one frame.
const PIECE_BYTES: usize = 16 * 1024;

/// The end of a tunnel that is used like the connection to the server. Dropping it closes that connection.
pub(crate) struct Tunnel {
    io: DuplexStream,
    /// Whether the server has closed its side, and the connection has not broken.
    ended: Arc<AtomicBool>,
}

impl Tunnel {
    /// Carries a connection in the frames of a stream from now on.
    pub(super) fn new(stream: AuthenticatedStream) -> Self {
        let (io, remote) = duplex(BUFFER_BYTES);
        let ended = Arc::new(AtomicBool::new(false));
        let flag = ended.clone();
        tokio::spawn(async move { carry(stream, remote, &flag).await });
        Self { io, ended }
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.io).poll_read(context, buffer);
        let is_end = matches!(result, Poll::Ready(Ok(()))) && buffer.filled().len() == filled;
        // A response without a length ends with its connection, so a broken tunnel must not look like an end.
        if is_end && buffer.remaining() > 0 && !self.ended.load(Ordering::Acquire) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        result
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// Carries bytes between a stream's frames and a connection until either ends. An empty frame is the end of the sender's
/// side; a stream that ends without one has broken. Sets `ended` when the peer's side has ended.
pub(super) async fn carry(
    stream: AuthenticatedStream,
    io: impl AsyncRead + AsyncWrite + Send + 'static,
    ended: &AtomicBool,
) {
    let (sender, receiver) = stream.split();
    let (reader, writer) = tokio::io::split(io);
    tokio::select! {
        () = send_pieces(reader, sender) => {}
        () = receive_pieces(receiver, writer, ended) => {}
    }
}

async fn send_pieces(mut reader: impl AsyncRead + Unpin, mut sender: FrameSender) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let Ok(count) = reader.read(&mut buffer).await else { return };
        if sender.send(buffer[..count].to_vec()).await.is_none() || count == 0 {
            return;
        }
    }
}

async fn receive_pieces(mut receiver: FrameReceiver, mut writer: impl AsyncWrite + Unpin, ended: &AtomicBool) {
    while let Some(piece) = receiver.next().await {
        if piece.is_empty() {
            ended.store(true, Ordering::Release);
            writer.shutdown().await.ok();
            return;
        }
        if writer.write_all(&piece).await.is_err() {
            return;
        }
    }
}
