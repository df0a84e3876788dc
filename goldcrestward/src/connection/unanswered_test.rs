use super::{LineRate, MAX_LINES_PER_SECOND};

/// Guards against a log that grows with each request that an overloaded daemon leaves unanswered.
#[test]
fn lines_are_bounded_and_others_are_counted() {
    let mut rate = LineRate::default();
    let lines = (0..MAX_LINES_PER_SECOND + 7).filter_map(|_| rate.take(3)).collect::<Vec<_>>();
    assert_eq!(lines, vec![0; MAX_LINES_PER_SECOND as usize]);
    assert_eq!(rate.take(4), Some(7));
    assert_eq!(rate.take(4), Some(0));
}
