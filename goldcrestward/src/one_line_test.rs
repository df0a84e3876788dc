//! Tests of the escapes in a line.

use std::io::Write;

use super::OneLine;

#[test]
fn control_characters_are_escaped() {
    for (text, expected) in [
        ("", ""),
        ("instance=plain-0 pool=\"Jõgi\\n\"", "instance=plain-0 pool=\"Jõgi\\n\""),
        ("a\nb", "a\\nb"),
        ("\r\n", "\\r\\n"),
        ("\u{1b}[2J\u{7f}\0x", "\\x1b[2J\\x7f\\x00x"),
    ] {
        let mut line = Vec::new();
        write!(OneLine(&mut line), "{text}").expect("a vector takes all bytes");
        assert_eq!(String::from_utf8_lossy(&line), expected);
    }
}
