//! Tests of the names of tests.

use super::TestName;

#[test]
fn from_location_names_crate_target_and_modules() {
    let cases = [
        ("goldcrestward", "goldcrestward::process::a_test::holds::here", "goldcrestward::process::a_test::holds"),
        ("goldcrestward", "it::ledger::holds::{{closure}}::here", "goldcrestward::it::ledger::holds"),
        ("goldcrestward-platform", "it::ledger::holds::{{closure}}::here", "goldcrestward_platform::it::ledger::holds"),
        ("goldcrestward-platform", "goldcrestward_platform::holds::here", "goldcrestward_platform::holds"),
    ];
    for (package, location, full) in cases {
        assert_eq!(TestName::from_location(package, location).full, full, "{package} {location}");
    }
}

#[test]
fn from_location_names_test_as_its_binary_does() {
    let name = TestName::from_location("goldcrestward", "it::ledger::holds::{{closure}}::here");
    assert_eq!(name.in_binary, "ledger::holds");
    let name = TestName::from_location("goldcrestward", "goldcrestward::a::b_test::holds::here");
    assert_eq!(name.in_binary, "a::b_test::holds");
}
