//! Tests of what a daemon learns from the exchanges that it carries.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::{HeaderMap, StatusCode};

use super::{CarriedExchanges, MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADS, Notice, ResponseObserver};
use crate::port::StatedHold;

/// A server's notice is a header `leaving` on a response with the id of its request.
#[derive(Default)]
struct Observer {
    is_withdrawn: AtomicBool,
    is_ending: AtomicBool,
    /// Whether only the first request is certain to end, and whether none is.
    is_late: AtomicBool,
    is_too_late: AtomicBool,
}

impl ResponseObserver for Observer {
    fn notice(&self, request: &HeaderMap, _status: StatusCode, response: &HeaderMap) -> Option<Notice> {
        let is_notice = response.contains_key("leaving") && request.get("id") == response.get("id");
        is_notice.then(|| Notice { request: Arc::from("1"), leaving: true, hold: StatedHold::None })
    }

    fn record_notice(&self, _notice: Notice) {}

    fn is_withdrawn(&self) -> bool {
        self.is_withdrawn.load(Ordering::Relaxed)
    }

    fn may_begin(&self, is_first: bool) -> bool {
        !self.is_too_late.load(Ordering::Relaxed) && (is_first || !self.is_late.load(Ordering::Relaxed))
    }

    fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Relaxed)
    }
}

const POST: &str = "POST /x HTTP/1.1\r\nid: 1\r\ncontent-length: 2\r\n\r\nab";
const HEAD: &str = "HEAD /x HTTP/1.1\r\nid: 1\r\n\r\n";

/// A request, its response, whether that has a notice, and whether the exchange is over then.
const CASES: [(&str, &str, bool, bool); 9] = [
    (POST, "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 1\r\n\r\na", false, true),
    (POST, "HTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\ncontent-length: 1\r\n\r\na", true, true),
    (POST, "HTTP/1.1 503 Full\r\nid: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n", true, true),
    // The head is enough, also of a stream that goes on.
    (POST, "HTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\ntransfer-encoding: chunked\r\n\r\n", true, false),
    (POST, "HTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\n\r\nuntil the end", true, false),
    (
        POST,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n",
        true,
        true,
    ),
    (POST, "HTTP/1.1 200 OK\r\nid: 2\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n", false, true),
    (HEAD, "HTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\ncontent-length: 9\r\n\r\n", true, true),
    // Text of a body is no head.
    (
        POST,
        "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 45\r\n\r\nHTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\n\r\n1234567",
        false,
        true,
    ),
];

#[test]
fn notices_are_found_in_heads_only() {
    for (request, response, expected, is_over) in CASES {
        for size in 1..=response.len() {
            let observer = Observer::default();
            let mut exchanges = CarriedExchanges::new(&observer);
            assert!(request.as_bytes().chunks(size).all(|piece| exchanges.send(piece)));
            let mut is_noticed = false;
            response.as_bytes().chunks(size).for_each(|piece| is_noticed |= exchanges.receive(piece).is_some());
            assert_eq!(is_noticed, expected, "{response:?} in pieces of {size}");
            observer.is_withdrawn.store(true, Ordering::Relaxed);
            assert_eq!(exchanges.is_over(), is_over, "{response:?} in pieces of {size}");
        }
    }
}

/// Guards against DRAIN: a request on an open connection goes to a server that is withdrawn; and against an exchange that
/// is cut in its middle, as the server goes on until its end.
#[test]
fn withdrawn_server_gets_no_further_request_and_ends_what_runs() {
    let observer = Observer::default();
    let mut exchanges = CarriedExchanges::new(&observer);
    assert!(exchanges.send(&POST.as_bytes()[..10]));
    observer.is_withdrawn.store(true, Ordering::Relaxed);
    assert!(exchanges.send(&POST.as_bytes()[10..]) && !exchanges.is_over());
    exchanges.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na");
    assert!(!exchanges.is_over());
    exchanges.receive(b"b");
    assert!(exchanges.is_over() && !exchanges.send(POST.as_bytes()));
}

