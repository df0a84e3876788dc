//! Tests of the memory for responses: limits, what gives way, and that everything is given back.

use std::{
    sync::Arc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use quickcheck::quickcheck;

use super::{KeptAnswer, MemoryLimit, ReadError, ResponseMemory, TooLong};

const MEMORY_BYTES: usize = 1024 * 1024;

fn server(name: &str) -> Arc<str> {
    name.into()
}

quickcheck! {
    /// Guards against bytes that are counted for ever after their response has gone.
    fn append_any_pieces_are_returned_and_given_back(pieces: Vec<Vec<u8>>, taken: bool) -> bool {
        let memory = ResponseMemory::new(MEMORY_BYTES);
        let mut buffer = memory.buffer(&server("a"), MEMORY_BYTES / 4);
        if !pieces.iter().all(|piece| buffer.append(piece).is_ok()) {
            return false;
        }
        let expected = pieces.concat();
        let is_counted = memory.kept_bytes() >= expected.len();
        let is_same = if taken {
            let bytes = buffer.take().expect("it is alone");
            let front = bytes.slice(..bytes.len() / 2);
            let is_same = bytes == expected;
            drop(bytes);
            // A part of the bytes keeps all of them.
            is_same && memory.kept_bytes() >= front.len()
        } else {
            buffer.look(|bytes| bytes == expected)
        };
        drop(buffer);
        is_counted && is_same && memory.kept_bytes() == 0
    }
}

#[test]
fn append_more_than_limit_fails_and_frees_bytes() {
    let memory = ResponseMemory::new(MEMORY_BYTES);
    let mut buffer = memory.buffer(&server("a"), 1_000);
    assert_eq!(buffer.append(&[0; 900]), Ok(()));
    let error = TooLong { bytes: 1_100, limit: MemoryLimit::Response };
    assert_eq!(buffer.append(&[0; 200]), Err(error));
    assert_eq!(memory.kept_bytes(), 0);
}

#[test]
fn append_frees_and_wakes_the_largest() {
    let memory = ResponseMemory::new(MEMORY_BYTES);
    let (a, b) = (server("a"), server("b"));
    let mut large = memory.buffer(&a, MEMORY_BYTES);
    large.append(&[0; 300_000]).expect("it has room");
    let mut context = Context::from_waker(Waker::noop());
    assert_eq!(large.poll_given_up(&mut context), Poll::Pending);
    let mut small = memory.buffer(&a, MEMORY_BYTES);
    small.append(&[0; 100_000]).expect("the larger one gives way");
    let error = TooLong { bytes: 300_000, limit: MemoryLimit::Server };
    assert_eq!(large.poll_given_up(&mut context), Poll::Ready(error));
    assert!(memory.kept_bytes() < 200_000, "its bytes are freed before its reader is run again");
    assert_eq!(large.take(), Err(error));
    assert_eq!(small.take().map(|bytes| bytes.len()), Ok(100_000));
    assert!(memory.buffer(&b, MEMORY_BYTES).append(&[0; 1]).is_ok());
    assert_eq!(memory.kept_bytes(), 0);
}

#[tokio::test]
async fn collect_returns_whole_body_or_error() {
    let memory = ResponseMemory::new(MEMORY_BYTES);
    let a = server("a");
    let bytes = |answer: KeptAnswer| answer.bytes().expect("it is alone");
    let body = || Full::new(Bytes::from_static(b"whole"));
    assert_eq!(memory.collect(body(), &a, 5).await.map(bytes), Ok(Bytes::from_static(b"whole")));
    let stated = ReadError::TooLong(TooLong { bytes: 5, limit: MemoryLimit::Response });
    assert_eq!(memory.collect(body(), &a, 4).await.map(bytes), Err(stated));
    let endless = || {
        let frames = std::iter::repeat_with(|| Ok::<_, String>(Frame::data(Bytes::from_static(&[0; 1_000]))));
        StreamBody::new(futures_util::stream::iter(frames))
    };
    let too_long = ReadError::TooLong(TooLong { bytes: 51_000, limit: MemoryLimit::Response });
    assert_eq!(memory.collect(endless(), &a, 50_000).await.map(bytes), Err(too_long));
    let result = memory.collect(endless(), &a, MEMORY_BYTES).await;
    assert!(matches!(result, Err(ReadError::TooLong(TooLong { limit: MemoryLimit::Server, .. }))), "{result:?}");
    let result = memory.collect_protected(endless(), &a, 2 * MEMORY_BYTES).await;
    assert!(matches!(result, Err(ReadError::TooLong(TooLong { limit: MemoryLimit::Daemon, .. }))), "{result:?}");
    let broken = futures_util::stream::iter([Ok(Frame::data(Bytes::from_static(b"a"))), Err("broken")]);
    assert_eq!(memory.collect(StreamBody::new(broken), &a, 5).await.map(bytes), Err(ReadError::Broken));
    assert_eq!(memory.kept_bytes(), 0);
}

// Guards against whole answers whose callers do not read that keep out what is read from servers.
#[tokio::test]
async fn collect_has_room_beside_answers_that_no_one_reads() {
    let memory = ResponseMemory::new(MEMORY_BYTES);
    let (a, bytes) = (server("a"), Bytes::from(vec![7; MEMORY_BYTES / 4]));
    let mut unread = Vec::new();
    for _ in 0..20 {
        let answer = memory.collect(Full::new(bytes.clone()), &a, MEMORY_BYTES).await.expect("it has room");
        assert_eq!(answer.bytes(), Ok(bytes.clone()));
        unread.push(answer);
        assert!(memory.kept_bytes() <= MEMORY_BYTES / 2);
    }
    let given_up = TooLong { bytes: MEMORY_BYTES / 4, limit: MemoryLimit::Daemon };
    assert_eq!(unread[17].take_piece(0, 1), Err(given_up));
    assert_eq!(unread[18].take_piece(MEMORY_BYTES / 4 - 1, 9), Ok(Bytes::from_static(&[7])));
    drop(unread);
    assert_eq!(memory.kept_bytes(), 0);
    let empty = memory.collect(Full::new(Bytes::new()), &a, 0).await.expect("it needs no room");
    assert!(empty.is_empty());
}
