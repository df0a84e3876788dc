use std::time::Duration;

use tokio::time::timeout;

use super::Lifetime;

const SHORT: Duration = Duration::from_millis(30);
const LONG: Duration = Duration::from_secs(60);

#[test]
fn allows_any_run_without_a_limit() {
    let lifetime = Lifetime::default();
    assert!(lifetime.allows(LONG));
    lifetime.begin_stop(None);
    assert!(lifetime.allows(LONG) && lifetime.time_left().is_none());
}

#[test]
fn allows_only_runs_that_end_in_time() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(Some(LONG));
    assert!(lifetime.allows(LONG / 2) && !lifetime.allows(LONG * 2));
}

/// Guards against a second signal that gives a stopping daemon more time, or less, than its work was measured by.
#[test]
fn begin_stop_twice_keeps_the_first_end() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(Some(LONG));
    lifetime.begin_stop(Some(LONG * 10));
    lifetime.begin_stop(None);
    assert!(lifetime.time_left().is_some_and(|left| left <= LONG));
}

#[tokio::test]
async fn shorter_than_waits_for_the_stop() {
    let lifetime = Lifetime::default();
    assert!(timeout(SHORT, lifetime.ended()).await.is_err(), "there is no stop");
    let waiting = tokio::spawn({
        let lifetime = lifetime.clone();
        async move { lifetime.shorter_than(LONG).await }
    });
    lifetime.begin_stop(Some(LONG));
    waiting.await.expect("less than the limit is left at once");
    assert!(timeout(SHORT, lifetime.ended()).await.is_err(), "the end is a minute away");
}

#[tokio::test]
async fn ended_is_pending_without_a_limit() {
    let lifetime = Lifetime::default();
    lifetime.begin_stop(None);
    assert!(timeout(SHORT, lifetime.ended()).await.is_err());
}
