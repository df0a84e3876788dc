//! Graceful shutdown: no stream or request is lost while daemons stop or are replaced.

use rustix::process::Signal;
use standin::load::{Client, RequestOutcome};

use crate::support::{KEY, TestSite, eventually, run_load};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopped_daemon_completes_its_streams() {
    let mut site = TestSite::start(2, 2).await;
    let target = site.daemons[0].callers;
    let tasks: Vec<_> = (0..8)
        .map(|n| {
            let planned = std::time::Instant::now();
            tokio::spawn(async move {
                Client::default().stream(target, KEY, "meal-planner", &format!("prompt {n}"), 600, planned).await
            })
        })
        .collect();
    let busy = || async { (site.engines.iter().map(|e| e.counts().running).sum::<u64>() >= 8).then_some(()) };
    eventually("the streams run", busy).await;
    site.daemons[0].signal(Signal::TERM);
    let unready = || async { (!site.daemons[0].is_ready().await).then_some(()) };
    eventually("the daemon is not ready", unready).await;
    for task in tasks {
        assert_eq!(task.await.expect("the caller task completes").outcome, RequestOutcome::Complete);
    }
    let daemon = std::cell::RefCell::new(&mut site.daemons[0]);
    let status = eventually("the daemon exits", || async { daemon.borrow_mut().exit_status() }).await;
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replacing_all_daemons_loses_no_request() {
    let mut site = TestSite::start(3, 3).await;
    let plan = site.load(15.0, 10.0, 12);
    let targets = plan.targets.clone();
    let load = tokio::spawn(run_load(plan));
    for number in 3..6 {
        site.add_daemon(number, "north").await;
        let newcomer = site.daemons.last().expect("a daemon was added");
        eventually("the new daemon is ready", || async { newcomer.is_ready().await.then_some(()) }).await;
        targets.add(newcomer.callers);
        let mut old = site.daemons.remove(0);
        targets.remove(old.callers);
        old.signal(Signal::TERM);
        let cell = std::cell::RefCell::new(&mut old);
        let status = eventually("the old daemon exits", || async { cell.borrow_mut().exit_status() }).await;
        assert!(status.success(), "{status}");
    }
    let report = load.await.expect("the load runs");
    site.check_keyed(&report);
    assert_eq!((report.cut, report.wrong, report.unanswered), (0, 0, 0), "{report:?}");
    assert_eq!(report.whole, report.streams + report.keyed, "{report:?}");
}
