//! Tests of the list's format.

use super::List;

#[test]
fn parse_takes_full_names_of_tests() {
    let text =
        "Tests that fail.\n\ntest: a::b::holds\nseen: test: c::d, once\nissue: 1\n\nplay: day.toml\n\ntest:e::f \n";
    assert_eq!(List::parse(text).tests, ["a::b::holds", "e::f"]);
}
