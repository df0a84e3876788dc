//! Tests of which whole responses are kept for their callers.

use quickcheck::quickcheck;

use super::CallerShare;

const LIMIT: usize = 1_000;

quickcheck! {
    /// Guards against responses of callers that do not read which add up without a bound.
    fn add_any_responses_keeps_sum_within_share(sizes: Vec<u16>) -> bool {
        let mut share = CallerShare::new(LIMIT);
        let mut kept = Vec::new();
        (0..).zip(&sizes).all(|(id, size)| {
            let bytes = usize::from(*size) % (LIMIT + 200);
            let victims = share.add(id, bytes);
            kept.retain(|(other, _)| !victims.contains(other));
            kept.push((id, bytes));
            share.total() == kept.iter().map(|(_, bytes)| bytes).sum::<usize>() && share.total() <= LIMIT.max(bytes)
        })
    }
}

// Guards against answers of callers that read on, however slowly, which give way to those of callers that do not.
#[test]
fn add_response_takes_from_caller_that_does_not_read() {
    let mut share = CallerShare::new(LIMIT);
    assert!((0..3).all(|id| share.add(id, 300).is_empty()));
    share.record_taken(0);
    assert_eq!(share.add(3, 300), [1]);
    share.record_taken(0);
    assert_eq!(share.add(4, 600), [2, 3]);
    assert_eq!(share.total(), 900);
}

#[test]
fn remove_gives_back_bytes_once() {
    let mut share = CallerShare::new(LIMIT);
    assert!(share.add(0, 700).is_empty());
    share.remove(0);
    share.remove(0);
    assert_eq!(share.total(), 0);
    assert!(share.add(1, 700).is_empty());
}
