//! Tests of ranges and watches that hold an item which cannot be read.

use std::time::Duration;

use prometheus::IntCounter;
use serde_json::{Value, json};
use standin::platform::{Platform, PlatformFaults};
use tokio::{net::TcpListener, time::timeout};

use super::Etcd;
use crate::{
    connection::HttpClient,
    process::{Refusals, ResponseMemory},
    store::{Change, Revision, StorePort},
};

/// Memory for answers, in bytes.
const MEMORY_BYTES: usize = 1024 * 1024;
/// Limits how long a failing test runs.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// The key `a/odd` in base64.
const ODD_KEY: &str = "YS9vZGQ=";

struct Case {
    what: &'static str,
    item: Value,
    /// Whether the item names the key `a/odd`, so that it is listed with a value that nobody can use.
    is_named: bool,
}

fn cases() -> Vec<Case> {
    let case = |what, item, is_named| Case { what, item, is_named };
    vec![
        case("no key", json!({ "value": "eA==", "mod_revision": "6" }), false),
        case("key of another type", json!({ "key": 7, "value": "eA==", "mod_revision": "6" }), false),
        case("key that is no base64", json!({ "key": "a&+#% b", "value": "eA==", "mod_revision": "6" }), false),
        case("key that is no text", json!({ "key": "/////w==", "value": "eA==", "mod_revision": "6" }), false),
        case("null", Value::Null, false),
        case("list", json!([[]]), false),
        case("value of another type", json!({ "key": ODD_KEY, "value": 7, "mod_revision": "6" }), true),
        case("value that is no base64", json!({ "key": ODD_KEY, "value": "&+#%", "mod_revision": "6" }), true),
        case("revision of another type", json!({ "key": ODD_KEY, "value": "eA==", "mod_revision": [] }), true),
        case("revision that is no number", json!({ "key": ODD_KEY, "value": "eA==", "mod_revision": "-1" }), true),
    ]
}

/// A platform with the keys `a/1` and `a/2`, a client of it, and the number of items that the client has refused.
async fn start() -> (Platform, Etcd, IntCounter) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let platform = Platform::start(listener, 1).expect("the platform starts");
    platform.put_entry("a/1", b"x");
    platform.put_entry("a/2", b"x");
    let refused = IntCounter::new("refused", "refused entries").expect("a valid name");
    let (memory, refusals) = (ResponseMemory::new(MEMORY_BYTES), Refusals::new(refused.clone()));
    let store = Etcd::new(platform.address(), HttpClient::new(), memory, refusals);
    (platform, store, refused)
}

#[tokio::test]
async fn range_lists_what_stands_beside_an_odd_item() {
    for Case { what, item, is_named } in cases() {
        let (platform, store, refused) = start().await;
        platform.set_faults(PlatformFaults { range_items: vec![item], ..PlatformFaults::default() });
        let page = store.list_page("test", "a/", Revision::NONE, "").await.expect("an answer");
        let sound = page.rows.iter().filter(|row| row.value == "x").map(|row| row.key.as_str());
        assert_eq!(sound.collect::<Vec<_>>(), ["a/1", "a/2"], "{what}");
        let unreadable = page.rows.iter().filter(|row| row.value != "x").map(|row| (row.key.as_str(), &row.value[..]));
        let expected: &[(&str, &[u8])] = if is_named { &[("a/odd", &[0xff])] } else { &[] };
        assert_eq!(unreadable.collect::<Vec<_>>(), expected, "{what}");
        assert_eq!((page.revision.number(), refused.get()), (2, 1), "{what}");
    }
}

#[tokio::test]
async fn single_key_is_read_beside_an_odd_item() {
    for Case { what, item, .. } in cases() {
        let (platform, store, _) = start().await;
        platform.set_faults(PlatformFaults { range_items: vec![item], ..PlatformFaults::default() });
        let row = store.get("test", "a/1").await.expect("an answer");
        assert_eq!(row.map(|row| row.key), Some("a/1".to_owned()), "{what}");
        assert_eq!(store.get("test", "a/3").await, Ok(None), "{what}");
    }
}

#[tokio::test]
async fn watch_returns_what_stands_beside_an_odd_event() {
    for Case { what, item, .. } in cases() {
        for event in [json!({ "kv": item }), json!({ "type": "DELETE", "kv": item }), item, json!({ "type": 7 })] {
            let (platform, store, _) = start().await;
            platform.set_faults(PlatformFaults { watch_events: vec![event.clone()], ..PlatformFaults::default() });
            let mut watch = store.watch("test", "a/", Revision::NONE).await.expect("a watch");
            let mut keys = Vec::new();
            while keys.len() < 3 {
                let changes = timeout(WAIT_LIMIT, watch.next(WAIT_LIMIT)).await.expect("changes in time");
                let changes = changes.unwrap_or_else(|error| panic!("{what}: {event}: {error:?}")).changes;
                keys.extend(changes.into_iter().filter_map(|change| match change {
                    Change::Put(row) => (row.value == "x").then_some(row.key),
                    Change::Removed(..) => None,
                }));
                platform.put_entry("a/3", b"x");
            }
            assert_eq!(keys[..3], ["a/1", "a/2", "a/3"], "{what}: {event}");
        }
    }
}
