use super::Seeds;

/// Guards against a list that is discarded whole, so that a daemon finds no other, as one of its items is no address.
#[test]
fn seeds_keep_the_addresses_that_can_be_read() {
    let seeds = |addresses: &[&str], refused| {
        let addresses = addresses.iter().map(|text| text.parse().expect("an address")).collect();
        Some(Seeds { addresses, refused })
    };
    let cases = [
        (r#"{"addresses":[]}"#, seeds(&[], 0)),
        (r#"{"addresses":["10.0.0.1:80","[::1]:81"]}"#, seeds(&["10.0.0.1:80", "[::1]:81"], 0)),
        (
            r#"{"addresses":["rack 7","10.0.0.1:80",7,null,{"a":[]},"10.0.0.2:99999"],"new":1}"#,
            seeds(&["10.0.0.1:80"], 5),
        ),
        (r#"{"addresses":"10.0.0.1:80"}"#, None),
        ("{}", None),
        ("\u{fffd}", None),
    ];
    for (text, expected) in cases {
        assert_eq!(serde_json::from_str(text).ok(), expected, "{text}");
    }
}
