//! Tests of what is said of requests that were not answered.

use super::request_id;

#[test]
fn request_id_is_that_of_the_head() {
    let long = format!("GET / HTTP/1.1\r\nx-request-id: {}\r\n\r\n", "x".repeat(200));
    let cases: [(&[u8], &str); 7] = [
        (b"POST /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1aad992b\r\n\r\nbody", "1aad992b"),
        (b"GET / HTTP/1.1\r\nx-request-id:b2\r\nHo", "b2"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\nX-Request-Id: in-the-body\r\n", "-"),
        (b"GET / HTTP/1.1\r\nX-Request-Id: a b=\"c\"\r\n\r\n", "-"),
        (b"GET / HTTP/1.1\r\nX-Request-Id:\r\n\r\n", "-"),
        (b"", "-"),
        (long.as_bytes(), "-"),
    ];
    for (bytes, expected) in cases {
        assert_eq!(request_id(bytes), expected, "{:?}", String::from_utf8_lossy(bytes));
    }
}
