//! Tests of how often daemons tell each other.

use super::{cross_region_stride, digest_interval, peer_timeout_ms};

#[test]
fn pace_keeps_datagrams_bounded_and_silence_beyond_them() {
    for daemons in [1, 7, 16, 17, 85, 300, 730] {
        let interval = digest_interval(daemons).as_secs_f64();
        let sent = daemons as f64 / interval;
        assert!(sent <= 50.0, "{daemons} daemons: {sent} datagrams a second");
        let far = interval * f64::from(cross_region_stride(daemons)) * 1000.0;
        assert!(peer_timeout_ms(daemons) as f64 >= 4.0 * far, "{daemons} daemons");
    }
}
