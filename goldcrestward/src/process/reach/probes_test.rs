use std::sync::Arc;

use futures_util::{FutureExt, future::ready};

use super::{Probes, RESULT_TTL_MS};

#[test]
fn join_begins_a_probe_only_if_there_is_no_recent_one() {
    let mut probes = Probes::default();
    let servers: [Arc<str>; 2] = [Arc::from("one"), Arc::from("two")];
    let mut join = |server: usize, now, result| {
        let (outcome, new) = probes.join(&servers[server], now, || ready(result).boxed());
        (outcome.now_or_never(), new.is_some())
    };
    assert_eq!(join(0, 1_000, false), (Some(false), true));
    assert_eq!(join(0, 1_000, true), (Some(false), false));
    assert_eq!(join(1, 1_000, true), (Some(true), true));
    assert_eq!(join(0, 999 + RESULT_TTL_MS, true), (Some(false), false));
    assert_eq!(join(0, 1_000 + RESULT_TTL_MS, true), (Some(true), true));
}
