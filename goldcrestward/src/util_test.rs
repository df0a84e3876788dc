//! Tests of the utilities.

use bytes::Bytes;

use super::repaired_text;

/// Guards against RECOVER: one key that is not UTF-8 made a whole page of the store unreadable.
#[test]
fn bytes_that_are_no_text_leave_the_rest_of_a_body_readable() {
    let body = Bytes::from_static(b"[{\"key\":\"a\xff\"},{\"key\":\"b\"}]");
    let keys: serde_json::Value = serde_json::from_slice(&repaired_text(body)).expect("JSON");
    assert_eq!(keys[1]["key"], "b");
    let sound = Bytes::from_static("{\"key\":\"\u{e9}\"}".as_bytes());
    assert_eq!(repaired_text(sound.clone()), sound);
}
