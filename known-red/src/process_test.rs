//! Tests of processes under a time limit.

use std::{
    fs,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use super::process::run_to_end;

const LONG: Duration = Duration::from_secs(60);

fn shell(script: &str) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", script]);
    command
}

#[test]
fn run_to_end_succeeds_only_with_exit_code_0_in_time() {
    let folder = tempfile::tempdir().expect("the temporary directory is created");
    let log = folder.path().join("log");
    let cases = [
        ("echo done", LONG, true, "exit status: 0"),
        ("exit 101", LONG, false, "exit status: 101"),
        ("kill -ABRT $$", LONG, false, "signal: 6"),
        ("sleep 60", Duration::from_secs(1), false, "not ended after 1 s"),
    ];
    for (script, limit, success, description) in cases {
        let end = run_to_end(shell(script), &log, limit).expect("the shell can be run");
        assert_eq!(end.success, success, "{script}: {end:?}");
        assert!(end.description.starts_with(description), "{script}: {end:?}");
    }
}

#[test]
fn run_to_end_keeps_output_and_leaves_no_process() {
    let folder = tempfile::tempdir().expect("the temporary directory is created");
    let log = folder.path().join("log");
    let end =
        run_to_end(shell("echo out; echo err >&2; sleep 60 & echo $!"), &log, LONG).expect("the shell can be run");
    assert!(end.success, "{end:?}");
    let output = fs::read_to_string(&log).expect("the output is kept");
    let [out, err, left] = output.lines().collect::<Vec<_>>()[..] else { panic!("unexpected output: {output}") };
    assert_eq!([out, err], ["out", "err"]);
    let is_running = || {
        let status = fs::read_to_string(format!("/proc/{left}/stat")).unwrap_or_default();
        !status.is_empty() && !status.contains(") Z")
    };
    // The signal takes effect after the call that sends it.
    let start = Instant::now();
    while is_running() {
        assert!(start.elapsed() < Duration::from_secs(10), "process {left} is left");
        thread::sleep(Duration::from_millis(10));
    }
}
