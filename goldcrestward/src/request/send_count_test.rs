//! Tests of counting the servers that a request has been sent to.

use std::net::SocketAddr;

use super::{MAX_MISDIRECTED, RunState, SendCount};

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

/// Guards against attempts that are used up by the names under which one server is listed.
#[test]
fn attempts_count_a_server_with_several_names_once() {
    let mut count = SendCount::default();
    for _ in 0..3 {
        let begun = count.begin(address(1));
        count.record_misdirected(begun);
    }
    assert_eq!((count.servers(), count.attempts(RunState::NotRun), count.attempts(RunState::MayHaveRun)), (1, 1, 0));
    assert_eq!(count.addresses_to_name(), [address(1)]);
    count.begin(address(1));
    assert_eq!((count.servers(), count.attempts(RunState::NotRun), count.attempts(RunState::MayHaveRun)), (1, 1, 1));
    assert!(count.addresses_to_name().is_empty(), "it has got the request under its own name");
}

#[test]
fn attempts_count_each_server() {
    let mut count = SendCount::default();
    let begun = count.begin(address(1));
    count.record_misdirected(begun);
    count.begin(address(2));
    count.record_refusal();
    count.begin(address(3));
    assert_eq!((count.servers(), count.attempts(RunState::NotRun), count.attempts(RunState::MayHaveRun)), (3, 3, 1));
}

#[test]
fn take_back_leaves_the_counts_as_before() {
    let mut count = SendCount::default();
    let begun = count.begin(address(1));
    count.take_back(begun);
    assert_eq!((count.servers(), count.attempts(RunState::MayHaveRun)), (0, 0));
    let begun = count.begin(address(1));
    count.record_misdirected(begun);
    let begun = count.begin(address(1));
    count.take_back(begun);
    assert_eq!((count.servers(), count.attempts(RunState::MayHaveRun)), (1, 0));
    assert_eq!(count.addresses_to_name(), [address(1)]);
}

#[test]
fn addresses_to_name_end_after_too_many_answers_of_others() {
    let mut count = SendCount::default();
    for number in 0..MAX_MISDIRECTED {
        assert_eq!(count.addresses_to_name().is_empty(), number == 0);
        let begun = count.begin(address(1));
        count.record_misdirected(begun);
    }
    assert!(count.addresses_to_name().is_empty());
}
