//! What a daemon's log holds when the process has ended.

use std::{
    net::TcpListener,
    process::{Command, Stdio},
};

use rustix::process::Signal;
use standin::reserved_port::ReservedPort;

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

/// Guards against a stop that the log does not show, as the daemon had no configuration yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_of_daemon_stopped_while_starting_ends_with_stopped() {
    let mut site = TestSite::start_platform().await;
    site.add_daemon(0, "north").await;
    let last = stop_all(&mut site.daemons).await;
    assert!(last.iter().all(|line| line.contains("event=stopped daemon=daemon-0")), "{last:#?}");
}

/// Guards against a start whose failure is on standard error only, where the log does not show it.
#[tokio::test]
async fn log_of_failed_start_ends_with_its_error() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = socket.local_addr().expect("a bound socket").to_string();
    let peers = ReservedPort::new().expect("a port is free");
    let peers = peers.address().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestward"));
    command
        .args(["serve", "--site", "test", "--name", "unstarted", "--region", "north", "--zone", "north-a"])
        .args(["--callers", &taken, "--peers", &peers, "--platform", "127.0.0.1:1"])
        .args(["--peer-secret", "a secret for tests only"])
        .stdin(Stdio::null());
    let output = command.output().expect("the daemon runs");
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.starts_with("goldcrestward: could not run the daemon: ") && stderr.contains(&taken), "{stderr}");
    let last = stdout.lines().last().unwrap_or_default();
    assert!(last.contains("daemon=unstarted event=start-failed error=\"could not run the daemon: "), "{stdout:?}");
}
