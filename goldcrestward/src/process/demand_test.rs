//! Tests of load measurement.

use std::sync::Arc;

use super::DemandMeters;

#[test]
fn demand_of_a_zone_goes_on_when_another_relay_reports_it() {
    let mut meters = DemandMeters::default();
    let (pool, a, b): (Arc<str>, Arc<str>, Arc<str>) = ("pool".into(), "a".into(), "b".into());
    for now in (0..20_000_u64).step_by(200) {
        // Halfway, a relay that knows a smaller total takes over in one zone.
        let (relay, total) = if now < 10_000 { ("one", now) } else { ("two", now - 9_000) };
        meters.record(&a, (relay, 1), &pool, total as f64 * 1.2, now);
        meters.record(&b, ("three", 1), &pool, now as f64 * 0.1, now);
        if now > 12_000 || (8_000..=10_400).contains(&now) {
            let busy = meters.busy_servers(&pool, &a, now);
            assert!((busy - 1.2).abs() < 0.1, "{busy} at {now} ms");
        }
    }
    let busy = meters.busy_servers(&pool, &a, 20_000);
    assert!((busy - 1.2).abs() < 0.05, "{busy}");
    assert!((meters.busy_servers(&pool, &b, 20_000) - 0.1).abs() < 0.01);
    assert_eq!(meters.busy_servers(&pool, &a, 30_000), 0.0, "a silent zone still counts");
}
