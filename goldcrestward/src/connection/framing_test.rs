//! Tests of the detection of requests with both a length and chunks.

use super::framing::is_ambiguous;

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
