//! Tests of which relay of a zone is listened to.

use super::{HeardRelay, Hearing, relay_score};

/// Two names, the one with the higher score first.
fn ranked() -> (&'static str, &'static str) {
    if relay_score("a") > relay_score("b") { ("a", "b") } else { ("b", "a") }
}

#[test]
fn hear_prefers_the_higher_rank_and_falls_back_after_silence() {
    let (high, low) = ranked();
    let mut heard = HeardRelay::default();
    assert_eq!(heard.hear(low, 1, 0, 0), Hearing::Changed);
    assert_eq!(heard.hear(low, 1, 0, 200), Hearing::Same);
    assert_eq!(heard.hear(high, 1, 0, 300), Hearing::Changed);
    assert_eq!(heard.hear(low, 1, 0, 400), Hearing::Ignore);
    assert_eq!(heard.hear(low, 1, 0, 1_100), Hearing::Changed, "the higher ranked one is silent");
    assert_eq!(heard.hear(high, 1, 0, 1_200), Hearing::Changed);
    assert_eq!(heard.hear(high, 2, 0, 1_300), Hearing::Changed, "a restarted relay has new totals");
    assert_eq!(heard.hear(high, 2, 0, 2_300), Hearing::Changed, "totals after a gap may include what another told");
    assert_eq!(heard.name(2_400).map(|name| &**name), Some(high));
    assert_eq!(heard.name(4_000), None);
}

#[test]
fn forget_lets_a_lower_rank_speak_at_once() {
    let (high, low) = ranked();
    let mut heard = HeardRelay::default();
    assert_eq!(heard.hear(high, 1, 0, 0), Hearing::Changed);
    assert!(!heard.forget(low));
    assert_eq!(heard.hear(low, 1, 0, 100), Hearing::Ignore);
    assert!(heard.forget(high));
    assert_eq!(heard.hear(low, 1, 0, 150), Hearing::Changed);
}
