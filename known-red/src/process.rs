//! Runs a process under a time limit.

use std::{
    fs::File,
    io,
    os::unix::process::CommandExt,
    path::Path,
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process_group, waitid};

/// Interval at which the process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ProcessEnd {
    pub success: bool,
    pub description: String,
}

/// Runs a process to its end or to the time limit, with its output in `log`, and ends all processes that it leaves
/// behind.
pub(crate) fn run_to_end(mut command: Command, log: &Path, limit: Duration) -> io::Result<ProcessEnd> {
    let output = File::create(log)?;
    command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).process_group(0);
    let start = Instant::now();
    let mut child = command.spawn()?;
    let pid = Pid::from_child(&child);
    // The process is not reaped before its group is killed, so that the group's ID cannot belong to another one.
    let options = WaitIdOptions::EXITED | WaitIdOptions::NOWAIT | WaitIdOptions::NOHANG;
    let mut in_time = true;
    while waitid(WaitId::Pid(pid), options)?.is_none() {
        if start.elapsed() > limit {
            in_time = false;
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    kill_process_group(pid, Signal::KILL)?;
    let status = child.wait()?;
    if in_time {
        return Ok(ProcessEnd { success: status.success(), description: status.to_string() });
    }
    Ok(ProcessEnd { success: false, description: format!("not ended after {} s", limit.as_secs()) })
}
