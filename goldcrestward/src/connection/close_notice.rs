//! The close of an idle connection on which a request may be on its way.
//!
//! HTTP/1.1 cannot announce such a close. A 408 (Request Timeout) that precedes it tells the caller of a request that
//! crosses it that the request was not read, so that it may be sent again (RFC 9110, 15.5.9).

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::request::{Reason, Refusal};

/// Time for the notice to be written, for a request that crosses the close to arrive, and for its caller to close in turn. It
/// must fit into what a stop leaves behind the last answers.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// Most bytes of a request that crosses the close that are kept, in which its id is sought.
const KEPT_BYTES: usize = 2 * 1024;
const BUFFER_BYTES: usize = 8 * 1024;

/// The refusal that precedes the close.
fn notice() -> Refusal {
    Refusal::not_run(Reason::ConnectionClosing, "the connection was idle and is being closed")
}

/// Closes a connection behind the notice. Returns the refusal and the beginning of the request that has crossed it, if one
/// has: what arrives is read, as the reset over unread bytes could destroy the notice.
pub(super) async fn close(stream: &mut TcpStream) -> Option<(Refusal, Vec<u8>)> {
    let notice = notice();
    let mut crossing = Vec::new();
    timeout(CROSSING_TIME, exchange(stream, &notice.to_http_text(), &mut crossing)).await.ok();
    (!crossing.is_empty()).then_some((notice, crossing))
}

async fn exchange(stream: &mut TcpStream, text: &str, crossing: &mut Vec<u8>) {
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    stream.shutdown().await.ok();
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = stream.read(&mut buffer).await
        && count > 0
    {
        let kept = count.min(KEPT_BYTES.saturating_sub(crossing.len()));
        crossing.extend_from_slice(&buffer[..kept]);
    }
}
