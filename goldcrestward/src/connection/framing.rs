//! Detects requests with both a `Content-Length` and a `Transfer-Encoding` header.
//!
//! Different HTTP parsers find the end of such a request at different places, which allows request smuggling, so it
//! is refused and its connection closed. The HTTP library itself follows the chunks and drops the length silently,
//! so the heads are examined before they reach it.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use log::warn;
use rustix::net::{RecvFlags, recv, sockopt::set_socket_linger};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{activity::Activity, caller_closes::CallerCloses, open_requests::CallerEnd, unanswered::UnansweredCause};

/// A caller's connection whose request heads are examined as they are read.
pub(crate) struct HeadInspector {
    stream: TcpStream,
    activity: Arc<Activity>,
    closes: Arc<CallerCloses>,
    head: Vec<u8>,
    /// Whether the current head is complete.
    head_complete: bool,
    /// Whether the connection is reset when it is dropped.
    resets: bool,
}

impl HeadInspector {
    pub fn new(stream: TcpStream, activity: Arc<Activity>, closes: Arc<CallerCloses>) -> Self {
        Self { stream, activity, closes, head: Vec::new(), head_complete: false, resets: false }
    }

    /// Returns the connection without inspection.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Returns the connection whose responses are whole.
    pub fn finish(mut self) -> TcpStream {
        self.set_resets(false);
        self.stream
    }

    /// Has the connection reset if it ends before a response without a length does, which would look whole otherwise.
    fn begin_write(&mut self) {
        if self.activity.is_open_ended() {
            self.set_resets(true);
        }
        if self.activity.ends_answer() && self.has_caller_gone() {
            self.activity.set_gone();
        }
    }

    /// Whether the kernel has received the end of the connection, behind bytes that have all been read. The runtime may not
    /// have signalled it yet.
    fn has_caller_gone(&self) -> bool {
        match recv(&self.stream, &mut [0][..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
            Ok((count, _)) => count == 0,
            Err(error) => CallerEnd::of_error(&error.into()).is_some(),
        }
    }

    fn record_error(&self, error: &std::io::Error) {
        if CallerEnd::of_error(error).is_some() {
            self.activity.reset();
        }
    }

    fn set_resets(&mut self, resets: bool) {
        if self.resets == resets {
            return;
        }
        self.resets = resets;
        if let Err(error) = set_socket_linger(&self.stream, resets.then_some(Duration::ZERO)) {
            // The caller may have closed the connection already.
            warn!("event=linger-not-set resets={resets} error={:?}", error.to_string());
        }
    }

    /// Reads what the kernel has, without waiting for the runtime to signal it.
    fn read_now(&self, buffer: &mut ReadBuf<'_>) -> Poll<std::io::Result<()>> {
        let Ok((count, _)) = recv(&self.stream, buffer.initialize_unfilled(), RecvFlags::DONTWAIT) else {
            // The runtime signals an error as well.
            return Poll::Pending;
        };
        buffer.advance(count);
        Poll::Ready(Ok(()))
    }

    fn inspect(&mut self, bytes: &[u8]) {
        if self.activity.is_running() {
            // What comes while a request is running belongs to its body.
            self.head_complete = true;
            return;
        }
        if self.head_complete {
            // Bytes that arrive after the end of a request begin the next head.
            self.head.clear();
            self.head_complete = false;
        }
        let blank = if self.head.is_empty() { leading_line_ends(bytes) } else { 0 };
        let bytes = &bytes[blank..];
        if bytes.is_empty() {
            return;
        }
        let from = self.head.len();
        self.head.extend_from_slice(bytes);
        let Some(end) = head_end(&self.head, from) else {
            return self.activity.begin_head();
        };
        self.activity.end_head();
        self.head_complete = true;
        self.activity.set_head_bytes(end);
        self.activity.set_ambiguous(is_ambiguous(&self.head[..end]));
    }
}

/// Number of bytes of empty lines before a head, which the HTTP library skips.
fn leading_line_ends(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}

/// Position after the empty line that ends a head, which is sought from `from` on. Lines may end without a carriage return,
/// as the HTTP library accepts that.
pub(crate) fn head_end(head: &[u8], from: usize) -> Option<usize> {
    let ends = |at: &usize| head[..*at].ends_with(b"\n\n") || head[..*at].ends_with(b"\n\r\n");
    (from + 1..=head.len()).find(ends)
}

/// Whether a head has both a `Content-Length` and a `Transfer-Encoding` header.
pub(crate) fn is_ambiguous(head: &[u8]) -> bool {
    let names = head.split(|byte| *byte == b'\n').filter_map(|line| line.split(|byte| *byte == b':').next());
    let (mut has_length, mut has_chunks) = (false, false);
    for name in names.map(<[u8]>::trim_ascii) {
        has_length |= name.eq_ignore_ascii_case(b"content-length");
        has_chunks |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    has_length && has_chunks
}

impl AsyncRead for HeadInspector {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let mut read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() && self.activity.reads_unsignalled() {
            read = self.read_now(buffer);
        }
        if matches!(read, Poll::Ready(Ok(()))) {
            let bytes = &buffer.filled()[before..];
            if bytes.is_empty() {
                self.activity.end_caller();
            }
            self.inspect(bytes);
        }
        if let Poll::Ready(Err(error)) = &read {
            self.record_error(error);
        }
        read
    }
}

impl AsyncWrite for HeadInspector {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Err(error)) = &written {
            self.record_error(error);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Err(error)) = &written {
            self.record_error(error);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes the connection once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.activity.end_delivery();
        for request in self.activity.end_answers() {
            let why = "the caller had closed before the answer was written";
            self.closes.record_unanswered(&request, UnansweredCause::CallerGone, why);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Leaves the socket open for the listener, to which the HTTP library returns it once all bytes are written.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
