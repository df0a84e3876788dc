use std::time::Duration;

use super::{stated_work, work_ms};
use crate::{pb::OpenTunnel, process::WorkTime};

/// Guards against LOST: a time that a peer has not stated, as builds before the field do not, must not count as a short one.
#[test]
fn stated_work_is_unknown_if_the_peer_does_not_state_it() {
    let stated =
        |ends_within_ms, at_most_ms| stated_work(&OpenTunnel { ends_within_ms, at_most_ms, ..OpenTunnel::default() });
    let time = Duration::from_millis;
    assert_eq!(stated(0, 0), None);
    assert_eq!(stated(0, 4_000), None);
    assert_eq!(stated(200, 0), Some(WorkTime { expected: time(200), at_most: None }));
    assert_eq!(stated(200, 4_000), Some(WorkTime { expected: time(200), at_most: Some(time(4_000)) }));
}

#[test]
fn work_ms_is_not_shorter_than_the_time() {
    let cases = [(0, 0), (1, 1), (1_000, 1), (1_001, 2), (4_000_000, 4_000)];
    for (us, ms) in cases {
        assert_eq!(work_ms(Duration::from_micros(us)), ms);
    }
    assert_eq!(work_ms(Duration::MAX), u64::MAX);
}
