//! Tests of splitting streams into events, however the bytes arrive.

use bytes::Bytes;
use quickcheck::quickcheck;

use super::{EventSequence, SequenceError};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Reads the text in pieces of the given sizes, over and over.
fn read(order: &mut EventSequence, text: &str, sizes: &[usize]) -> (String, Option<SequenceError>) {
    let (mut out, mut rest, mut n) = (String::new(), text.as_bytes(), 0);
    while !rest.is_empty() {
        let size = sizes.get(n % sizes.len().max(1)).map_or(7, |size| size % 40 + 1).min(rest.len());
        let (piece, after) = rest.split_at(size);
        let (events, disorder) = order.read(&Bytes::copy_from_slice(piece));
        out.push_str(&String::from_utf8_lossy(&events));
        if disorder.is_some() {
            return (out, disorder);
        }
        (rest, n) = (after, n + 1);
    }
    (out, None)
}

quickcheck! {
    fn events_pass_whole_however_they_are_cut(count: u8, sizes: Vec<usize>) -> bool {
        let text: String = (1..=u64::from(count)).map(event).collect();
        let mut order = EventSequence::new(None);
        let (out, disorder) = read(&mut order, &text, &sizes);
        out == text && disorder.is_none() && !order.is_partial()
    }

    fn events_go_on_after_a_break_without_gap_or_repeat(count: u8, broken: usize, again: u8, sizes: Vec<usize>) -> bool {
        let count = u64::from(count % 30) + 1;
        let text: String = (1..=count).map(event).collect();
        let mut order = EventSequence::new(None);
        let (first, _) = read(&mut order, &text[..broken % (text.len() + 1)], &sizes);
        let last = order.last().unwrap_or(0);
        order.restart();
        // The next server repeats some of what has been passed on.
        let from = last.saturating_sub(u64::from(again) % 4) + 1;
        let rest: String = (from..=count).map(event).collect();
        let (second, disorder) = read(&mut order, &rest, &sizes);
        first + &second == text && disorder.is_none()
    }

    fn events_that_are_missing_are_never_passed_over(count: u8, missing: u8, sizes: Vec<usize>) -> bool {
        let count = u64::from(count % 30) + 3;
        let missing = u64::from(missing) % (count - 2) + 2;
        let text: String = (1..=count).filter(|number| *number != missing).map(event).collect();
        let (out, disorder) = read(&mut EventSequence::new(None), &text, &sizes);
        let before: String = (1..missing).map(event).collect();
        out == before && disorder == Some(SequenceError::Gap)
    }
}

#[test]
fn events_of_odd_forms() {
    let cases = [
        ("comment", ": still there\n\nid: 1\ndata: x\n\n", None, Some(1)),
        ("wide line ends", "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n", None, Some(2)),
        ("line before the number", "note: 3\nid: 1\ndata: x\n\n", None, Some(1)),
        ("no number", "id: one\ndata: x\n\n", Some(SequenceError::Malformed), None),
    ];
    for (name, text, disorder, last) in cases {
        let mut order = EventSequence::new(None);
        assert_eq!(read(&mut order, text, &[3]).1, disorder, "{name}");
        assert_eq!(order.last(), last, "{name}");
    }
}
