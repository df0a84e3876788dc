//! Tests of the stream to a server.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, ReadBuf, repeat};

use super::{ServerStream, TURN_BYTES};
use crate::connection::response_head::{HeadTooLong, MAX_RESPONSE_HEAD_BYTES, ResponseHead};

/// A head that is followed by a body.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
const PIECE_BYTES: usize = 16 * 1024;

/// Reads a piece; `None` if the stream yields.
fn read<S: AsyncRead + Unpin>(stream: &mut ServerStream<S>) -> Option<std::io::Result<usize>> {
    let mut space = vec![0; PIECE_BYTES];
    let mut buffer = ReadBuf::new(&mut space);
    match Pin::new(stream).poll_read(&mut Context::from_waker(Waker::noop()), &mut buffer) {
        Poll::Pending => None,
        Poll::Ready(result) => Some(result.map(|()| buffer.filled().len())),
    }
}

#[test]
fn poll_read_yields_to_other_tasks_after_a_turn() {
    let head = Arc::<Mutex<ResponseHead>>::default();
    head.lock().read(HEAD).expect("the head is within the bounds");
    let mut stream = ServerStream::new(repeat(b'a'), head);
    for turn in 0..3 {
        let mut bytes = 0;
        while let Some(result) = read(&mut stream) {
            bytes += result.expect("a body has no bound here");
            assert!(bytes < TURN_BYTES + PIECE_BYTES, "turn {turn} does not end");
        }
        assert!(bytes >= TURN_BYTES, "turn {turn} ends after {bytes} bytes");
    }
}

#[test]
fn poll_read_fails_beyond_the_bound() {
    let mut stream = ServerStream::new(repeat(b'a'), Arc::default());
    let error = (0..100).find_map(|_| read(&mut stream)?.err()).expect("the head never ends");
    let bound = error.get_ref().and_then(|error| error.downcast_ref::<HeadTooLong>());
    assert_eq!(bound, Some(&HeadTooLong { bytes: MAX_RESPONSE_HEAD_BYTES + 1, heads: 0 }));
}
