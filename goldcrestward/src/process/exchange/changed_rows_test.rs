//! Tests of the selection of rows to send.

use std::collections::{BTreeMap, HashMap};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::ChangedRows;

fn table(rows: &[(u32, f64)]) -> BTreeMap<u32, f64> {
    rows.iter().copied().collect()
}

#[test]
fn take_sends_changes_only_and_refreshes_the_rest() {
    let mut rows = ChangedRows::default();
    assert_eq!(rows.take(&table(&[(1, 5.0), (2, 6.0)]), 10, 0), [(1, 5.0), (2, 6.0)]);
    assert_eq!(rows.take(&table(&[(1, 5.0), (2, 7.0)]), 10, 200), [(2, 7.0)]);
    assert_eq!(rows.take(&table(&[(2, 7.0)]), 10, 400), [(1, 0.0)], "a row that is gone");
    assert_eq!(rows.take(&table(&[(2, 7.0)]), 10, 600), []);
    assert_eq!(rows.take(&table(&[(2, 7.0)]), 10, 1_300), [(2, 7.0)], "a refresh");
    assert_eq!(rows.take(&table(&[(2, 7.0)]), 10, 1_400), [(1, 0.0)], "the message that told of its end may be lost");
    assert_eq!(rows.take(&table(&[]), 10, 9_000), [(2, 0.0)]);
}

#[test]
fn restart_sends_all_rows_and_those_that_are_gone() {
    let mut rows = ChangedRows::default();
    rows.take(&table(&[(1, 5.0), (2, 6.0)]), 10, 0);
    // One recipient of the same messages has been replaced; the other still has the row that ends now.
    rows.restart();
    assert_eq!(rows.take(&table(&[(2, 6.0)]), 10, 200), [(1, 0.0), (2, 6.0)]);
    assert_eq!(rows.take(&table(&[(2, 6.0)]), 10, 400), []);
}

#[test]
fn take_within_limit_reaches_every_row() {
    // Rows that change a lot in every round must not starve the others.
    let mut random = SmallRng::seed_from_u64(3);
    for count in [63_u32, 364, 1_100] {
        let mut sender = ChangedRows::default();
        let mut current: BTreeMap<u32, f64> = (0..count).map(|n| (n, 1.0)).collect();
        let mut received: HashMap<u32, (f64, u64)> = HashMap::new();
        let rounds_to_reach_all = u64::from(count.div_ceil(64)) * 3;
        for round in 0..200_u64 {
            for (n, value) in &mut current {
                let step: f64 = random.random_range(0.5..1.5);
                *value += if n % 4 == 0 { 20.0 * step } else { step };
            }
            let rows = sender.take(&current, 64, round * 200);
            assert!(rows.len() <= 64);
            received.extend(rows.into_iter().map(|(n, value)| (n, (value, round))));
            if round > rounds_to_reach_all {
                let oldest = received.values().map(|(_, at)| round - at).max();
                assert!(oldest <= Some(rounds_to_reach_all), "{count} rows: one is {oldest:?} rounds old");
                assert_eq!(received.len(), count as usize);
            }
        }
    }
}
