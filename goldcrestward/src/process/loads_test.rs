//! Tests of the load of a server as daemons and the server report it.

use super::{LoadTracker, PeerLoad};
use crate::port::Load;

#[test]
fn loads_of_daemons_add_up_and_expire() {
    let mut loads = LoadTracker::default();
    let own = PeerLoad { running: 2, prefill_ms: 10.0 };
    loads.set_others(PeerLoad { running: 4, prefill_ms: 40.0 }, 0);
    assert_eq!(loads.total(&own, 950), PeerLoad { running: 6, prefill_ms: 50.0 });
    // An old report no longer counts, and a withdrawn one stops counting at once.
    assert_eq!(loads.total(&own, 2_500), own);
    loads.set_others(PeerLoad { running: 3, prefill_ms: 0.0 }, 2_600);
    assert_eq!(loads.total(&own, 2_700), PeerLoad { running: 5, prefill_ms: 10.0 });
    loads.set_others(PeerLoad::default(), 2_800);
    assert_eq!(loads.total(&own, 2_800), own);
    // A server's report of more than the daemons know counts until it expires.
    loads.apply_server_report(Load { running: 5, waiting: 2 }, 2_800);
    assert_eq!(loads.total(&own, 2_900).running, 7);
    assert_eq!(loads.total(&own, 3_200).running, 2);
}
