//! Tests of the memory for the bodies of callers' requests.

use bytes::Bytes;
use http_body_util::Full;
use prometheus::{IntCounterVec, IntGauge, Opts};

use super::{
    super::{byte_budget::MemoryLimit, byte_budget::SMALL_RESPONSE_BYTES},
    ReadError, RequestBodies,
};

const LIMIT: usize = 4 * 1024 * 1024;

fn bodies() -> (RequestBodies, IntGauge) {
    let kept = IntGauge::new("kept", "bytes").expect("a gauge");
    let given_up = IntCounterVec::new(Opts::new("given_up", "bodies"), &["kind", "limit"]).expect("a counter");
    (RequestBodies::new(LIMIT, kept.clone(), given_up), kept)
}

fn body(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

// Guards against bytes that count as free while another attempt may still need them, and against bytes that are never
// given back.
#[tokio::test]
async fn collect_counts_until_the_last_reference_is_dropped() {
    let (bodies, kept) = bodies();
    let first = bodies.collect(body(1000), LIMIT).await.expect("it fits");
    let second = first.slice(10..20);
    drop(first);
    assert_eq!(kept.get(), 1000);
    drop(second);
    assert_eq!(kept.get(), 0);
}

// Guards against large bodies that keep small ones out, and against a sum that nobody limits.
#[tokio::test]
async fn collect_refuses_what_does_not_fit_and_keeps_a_share_for_small_ones() {
    let (bodies, kept) = bodies();
    let large = bodies.collect(body(bodies.largest()), LIMIT).await.expect("one may have all that is for large ones");
    let refused = bodies.collect(body(SMALL_RESPONSE_BYTES * 2), LIMIT).await;
    assert!(matches!(refused, Err(ReadError::TooLong(error)) if error.limit == MemoryLimit::Daemon), "{refused:?}");
    let small = bodies.collect(body(SMALL_RESPONSE_BYTES), LIMIT).await.expect("small ones have a share");
    assert_eq!(usize::try_from(kept.get()), Ok(large.len() + small.len()));
    drop(large);
    bodies.collect(body(SMALL_RESPONSE_BYTES * 2), LIMIT).await.expect("the room is given back");
    let long = bodies.collect(body(11), 10).await;
    assert!(matches!(long, Err(ReadError::TooLong(error)) if error.limit == MemoryLimit::Response), "{long:?}");
}

// Guards against a start without end: what comes after it is not read.
#[tokio::test]
async fn collect_start_says_whether_the_body_has_ended() {
    let (bodies, _) = bodies();
    for (bytes, enough, has_ended) in [(0, 10, true), (9, 10, true), (10, 10, false)] {
        let (start, ended) = bodies.collect_start(&mut body(bytes), enough).await.expect("it fits");
        assert_eq!((start.len(), ended), (bytes, has_ended));
    }
}
