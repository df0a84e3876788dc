//! Tests that `proto/peer.proto` only adds to what the last landing has, `proto/landed/peer.proto`.

use super::schema_test::Schema;

pub(super) const CURRENT: &str = include_str!("../../../proto/peer.proto");
const LANDED: &str = include_str!("../../../proto/landed/peer.proto");

const OLD: &str = r#"
    syntax = "proto3";
    package some.package; // A comment.
    enum Kind { KIND_NONE = 0; KIND_FIRST = 1; }
    enum MemberState { MEMBER_STATE_ALIVE = 0; }
    message Fact { Kind kind = 1; }
    message Letter {
      reserved 4, 9;
      string from = 1;
      repeated Fact facts = 2;
      optional uint64 until = 3;
      oneof body {
        Fact fact = 5;
        Kind kind = 6;
      }
    }
"#;

#[test]
fn schema_only_adds_to_landed() {
    let (current, landed) = (Schema::parse(CURRENT).expect("supported"), Schema::parse(LANDED).expect("supported"));
    assert_eq!(current.violations(&landed), Vec::<String>::new(), "docs/design/upgrades.md has the rules");
    assert!(landed.encodings().len() > 50, "{} messages were read", landed.encodings().len());
}

#[test]
fn schema_change_is_reported_or_allowed() {
    let cases = [
        ("string from = 1;", "string from = 1;", None),
        ("string from = 1;", "string from = 1; string to = 7;", None),
        ("Fact fact = 5;", "Fact fact = 5; string text = 7;", None),
        ("message Fact", "message Other { string a = 1; } message Fact", None),
        ("KIND_FIRST = 1;", "KIND_FIRST = 1; KIND_SECOND = 2;", None),
        ("string from = 1;", "string from = 7;", Some("Letter: field 1, `string from`, is missing")),
        ("string from = 1;", "bytes from = 1;", Some("Letter: field 1 was `string from`, is `bytes from`")),
        ("string from = 1;", "string to = 1;", Some("Letter: field 1 was `string from`, is `string to`")),
        ("string from = 1;", "", Some("Letter: field 1, `string from`, is missing")),
        (
            "string from = 1;",
            "string from = 1; string to = 9;",
            Some("Letter: field 9, `string to`, has a reserved number"),
        ),
        ("reserved 4, 9;", "reserved 9;", Some("Letter: 4 is no longer reserved")),
        ("repeated Fact", "Fact", Some("Letter: field 2 was `repeated Fact facts`, is `Fact facts`")),
        ("optional uint64", "uint64", Some("Letter: field 3 was `optional uint64 until`, is `uint64 until`")),
        ("oneof body", "oneof content", Some("Letter: field 5 was `Fact fact in body`, is `Fact fact in content`")),
        (
            "Kind kind = 6;\n      }",
            "} Kind kind = 6;",
            Some("Letter: field 6 was `Kind kind in body`, is `Kind kind`"),
        ),
        ("message Fact {", "message Event {", Some("message Fact is missing")),
        ("enum Kind {", "enum Sort {", Some("enum Kind is missing")),
        ("KIND_FIRST = 1", "KIND_FIRST = 2", Some("Kind: KIND_FIRST = 1 is missing or has another name")),
        ("KIND_FIRST = 1", "KIND_OTHER = 1", Some("Kind: KIND_FIRST = 1 is missing or has another name")),
        ("Kind kind = 1;", "Kind kind = 1; string text = 2;", Some("Fact: no field may be added")),
        ("ALIVE = 0;", "ALIVE = 0; MEMBER_STATE_ASLEEP = 1;", Some("MemberState: no value may be added")),
    ];
    let landed = Schema::parse(OLD).expect("supported");
    for (before, after, expected) in cases {
        let text = OLD.replacen(before, after, 1);
        assert!(OLD.contains(before), "{before:?} is in the file");
        // Dropped reservations make room for the field whose number is reused.
        let text = if after.contains("= 9") { text.replace("reserved 4, 9;", "reserved 4;") } else { text };
        let violations = Schema::parse(&text).expect("supported").violations(&landed);
        assert_eq!(violations.first().map(String::as_str), expected, "{before:?} to {after:?}");
    }
}

#[test]
fn schema_unsupported_or_contradictory_is_refused() {
    let cases = [
        ("string from = 1;", "string from = 1; string to = 1;", "message Letter: 1 is the number of `string from`"),
        ("string from = 1;", "string from = 9;", "message Letter: 9 is reserved"),
        ("KIND_FIRST = 1;", "KIND_FIRST = 0;", "enum Kind: 0 is the number of KIND_NONE"),
        ("string from = 1;", "string from = 1 [deprecated = true];", "message Letter: \"[\" stands where"),
        ("string from = 1;", "map<string, string> all = 1;", "message Letter: \"map\" is not supported here"),
        ("string from = 1;", "message Inner {}", "message Letter: \"message\" is not supported here"),
        ("reserved 4, 9;", "reserved 4 to 9;", "message Letter: \"to\" is not supported"),
        ("enum Kind", "import \"other.proto\"; enum Kind", "\"import\" is not supported"),
        ("message Fact {", "message Letter {} message Fact {", "message Letter is declared twice"),
    ];
    for (before, after, expected) in cases {
        assert!(OLD.contains(before), "{before:?} is in the file");
        let error = Schema::parse(&OLD.replacen(before, after, 1)).expect_err(after);
        assert!(error.starts_with(expected), "{after:?}: {error}");
    }
}
