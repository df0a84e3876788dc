//! Tests of the bound on a response's head.

use quickcheck::quickcheck;

use super::{HeadTooLong, MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADS, ResponseHead};

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

/// Reads a text in pieces of a size; returns the error and whether the final head has ended.
fn read(text: &[u8], size: usize) -> (Result<(), HeadTooLong>, bool) {
    let mut head = ResponseHead::default();
    let result = text.chunks(size).try_for_each(|piece| head.read(piece));
    (result, head.is_complete)
}

/// A final head of this length.
fn head_of(length: usize) -> Vec<u8> {
    let (start, end) = ("HTTP/1.1 200 OK\r\nX-Filler: ", "\r\n\r\n");
    [start.as_bytes(), &vec![b'a'; length - start.len() - end.len()], end.as_bytes()].concat()
}

#[test]
fn read_finds_the_end_in_whatever_pieces() {
    let cases = [
        (FINAL.to_owned(), true),
        (format!("{INTERIM}{FINAL}"), true),
        (format!("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n{FINAL}body"), true),
        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n".to_owned(), true),
        ("HTTP/1.1 200 OK\nA: b\n\n".to_owned(), true),
        (format!("\r\n\r\n{FINAL}"), true),
        ("HTTP/1.1 200\r\n\r\n".to_owned(), true),
        ("bad\r\n\r\n".to_owned(), true),
        (INTERIM.to_owned(), false),
        (format!("{INTERIM}{}", &FINAL[..FINAL.len() - 1]), false),
        (FINAL[..FINAL.len() - 2].to_owned(), false),
        (String::new(), false),
    ];
    for (text, is_complete) in cases {
        for size in 1..=text.len().max(1) {
            assert_eq!(read(text.as_bytes(), size), (Ok(()), is_complete), "{text:?} in pieces of {size}");
        }
    }
}

#[test]
fn read_bounds_the_bytes() {
    let interim = INTERIM.as_bytes();
    let cases = [
        (head_of(MAX_RESPONSE_HEAD_BYTES), true, 0),
        (head_of(MAX_RESPONSE_HEAD_BYTES + 1), false, 0),
        ([interim, &head_of(MAX_RESPONSE_HEAD_BYTES - interim.len())].concat(), true, 1),
        ([interim, &head_of(MAX_RESPONSE_HEAD_BYTES - interim.len() + 1)].concat(), false, 1),
        (vec![b'\n'; MAX_RESPONSE_HEAD_BYTES + 1], false, 0),
    ];
    for (text, is_allowed, heads) in cases {
        let error = HeadTooLong { bytes: MAX_RESPONSE_HEAD_BYTES + 1, heads };
        let expected = if is_allowed { (Ok(()), true) } else { (Err(error), false) };
        for size in [1, 7, 4096, text.len()] {
            // The last byte over the bound may be the end of the head.
            let (result, is_complete) = read(&text, size);
            assert_eq!(result, expected.0, "{} bytes in pieces of {size}", text.len());
            assert!(is_complete || !is_allowed, "{} bytes in pieces of {size}", text.len());
        }
    }
}

#[test]
fn read_bounds_the_heads() {
    let allowed = INTERIM.repeat(MAX_RESPONSE_HEADS - 1) + FINAL;
    let refused = INTERIM.repeat(MAX_RESPONSE_HEADS) + FINAL;
    for size in [1, 10, allowed.len() + INTERIM.len()] {
        assert_eq!(read(allowed.as_bytes(), size), (Ok(()), true), "pieces of {size}");
        let error = HeadTooLong { bytes: INTERIM.len() * MAX_RESPONSE_HEADS, heads: MAX_RESPONSE_HEADS };
        assert_eq!(read(refused.as_bytes(), size), (Err(error), false), "pieces of {size}");
    }
}

#[test]
fn read_ignores_what_follows_the_final_head() {
    let mut head = ResponseHead::default();
    head.read(FINAL.as_bytes()).expect("the head is within the bounds");
    for _ in 0..1000 {
        head.read(INTERIM.repeat(100).as_bytes()).expect("the body is not a part of the head");
    }
    assert_eq!(head.progress(), HeadTooLong { bytes: FINAL.len(), heads: 0 });
    head.restart();
    let error = head.read(INTERIM.repeat(100).as_bytes()).expect_err("there are too many heads");
    assert_eq!(error.heads, MAX_RESPONSE_HEADS);
}

/// Whatever a server sends, and in whatever pieces, no more is read than the bounds allow.
fn stays_within_the_bounds(parts: Vec<(bool, Vec<u8>)>, size: u8, repeats: u16) -> bool {
    let part = |(is_head, bytes)| if is_head { INTERIM.into() } else { bytes };
    let text: Vec<u8> = parts.into_iter().flat_map(part).collect();
    let text = text.repeat(usize::from(repeats % 512) + 1);
    let mut head = ResponseHead::default();
    let result = text.chunks(usize::from(size) + 1).try_for_each(|piece| head.read(piece));
    let HeadTooLong { bytes, heads } = head.progress();
    let is_within = bytes <= MAX_RESPONSE_HEAD_BYTES && (head.is_complete || heads < MAX_RESPONSE_HEADS);
    is_within == result.is_ok() && bytes <= MAX_RESPONSE_HEAD_BYTES + 1 && heads <= MAX_RESPONSE_HEADS
}

#[test]
fn read_stays_within_the_bounds() {
    quickcheck(stays_within_the_bounds as fn(Vec<(bool, Vec<u8>)>, u8, u16) -> bool);
}
