//! Tests of the retry budget.

use std::sync::Arc;

use super::{RetryBudget, RetryLimit};

const WINDOW_MS: u64 = 10_000;

fn limit() -> RetryLimit {
    RetryLimit { share: 0.2, extra: 54.0, window: WINDOW_MS }
}

#[test]
fn retries_of_all_daemons_stay_in_the_budget() {
    let pool: Arc<str> = "pool".into();
    for (daemons, rate) in [(1, 170_u64), (7, 24), (7, 2), (85, 2)] {
        let mut budgets: Vec<_> = (0..daemons).map(|_| RetryBudget::new(limit())).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now in 0..40_000_u64 {
            for budget in &mut budgets {
                if now % (1_000 / rate) == 0 {
                    budget.record_request(&pool, now);
                    requests.push(now);
                    // Every request fails and would be retried.
                    if budget.withdraw(&pool, daemons, now) {
                        retries.push(now);
                    }
                }
            }
        }
        let count =
            |times: &[u64], from: u64| times.iter().filter(|t| (from..from + WINDOW_MS).contains(t)).count() as f64;
        for from in (0..30_000).step_by(250) {
            let allowed = 0.2 * count(&requests, from) + 54.0;
            assert!(count(&retries, from) <= allowed, "{daemons} daemons at {from} ms: {}", count(&retries, from));
        }
        assert!(!retries.is_empty());
    }
}
