//! Tests of the order in which daemons read the store.

use super::{Budget, MAX_POLL_MS, MIN_POLL_MS, Overdue, Place, Turn, readers_per_region};

#[test]
fn next_in_each_situation() {
    let place = Some(Place { index: 0, count: 6 });
    let overdue = Some(Overdue::Age);
    for (place, overdue, must_list, expected) in [
        (None, None, false, "peers"),
        // The peers pass on the whole state, too.
        (None, None, true, "peers"),
        (None, overdue, false, "catch-up"),
        (None, overdue, true, "listing"),
        (place, None, true, "listing"),
        (place, None, false, "poll"),
        (place, overdue, false, "catch-up"),
    ] {
        assert_eq!(Turn::next(&Budget::SITE, place, overdue, must_list, 0).label(), expected);
    }
}

/// In each slot of a period one poll of the site ends, whatever the time at which the daemons begin.
#[test]
fn polls_end_one_after_the_other() {
    for budget in [Budget::SITE, Budget::CONFIG] {
        for count in 1..=24 {
            let mut ends: Vec<u64> = Vec::new();
            for index in 0..count {
                let mut now = 1_000_000 + index as u64 * 37;
                while now < 1_020_000 {
                    now += Place { index, count }.poll_ms(&budget, now);
                    ends.push(now);
                }
            }
            ends.sort_unstable();
            let gaps = ends.windows(2).filter(|pair| pair[0] > 1_008_000 && pair[1] < 1_020_000);
            let longest = gaps.map(|pair| pair[1] - pair[0]).max().expect("polls end");
            assert!(longest <= budget.slot + 1, "{count} readers: {longest} ms of {budget:?}");
        }
    }
}

#[test]
fn polls_are_neither_short_nor_endless() {
    for count in 1..=24 {
        for now in (0..10_000).step_by(7) {
            for index in 0..count {
                let ms = Place { index, count }.poll_ms(&Budget::SITE, now);
                assert!((MIN_POLL_MS..MAX_POLL_MS + MIN_POLL_MS).contains(&ms), "{ms} ms");
            }
        }
    }
}

#[test]
fn readers_per_region_at_few_and_many() {
    assert_eq!([0, 1, 2, 3, 11].map(readers_per_region), [4, 4, 2, 2, 2]);
}
