//! Tests of load measurement.

use std::sync::Arc;

use super::DemandMeters;

#[test]
fn demand_of_a_zone_is_the_sum_over_its_daemons() {
    let mut meters = DemandMeters::default();
    let (pool, a, b): (Arc<str>, Arc<str>, Arc<str>) = ("pool".into(), "a".into(), "b".into());
    for now in (0..20_000_u64).step_by(200) {
        let epoch = 1 + u64::from(now >= 10_000);
        // The second daemon restarts halfway, which resets its total.
        let total = if epoch == 1 { now } else { now - 10_000 };
        meters.record(&"one".into(), &a, 1, &pool, now as f64 * 0.5, now);
        meters.record(&"two".into(), &a, epoch, &pool, total as f64 * 0.7, now);
        meters.record(&"three".into(), &b, 1, &pool, now as f64 * 0.1, now);
    }
    assert!(
        (meters.busy_servers("pool", "a", 20_000) - 1.2).abs() < 0.05,
        "{}",
        meters.busy_servers("pool", "a", 20_000)
    );
    assert!((meters.busy_servers("pool", "b", 20_000) - 0.1).abs() < 0.01);
    assert_eq!(meters.busy_servers("pool", "a", 30_000), 0.0, "silent daemons still count");
}
