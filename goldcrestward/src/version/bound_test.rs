//! Tests of the confidence bounds.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::bound::{lower_bound, upper_bound};

#[test]
fn bounds_enclose_mean_and_narrow() {
    for (hits, count) in [(0_u64, 10_u64), (1, 10), (5, 10), (10, 10), (30, 1_000), (990, 1_000)] {
        let (low, high) = (lower_bound(hits, count, 0.05), upper_bound(hits, count, 0.05));
        let mean = hits as f64 / count as f64;
        assert!(low <= mean && mean <= high, "{hits} of {count}: {low} to {high}");
        let (narrow_low, narrow_high) =
            (lower_bound(hits * 20, count * 20, 0.05), upper_bound(hits * 20, count * 20, 0.05));
        assert!(narrow_high - narrow_low < high - low, "{hits} of {count}");
    }
}

#[test]
fn bounds_are_time_uniform() {
    let mut random = SmallRng::seed_from_u64(1);
    let (runs, alpha, probability) = (400, 0.1, 0.03);
    let mut runs_outside = 0;
    for _ in 0..runs {
        let mut hits = 0;
        let outside = (1..=1_500_u64).any(|count| {
            hits += u64::from(random.random_bool(probability));
            count % 5 == 0
                && (lower_bound(hits, count, alpha) > probability || upper_bound(hits, count, alpha) < probability)
        });
        runs_outside += u32::from(outside);
    }
    // Each bound is one-sided at `alpha`, so the two together may be violated at twice that rate.
    assert!(f64::from(runs_outside) <= 2.0 * alpha * f64::from(runs), "{runs_outside} of {runs} runs left the bounds");
}
