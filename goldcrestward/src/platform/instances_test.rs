//! Tests of how pages of the instance list are decoded.

use prometheus::IntCounter;
use serde_json::{Value, json};

use super::{InstanceList, ListedChanges, Page};
use crate::{
    connection::HttpClient,
    process::{Refusals, ResponseMemory},
};

/// Memory for answers, in bytes.
const MEMORY_BYTES: usize = 1024;

/// Decodes a page; with the number of refused items.
fn decode(items: &[Value]) -> (ListedChanges, u64) {
    let refused = IntCounter::new("refused", "refused entries").expect("a valid name");
    let address = "127.0.0.1:9".parse().expect("an address");
    let memory = ResponseMemory::new(MEMORY_BYTES);
    let list = InstanceList::new(address, HttpClient::new(), memory, Refusals::new(refused.clone()));
    let text = json!({ "position": 4, "instances": items }).to_string();
    let page: Page<'_> = serde_json::from_str(&text).expect("a page");
    (list.decode(&page), refused.get())
}

fn instance(id: &str) -> Value {
    json!({ "id": id, "address": "127.0.0.1:9", "pool": "p", "version": "v", "zone": "z", "region": "r",
        "state": "live" })
}

#[test]
fn items_beside_one_that_cannot_be_read_are_used() {
    let mut other_type = instance("odd");
    other_type["zone"] = json!(7);
    let cases = [
        (other_type, Some("odd")),
        (json!({ "id": "rack 7&a+b#c%20" }), Some("rack 7&a+b#c%20")),
        (json!({ "id": 7 }), None),
        (json!([[[]]]), None),
        (json!(1e300), None),
        (Value::Null, None),
    ];
    for (odd, id) in cases {
        for position in 0..3 {
            let mut items = vec![instance("a"), instance("b")];
            items.insert(position, odd.clone());
            let (changes, refused) = decode(&items);
            let ids: Vec<_> = changes.instances.iter().map(|instance| &*instance.id).collect();
            assert_eq!((ids, refused), (vec!["a", "b"], 1), "{odd} at {position}");
            let unreadable: Vec<_> = changes.unreadable.iter().map(|id| &**id).collect();
            assert_eq!(unreadable, Vec::from_iter(id), "{odd} at {position}");
        }
    }
}
