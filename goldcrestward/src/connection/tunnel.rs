//! A connection to a backend server that a peer has opened, carried in the frames of a stream between the daemons.

use std::{
    future::pending,
    io,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use log::info;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex},
    time::{sleep, timeout},
};

use super::{
    carried_exchanges::{CarriedExchanges, ResponseObserver},
    peer::{AuthenticatedStream, FrameReceiver, FrameSender},
};

/// Bytes on their way in each direction.
const BUFFER_BYTES: usize = 32 * 1024;
/// Interval between checks whether a server is to get no more requests.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the carrier's statement to follow the end of its side; it is sent at once.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a carrier that has ended a connection still reads what the peer sends: closing the stream with unread
/// bytes would reset it, and the peer might not see the end.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest piece in one frame.
const PIECE_BYTES: usize = 16 * 1024;

/// The end of a tunnel that is used like the connection to the server. Dropping it closes that connection.
pub(crate) struct Tunnel {
    io: DuplexStream,
    progress: Arc<Progress>,
}

impl Tunnel {
    /// Carries a connection in the frames of a stream from now on.
    ///
    /// `names` say in log lines which connection it is.
    pub(super) fn new(stream: AuthenticatedStream, names: String) -> Self {
        let (io, remote) = duplex(BUFFER_BYTES);
        let progress = Arc::new(Progress::default());
        let shared = progress.clone();
        tokio::spawn(async move {
            let begun = Instant::now();
            let end = carry(stream, remote, &shared, None).await;
            if end == TunnelEnd::PeerError {
                let (ms, sent, received) = (begun.elapsed().as_millis(), shared.sent(), shared.received());
                info!("event=tunnel-broken {names} ms={ms} to_server={sent} from_server={received}");
            }
        });
        Self { io, progress }
    }

    /// What passes through the tunnel.
    pub(super) fn progress(&self) -> Arc<Progress> {
        self.progress.clone()
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
        if is_end && buffer.remaining() > 0 && !self.progress.ended.load(Ordering::Acquire) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        result
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        // Reading tells the end of the tunnel, after what the server had sent before.
        let count = match ready!(Pin::new(&mut self.io).poll_write(context, bytes)) {
            Ok(count) => count,
            Err(_) => bytes.len(),
        };
        self.progress.written.fetch_add(count as u64, Ordering::Release);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// What has passed through a tunnel, as one of its ends sees it.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether the peer's side has ended, and the stream has not broken.
    ended: AtomicBool,
    received: AtomicU64,
    sent: AtomicU64,
    /// Whether the server takes no more bytes. What it sent before can still be read.
    unwritable: AtomicBool,
    /// Bytes that the user of the tunnel has written.
    written: AtomicU64,
    /// Of these, how many may have reached the server, if the peer has ended the connection and has stated it.
    passed_on: OnceLock<u64>,
}

impl Progress {
    /// Bytes from the peer.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Bytes to the peer.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes that the user of the tunnel has written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Whether it is certain that the server gets nothing of what was written after the first `count` bytes.
    pub fn is_unsent_after(&self, count: u64) -> bool {
        self.passed_on.get().is_some_and(|passed_on| *passed_on <= count)
    }
}

/// What has ended a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelEnd {
    /// The connection to the server was closed.
    Server,
    /// The connection to the server broke.
    ServerError,
    /// The peer closed its side.
    Peer,
    /// The stream between the daemons broke.
    PeerError,
    /// The server is to get no more requests.
    Withdrawn,
    /// The server has sent a response head that exceeds its bounds.
    HeadTooLong,
}

impl TunnelEnd {
    /// Value in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::ServerError => "server-error",
            Self::Peer => "peer",
            Self::PeerError => "peer-error",
            Self::Withdrawn => "withdrawn",
            Self::HeadTooLong => "head-too-long",
        }
    }
}

