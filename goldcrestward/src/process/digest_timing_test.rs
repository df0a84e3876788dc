//! Tests of the timing of digests.

use super::{cross_region_stride, digest_interval, peer_timeout_ms};

#[test]
fn datagram_rate_is_bounded_and_peers_survive_lost_digests() {
    for daemons in [1, 7, 16, 17, 85, 300, 730] {
        let interval = digest_interval(daemons).as_secs_f64();
        let rate = daemons as f64 / interval;
        assert!(rate <= 50.0, "{daemons} daemons: {rate} datagrams a second");
        let cross_region = interval * f64::from(cross_region_stride(daemons)) * 1000.0;
        assert!(peer_timeout_ms(daemons) as f64 >= 4.0 * cross_region, "{daemons} daemons");
    }
}
