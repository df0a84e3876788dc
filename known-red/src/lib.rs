//! Runs the tests that KNOWN-RED.txt lists and prints their results, without failing the test run.

mod list;
#[cfg(test)]
mod list_test;
mod name;
#[cfg(test)]
mod name_test;
mod process;
#[cfg(test)]
mod process_test;
mod streak;
#[cfg(test)]
mod streak_test;

use std::{
    env, fs,
    io::{self, Write},
    path::PathBuf,
    process::Command,
    time::Duration,
};

pub use list::List;
pub use name::TestName;

use crate::{process::run_to_end, streak::Streak};

/// Environment variable under which listed tests run like any other test.
pub const DIRECT_VARIABLE: &str = "KNOWN_RED_DIRECT";
/// Time after which a listed test counts as failed.
const TIME_LIMIT: Duration = Duration::from_secs(300);
/// Passes in a row after which a test may leave the list.
const READY_PASSES: u32 = 5;

/// Marks a test that KNOWN-RED.txt lists. It must be the first statement of the test.
///
/// The rest of the test runs in a process of its own, and its result is printed instead of failing the test.
#[macro_export]
macro_rules! report {
    () => {{
        fn here() {}
        if $crate::is_reported(env!("CARGO_PKG_NAME"), std::any::type_name_of_val(&here)) {
            return;
        }
    }};
}

/// Runs the test at `location` in a process of its own and prints its result. Returns `false` in that process, in
/// which the test itself must run.
///
/// # Panics
/// If the test is not listed, or if it could not be run.
pub fn is_reported(package: &str, location: &str) -> bool {
    if env::var_os(DIRECT_VARIABLE).is_some() {
        return false;
    }
    let test = TestName::from_location(package, location);
    assert!(
        List::read().tests.contains(&test.full),
        "{test} is marked as known red, but KNOWN-RED.txt does not list it"
    );
    let state = run(&test).unwrap_or_else(|error| panic!("could not run {test}: {error}"));
    // Unlike `eprintln!`, this is not captured by the test harness.
    writeln!(io::stderr(), "known red: {test}: {state}").expect("standard error can be written");
    true
}

/// Runs a test and describes its result.
fn run(test: &TestName) -> io::Result<String> {
    let program = env::current_exe()?;
    let folder: PathBuf = program.ancestors().nth(2).unwrap_or(&program).join("known-red");
    fs::create_dir_all(&folder)?;
    let file = |extension: &str| folder.join(format!("{}.{extension}", test.full.replace("::", ".")));
    let (log, failed_log) = (file("log"), file("failed.log"));
    let mut command = Command::new(&program);
    command.args([&test.in_binary, "--exact", "--include-ignored", "--nocapture"]).env(DIRECT_VARIABLE, "1");
    let end = run_to_end(command, &log, TIME_LIMIT)?;
    let streak = Streak::new(file("passes"));
    if !end.success {
        streak.record(false)?;
        fs::rename(&log, &failed_log)?;
        return Ok(format!("still fails ({}); output: {}", end.description, failed_log.display()));
    }
    let output = fs::read(&log)?;
    if !String::from_utf8_lossy(&output).contains("test result: ok. 1 passed;") {
        return Err(io::Error::other(format!("{} contains no test of this name", program.display())));
    }
    let passes = streak.record(true)?;
    if passes < READY_PASSES {
        return Ok(format!("passes now ({passes} of {READY_PASSES} times in a row)"));
    }
    Ok(format!("passes now ({passes} times in a row): ready to leave KNOWN-RED.txt"))
}