/// Guards against requests that are lost: a peer that has not heard why the connection is to end sends one before it does.
#[test]
fn ending_connection_carries_what_begins_before_it_is_idle() {
    let observer = Observer::default();
    let mut exchanges = CarriedExchanges::new(&observer);
    observer.is_ending.store(true, Ordering::Relaxed);
    assert!(!exchanges.is_over(), "the request for which it was opened is still to come");
    assert!(exchanges.send(POST.as_bytes()) && !exchanges.is_over());
    exchanges.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
    assert!(exchanges.is_over() && exchanges.send(POST.as_bytes()) && !exchanges.is_over());
}

/// Guards against LOST: a request of which nothing is known was begun late in the stop of the carrier, on a connection that had
/// been opened for another one.
#[test]
fn request_that_may_outlast_the_carrier_does_not_begin() {
    let observer = Observer::default();
    observer.is_too_late.store(true, Ordering::Relaxed);
    assert!(!CarriedExchanges::new(&observer).send(&POST.as_bytes()[..10]), "the first one came too late");
    observer.is_too_late.store(false, Ordering::Relaxed);
    observer.is_late.store(true, Ordering::Relaxed);
    let mut exchanges = CarriedExchanges::new(&observer);
    assert!(exchanges.send(&POST.as_bytes()[..10]), "the first one is certain to end");
    observer.is_too_late.store(true, Ordering::Relaxed);
    assert!(exchanges.send(&POST.as_bytes()[10..]), "it has begun");
    observer.is_too_late.store(false, Ordering::Relaxed);
    exchanges.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
    assert!(!exchanges.is_over() && !exchanges.send(&POST.as_bytes()[..1]), "a later one");
}

// Guards against DRAIN: a connection whose response could not be read counts as in use for ever, so that a withdrawn server
// gets more requests on it and it is not closed. The peer sends a request once it has read the response before.
#[test]
fn unreadable_response_is_over_when_the_next_request_begins() {
    for response in ["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"] {
        let observer = Observer::default();
        let mut exchanges = CarriedExchanges::new(&observer);
        assert!(exchanges.send(POST.as_bytes()));
        exchanges.receive(response.as_bytes());
        observer.is_withdrawn.store(true, Ordering::Relaxed);
        assert!(!exchanges.is_over(), "{response:?}: it may go on");
        assert!(!exchanges.send(POST.as_bytes()), "{response:?}: the server is withdrawn");

        let observer = Observer::default();
        let mut exchanges = CarriedExchanges::new(&observer);
        assert!(exchanges.send(POST.as_bytes()));
        exchanges.receive(response.as_bytes());
        assert!(exchanges.send(POST.as_bytes()));
        exchanges.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
        observer.is_ending.store(true, Ordering::Relaxed);
        assert!(exchanges.is_over(), "{response:?}: the exchange after it has ended");
    }
}

#[test]
fn heads_are_too_long_beyond_the_bounds() {
    const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
    const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let long =
        |length: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx: {}\r\n\r\n", "a".repeat(length - 43));
    let cases = [
        (FINAL.to_owned(), false),
        (INTERIM.repeat(MAX_RESPONSE_HEADS - 1) + FINAL, false),
        (INTERIM.repeat(MAX_RESPONSE_HEADS), true),
        (long(MAX_RESPONSE_HEAD_BYTES), false),
        (long(MAX_RESPONSE_HEAD_BYTES + 1), true),
        (INTERIM.to_owned() + &long(MAX_RESPONSE_HEAD_BYTES - INTERIM.len()), false),
        (INTERIM.to_owned() + &long(MAX_RESPONSE_HEAD_BYTES - INTERIM.len() + 1), true),
    ];
    for (response, expected) in cases {
        for size in [1, 1000, response.len()] {
            let observer = Observer::default();
            let mut exchanges = CarriedExchanges::new(&observer);
            // What one exchange had does not count for the next.
            for round in 0..2 {
                exchanges.send(POST.as_bytes());
                let mut is_too_long = false;
                for piece in response.as_bytes().chunks(size) {
                    exchanges.receive(piece);
                    is_too_long |= exchanges.is_head_too_long();
                }
                let length = response.len();
                assert_eq!(is_too_long, expected, "{length} bytes in pieces of {size}, round {round}");
            }
        }
    }
}
