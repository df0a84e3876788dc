//! Tests of the bounds on probabilities.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::bound::{lower, upper};

#[test]
fn bounds_enclose_mean_and_narrow() {
    for (hits, count) in [(0_u64, 10_u64), (1, 10), (5, 10), (10, 10), (30, 1_000), (990, 1_000)] {
        let (low, high) = (lower(hits, count, 0.05), upper(hits, count, 0.05));
        let mean = hits as f64 / count as f64;
        assert!(low <= mean && mean <= high, "{hits} of {count}: {low} to {high}");
        let (narrow_low, narrow_high) = (lower(hits * 20, count * 20, 0.05), upper(hits * 20, count * 20, 0.05));
        assert!(narrow_high - narrow_low < high - low, "{hits} of {count}");
    }
}

#[test]
fn bounds_hold_at_all_times_at_once() {
    let mut random = SmallRng::seed_from_u64(1);
    let (runs, alpha, truth) = (400, 0.1, 0.03);
    let mut left = 0;
    for _ in 0..runs {
        let mut hits = 0;
        let outside = (1..=1_500_u64).any(|count| {
            hits += u64::from(random.random_bool(truth));
            count % 5 == 0 && (lower(hits, count, alpha) > truth || upper(hits, count, alpha) < truth)
        });
        left += u32::from(outside);
    }
    // The bounds are used one-sided at `alpha` each, so both together may leave at twice that.
    assert!(f64::from(left) <= 2.0 * alpha * f64::from(runs), "{left} of {runs} runs left the bounds");
}
