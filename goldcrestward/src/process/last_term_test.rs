//! Tests of the entry that outlives the holders' terms.

use super::LastTerm;

/// Guards against a daemon that acquires the duties while a holder from before a restore of the store may still act.
#[test]
fn earlier_terms_are_over_in_the_stated_history_only() {
    let term = LastTerm { history: 3, holder: "front-1".into() };
    let cases = [(None, false), (Some(2), false), (Some(3), true), (Some(4), false)];
    for (number, wanted) in cases {
        assert_eq!(term.ended_earlier_terms(number), wanted, "{number:?}");
    }
}

/// Guards against entries of other builds that a daemon takes for none, or for another history.
#[test]
fn entry_is_read_as_written() {
    let term = LastTerm { history: 3, holder: "front-1".into() };
    let cases =
        [("3 front-1", Some(&term)), ("3 front-1 later", Some(&term)), ("front-1", None), ("3", None), ("", None)];
    for (text, wanted) in cases {
        assert_eq!(LastTerm::parse(text).as_ref(), wanted, "{text:?}");
    }
    assert_eq!(LastTerm::parse(&term.text()), Some(term));
}
