//! Tests of the division of bytes into messages.

use super::{BodyEnd, HeadParser, Messages, chunk_length};

/// Records heads and ends; `X` in the first line of a head says how its body ends.
#[derive(Debug, Default, PartialEq, Eq)]
struct Recorder {
    heads: Vec<String>,
    ended: usize,
}

impl HeadParser for Recorder {
    fn read_head(&mut self, head: &[u8]) -> Option<BodyEnd> {
        let line = String::from_utf8_lossy(head).lines().next().unwrap_or_default().to_owned();
        self.heads.push(line.clone());
        match line.split_once(' ')? {
            ("length", length) => Some(BodyEnd::Length(length.parse().ok()?)),
            ("chunks", _) => Some(BodyEnd::Chunks),
            ("interim", _) => Some(BodyEnd::Interim),
            _ => Some(BodyEnd::Connection),
        }
    }

    fn end_message(&mut self) {
        self.ended += 1;
    }
}

/// Messages, their first lines, how many of them end, and whether the last byte is the end of one.
const CASES: [(&str, &[&str], usize, bool); 10] = [
    ("length 0\r\nA: b\r\n\r\nlength 2\r\n\r\nab", &["length 0", "length 2"], 2, true),
    ("length 3\r\n\r\nab", &["length 3"], 0, false),
    ("length 0\nA: b\n\nlength 2\nA: b\r\n\nab", &["length 0", "length 2"], 2, true),
    ("interim x\r\n\r\nlength 1\r\n\r\na", &["interim x", "length 1"], 1, true),
    (
        "chunks x\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\n\r\nlength 0\r\n\r\n",
        &["chunks x", "length 0"],
        2,
        true,
    ),
    ("chunks x\r\n\r\n0\r\nTrailer: a\r\n\r\nlength 0\r\n\r\n", &["chunks x", "length 0"], 2, true),
    // Heads in bodies are not heads.
    ("length 12\r\n\r\nlength 0\r\n\r\n", &["length 12"], 1, true),
    ("chunks x\r\n\r\nzz\r\nlength 0\r\n\r\n", &["chunks x"], 0, false),
    ("rest x\r\n\r\nlength 0\r\n\r\n", &["rest x"], 0, false),
    ("unreadable\r\n\r\nlength 0\r\n\r\n", &["unreadable"], 0, false),
];

#[test]
fn read_finds_the_same_messages_in_whatever_pieces() {
    for (text, heads, ended, is_between) in CASES {
        for size in 1..=text.len() {
            let (mut messages, mut recorder) = (Messages::default(), Recorder::default());
            text.as_bytes().chunks(size).for_each(|piece| messages.read(piece, &mut recorder));
            assert_eq!(recorder.heads, heads, "{text:?} in pieces of {size}");
            assert_eq!(recorder.ended, ended, "{text:?} in pieces of {size}");
            assert_eq!(messages.is_between(), is_between, "{text:?} in pieces of {size}");
        }
    }
}

// Guards against a carried connection that is never idle: the peer's parser reads chunk extensions that this one does not.
#[test]
fn read_finds_messages_behind_long_chunk_extensions() {
    let text = format!("chunks x\r\n\r\n1;{}\r\na\r\n0\r\n\r\n", "e".repeat(8 * 1024));
    let (mut messages, mut recorder) = (Messages::default(), Recorder::default());
    text.as_bytes().chunks(1000).for_each(|piece| messages.read(piece, &mut recorder));
    assert_eq!((recorder.ended, messages.is_between()), (1, true));
}

#[test]
fn read_gives_up_heads_without_end() {
    let (mut messages, mut recorder) = (Messages::default(), Recorder::default());
    for _ in 0..100 {
        messages.read(&[b'a'; 1024], &mut recorder);
    }
    messages.read(b"\r\n\r\nlength 0\r\n\r\n", &mut recorder);
    assert_eq!((recorder, messages.pending.len()), (Recorder::default(), 0));
}

#[test]
fn chunk_length_of_lines() {
    for (line, length) in
        [("0\r\n", Some(0)), ("1f\r\n", Some(31)), (" A ;x\r\n", Some(10)), ("-1\r\n", None), ("\r\n", None)]
    {
        assert_eq!(chunk_length(line.as_bytes()), length, "{line:?}");
    }
}
