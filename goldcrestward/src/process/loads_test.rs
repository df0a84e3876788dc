//! Tests of the load of a server as daemons and the server report it.

use std::sync::Arc;

use super::{LoadTracker, PeerLoad};
use crate::port::Load;

#[test]
fn loads_of_daemons_add_up_and_expire() {
    let mut loads = LoadTracker::default();
    let own = PeerLoad { running: 2, prefill_ms: 10.0 };
    let (one, two): (Arc<str>, Arc<str>) = ("one".into(), "two".into());
    loads.apply_peer_report(&one, Some(PeerLoad { running: 3, prefill_ms: 40.0 }), 0);
    loads.apply_peer_report(&two, Some(PeerLoad { running: 1, prefill_ms: 0.0 }), 900);
    assert_eq!(loads.total(&own, 7, 950), PeerLoad { running: 6, prefill_ms: 50.0 });
    // An old report no longer counts, and a withdrawn one stops counting at once.
    assert_eq!(loads.total(&own, 7, 1_500), PeerLoad { running: 3, prefill_ms: 10.0 });
    loads.apply_peer_report(&two, None, 2_000);
    assert_eq!(loads.total(&own, 7, 2_000), own);
    // A server's report of more than the daemons know counts until it expires.
    loads.apply_server_report(Load { running: 5, waiting: 2 }, 2_000);
    assert_eq!(loads.total(&own, 7, 2_100).running, 7);
    assert_eq!(loads.total(&own, 7, 2_900).running, 2);
}
