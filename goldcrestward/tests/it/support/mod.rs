//! A test site: daemons as child processes, stand-ins in this process and fault-injecting proxies between them.

mod daemon;
mod raw_back_end;
mod raw_reply;
mod site;
mod slow_request;

pub(crate) use daemon::TestDaemon;
pub(crate) use raw_back_end::{RawBackEnd, RawEnd, read_request};
pub(crate) use raw_reply::RawReply;
pub(crate) use site::{CONFIG, KEY, TOKEN, TestSite, propose, run_load};
pub(crate) use slow_request::{SlowReply, SlowRequest};

use std::{future::Future, time::Duration};

/// Deadline of [`eventually`]; it only limits how long a failing test runs.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `check` until it returns a value. `what` names the expected state in the failure message.
///
/// # Panics
/// Panics if `check` returns no value within [`EVENTUALLY_TIMEOUT`].
pub(crate) async fn eventually<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = std::time::Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < EVENTUALLY_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
