//! A site for tests: daemons as processes, stand-ins in this process, links with faults between them.

mod daemon;
mod site;

pub(crate) use daemon::{TestDaemon, free_port};
pub(crate) use site::{KEY, TOKEN, TestSite, propose, run};

use std::{future::Future, time::Duration};

/// Longest time that a test waits for something; it only bounds a failing run.
const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until `check` gives a value.
///
/// # Panics
/// Panics when it never does.
pub(crate) async fn eventually<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = std::time::Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
