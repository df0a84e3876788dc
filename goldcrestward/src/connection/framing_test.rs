//! Tests of the detection of requests with both a length and chunks, and of the ends of heads.

use super::framing::{head_end, is_ambiguous};

#[test]
fn length_with_chunks_is_ambiguous_in_any_order() {
    let cases: [(&[u8], bool); 7] = [
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked", true),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: y\r\ncontent-length: 3", true),
        (b"POST / HTTP/1.1\r\nTRANSFER-ENCODING : chunked\r\nContent-Length:3", true),
        (b"POST / HTTP/1.1\r\nContent-Length: 3", false),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked", false),
        (b"POST / HTTP/1.1\r\nX-Note: content-length: transfer-encoding", false),
        (b"", false),
    ];
    for (head, ambiguous) in cases {
        assert_eq!(is_ambiguous(head), ambiguous, "{}", String::from_utf8_lossy(head));
    }
}

/// Guards against LOST: the body behind a head whose lines end without a carriage return counted as part of that head.
#[test]
fn head_ends_at_its_first_empty_line() {
    let cases: [(&[u8], Option<usize>); 6] = [
        (b"GET / HTTP/1.1\r\nA: b\r\n\r\nbody", Some(24)),
        (b"GET / HTTP/1.1\nA: b\n\nbody", Some(21)),
        (b"GET / HTTP/1.1\nA: b\n\r\nbody", Some(22)),
        (b"GET / HTTP/1.1\r\nA: b\r\n\nbody", Some(23)),
        (b"GET / HTTP/1.1\r\nA: b\r\n\r", None),
        (b"", None),
    ];
    for (head, end) in cases {
        assert_eq!(head_end(head, 0), end, "{}", String::from_utf8_lossy(head));
        // The end is found wherever the head is divided.
        let found = (0..head.len()).find_map(|from| head_end(&head[..from + 1], from));
        assert_eq!(found, end, "{}", String::from_utf8_lossy(head));
    }
}
