use super::Seeds;

/// Guards against a list that is discarded whole, so that a daemon finds no other, as one of its items is no address.
#[test]
fn decode_keeps_the_addresses_that_can_be_read() {
    let cases: [(&str, Option<(&[&str], usize)>); 6] = [
        (r#"{"addresses":[]}"#, Some((&[], 0))),
        (r#"{"addresses":["10.0.0.1:80","[::1]:81"]}"#, Some((&["10.0.0.1:80", "[::1]:81"], 0))),
        (
            r#"{"addresses":["rack 7","10.0.0.1:80",7,null,{"a":[]},"10.0.0.2:99999"],"new":1}"#,
            Some((&["10.0.0.1:80"], 5)),
        ),
        (r#"{"addresses":"10.0.0.1:80"}"#, None),
        ("{}", None),
        ("\u{fffd}", None),
    ];
    for (text, expected) in cases {
        let decoded: Option<Seeds> = serde_json::from_str(text).ok();
        let expected = expected.map(|(addresses, refused)| {
            let addresses = addresses.iter().map(|text| text.parse().expect("an address")).collect();
            Seeds { addresses, refused }
        });
        assert_eq!(decoded, expected, "{text}");
    }
}
