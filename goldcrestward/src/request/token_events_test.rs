//! Tests of the reader of engine streams.

use bytes::Bytes;
use quickcheck::quickcheck;

use super::token_events::{MAX_EVENT_BYTES, MAX_KEPT_BYTES, StreamError, TokenEventReader};
use crate::process::{MemoryLimit, ResponseMemory, TooLong};

fn reader(attempt: u32, next: u64) -> TokenEventReader {
    let memory = ResponseMemory::new(4 * MAX_KEPT_BYTES);
    TokenEventReader::new("r", attempt, next, memory.buffer(&"engine".into(), MAX_KEPT_BYTES))
}

fn event(id: &str, attempt: u32, index: usize) -> String {
    format!("data: {{\"id\":\"{id}\",\"attempt\":{attempt},\"token_index\":{index},\"choices\":[]}}\n\n")
}

fn stream(tokens: usize) -> String {
    let events: String = (0..tokens).map(|index| event("r", 1, index)).collect();
    events + "data: [DONE]\n\n"
}

quickcheck! {
    fn read_any_split_yields_same_stream(tokens: u8, cuts: Vec<u16>) -> bool {
        let whole = stream(usize::from(tokens));
        let mut ends: Vec<usize> = cuts.iter().map(|cut| usize::from(*cut) % (whole.len() + 1)).collect();
        ends.push(whole.len());
        ends.sort_unstable();
        let mut reader = reader(1, 0);
        let (mut out, mut from) = (Vec::new(), 0);
        for end in ends {
            out.extend_from_slice(&reader.read(&Bytes::copy_from_slice(&whole.as_bytes()[from..end])));
            from = end;
            if reader.error().is_some() {
                return false;
            }
        }
        out == whole.as_bytes() && reader.is_done() && reader.next_token() == u64::from(tokens)
    }

    fn read_repeated_tokens_are_dropped(tokens: u8, repeats: Vec<u8>) -> bool {
        let mut reader = reader(1, 0);
        let mut out = String::new();
        for index in 0..usize::from(tokens) {
            let mut text = event("r", 1, index);
            for repeat in repeats.iter().filter(|r| usize::from(**r) <= index) {
                text.push_str(&event("r", 1, usize::from(*repeat)));
            }
            out.push_str(&String::from_utf8_lossy(&reader.read(&Bytes::from(text))));
            if reader.error().is_some() {
                return false;
            }
        }
        let wanted: String = (0..usize::from(tokens)).map(|index| event("r", 1, index)).collect();
        out == wanted
    }
}

#[test]
fn read_invalid_stream_returns_error() {
    let cases = [
        ("another request", event("other", 1, 0), StreamError::Crossed),
        ("another attempt", event("r", 2, 0), StreamError::Crossed),
        ("a missing token", event("r", 1, 1), StreamError::Gap),
        ("no JSON", "data: {\n\n".to_owned(), StreamError::Malformed),
    ];
    for (name, text, wanted) in cases {
        let mut reader = reader(1, 0);
        let out = reader.read(&Bytes::from(text));
        assert_eq!((out.len(), reader.error()), (0, Some(wanted)), "{name}");
    }
}

/// Guards against ORDER: after a spoiled last token in the first piece, the end mark made the stream look whole.
#[test]
fn read_after_error_yields_nothing() {
    let mut reader = reader(1, 0);
    let first = reader.read(&Bytes::from(event("r", 1, 0) + "data: {\n\n"));
    assert_eq!((&first[..], reader.error()), (event("r", 1, 0).as_bytes(), Some(StreamError::Malformed)));
    assert!(reader.read(&Bytes::from("data: [DONE]\n\n")).is_empty());
    assert!(!reader.is_done() && reader.error().is_some());
}

#[test]
fn read_resumed_stream_continues_from_its_token() {
    let mut reader = reader(2, 7);
    let text: String = (5..9).map(|index| event("r", 2, index)).collect();
    let out = reader.read(&Bytes::from(text));
    assert_eq!(reader.error(), None);
    assert_eq!(out, event("r", 2, 7) + &event("r", 2, 8));
    assert_eq!(reader.repeated(), 2);
}

// Guards against an event without end that is kept.
#[test]
fn read_endless_event_is_too_long() {
    let mut reader = reader(1, 0);
    let piece = Bytes::from_static(&[b'x'; 1_000]);
    while reader.error().is_none() {
        assert!(reader.read(&piece).is_empty());
    }
    let bytes = MAX_EVENT_BYTES / 1_000 * 1_000 + 1_000;
    let error = TooLong { bytes, limit: MemoryLimit::Response };
    assert_eq!(reader.error(), Some(StreamError::TooLong(error)));
}
