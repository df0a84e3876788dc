//! What a daemon's log holds when the process has ended.

use rustix::process::Signal;

use crate::support::{TestDaemon, TestSite, eventually};

/// Stops the daemons together and returns the last lines of their logs.
async fn stop_all(daemons: &mut [TestDaemon]) -> Vec<String> {
    daemons.iter().for_each(|daemon| daemon.signal(Signal::TERM));
    let mut lines = Vec::new();
    for daemon in daemons {
        let cell = std::cell::RefCell::new(daemon);
        let status = eventually("the daemon exits", || async { cell.borrow_mut().exit_status() }).await;
        assert!(status.success(), "{status}");
        lines.push(cell.borrow().log().lines().last().unwrap_or_default().to_owned());
    }
    lines
}

/// Guards against logs that end before the stop does: the process ended while lines were still queued.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_of_stopped_daemon_ends_with_stopped() {
    let mut site = TestSite::start(4, 1).await;
    let last = stop_all(&mut site.daemons).await;
    assert!(last.iter().all(|line| line.contains("event=stopped")), "{last:#?}");
}
