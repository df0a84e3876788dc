//! Tests of the limits by which callers may go.

use std::time::{Duration, Instant};

use super::IdleTimeouts;

const LAG: Duration = Duration::from_millis(2_500);

#[test]
fn longest_holds_former_idle_timeout_until_callers_know_the_new_one() {
    let start = Instant::now();
    let mut timeouts = IdleTimeouts::default();
    // Time in ms, the time-out in force, and the longest that callers may know, in s.
    let steps = [
        (0, 4, 4),
        (1_000, 9, 9),
        (2_000, 3, 9),
        (4_000, 2, 9),
        (5_000, 2, 9),
        (6_499, 2, 9),
        (6_500, 2, 2),
        (9_000, 5, 5),
        (9_100, 1, 5),
        (9_200, 7, 7),
        (11_600, 7, 7),
        (11_601, 6, 7),
        (14_200, 6, 6),
    ];
    for (at, current, longest) in steps {
        let now = start + Duration::from_millis(at);
        assert_eq!(timeouts.longest(Duration::from_secs(current), LAG, now).as_secs(), longest, "at {at} ms");
    }
}