/// Carries bytes between a stream's frames and a connection until either ends. An empty frame is the end of the sender's
/// side; a stream that ends without one has broken. The end that has the connection to the server passes an `observer`; the
/// tunnel then also ends when the server is to get no more requests. After its empty frame, this end states how many of the
/// peer's bytes may have reached the server, so that the peer knows whether a request that was on its way has.
pub(super) async fn carry(
    stream: AuthenticatedStream,
    io: impl AsyncRead + AsyncWrite + Send + 'static,
    progress: &Progress,
    observer: Option<&dyn ResponseObserver>,
) -> TunnelEnd {
    let exchanges = observer.map(|observer| Mutex::new(CarriedExchanges::new(observer)));
    let exchanges = exchanges.as_ref();
    let (mut sender, mut receiver) = stream.split();
    let (reader, writer) = tokio::io::split(io);
    let end = tokio::select! {
        end = send_pieces(reader, &mut sender, progress, exchanges.zip(observer)) => end,
        end = receive_pieces(&mut receiver, writer, progress, exchanges) => end,
        () = until_over(exchanges) => TunnelEnd::Withdrawn,
    };
    if end == TunnelEnd::Withdrawn {
        sender.send(Vec::new()).await;
    }
    if exchanges.is_some() && matches!(end, TunnelEnd::Withdrawn | TunnelEnd::Server) {
        sender.send(progress.received().to_le_bytes().to_vec()).await;
    }
    if exchanges.is_some() && matches!(end, TunnelEnd::Withdrawn | TunnelEnd::Server | TunnelEnd::ServerError) {
        // Without an empty frame before it, the end says that the connection to the server broke.
        sender.close().await;
        let peer_closed = async { while receiver.next().await.is_some_and(|piece| !piece.is_empty()) {} };
        timeout(LINGER_TIMEOUT, peer_closed).await.ok();
    }
    end
}

/// Waits until the connection is idle and its server is to get no more requests.
async fn until_over(exchanges: Option<&Mutex<CarriedExchanges<'_>>>) {
    let Some(exchanges) = exchanges else { return pending().await };
    while !exchanges.lock().is_over() {
        sleep(WITHDRAWAL_INTERVAL).await;
    }
}

async fn send_pieces(
    mut reader: impl AsyncRead + Unpin,
    sender: &mut FrameSender,
    progress: &Progress,
    exchanges: Option<(&Mutex<CarriedExchanges<'_>>, &dyn ResponseObserver)>,
) -> TunnelEnd {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let Ok(count) = reader.read(&mut buffer).await else { return TunnelEnd::ServerError };
        // After a reset that a write has met, reading ends without an error.
        if count == 0 && progress.unwritable.load(Ordering::Acquire) {
            return TunnelEnd::ServerError;
        }
        let sent = sender.send(buffer[..count].to_vec()).await;
        if count == 0 {
            return TunnelEnd::Server;
        }
        if sent.is_none() {
            return TunnelEnd::PeerError;
        }
        progress.sent.fetch_add(count as u64, Ordering::Relaxed);
        // Only now, as the connection may be closed as soon as a response counts as ended.
        if let Some((exchanges, observer)) = exchanges {
            let (notice, is_too_long) = {
                let mut exchanges = exchanges.lock();
                (exchanges.receive(&buffer[..count]), exchanges.is_head_too_long())
            };
            if let Some(notice) = notice {
                observer.record_notice(notice);
            }
            if is_too_long {
                return TunnelEnd::HeadTooLong;
            }
            // At once, so that the peer sends no other request on it.
            if exchanges.lock().is_over() {
                return TunnelEnd::Withdrawn;
            }
        }
    }
}

async fn receive_pieces(
    receiver: &mut FrameReceiver,
    mut writer: impl AsyncWrite + Unpin,
    progress: &Progress,
    exchanges: Option<&Mutex<CarriedExchanges<'_>>>,
) -> TunnelEnd {
    while let Some(piece) = receiver.next().await {
        if piece.is_empty() {
            if exchanges.is_none() {
                // Peers of earlier versions state nothing.
                let statement = timeout(STATEMENT_TIMEOUT, receiver.next()).await.ok().flatten();
                if let Some(count) = statement.and_then(|bytes| bytes.first_chunk().copied()) {
                    progress.passed_on.set(u64::from_le_bytes(count)).ok();
                }
            }
            progress.ended.store(true, Ordering::Release);
            writer.shutdown().await.ok();
            return TunnelEnd::Peer;
        }
        if progress.unwritable.load(Ordering::Acquire) {
            continue;
        }
        if exchanges.is_some_and(|exchanges| !exchanges.lock().send(&piece)) {
            return TunnelEnd::Withdrawn;
        }
        // Before they are written, as a write that is cut short may have reached the server.
        progress.received.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if writer.write_all(&piece).await.is_err() {
            progress.unwritable.store(true, Ordering::Release);
        }
    }
    TunnelEnd::PeerError
}
