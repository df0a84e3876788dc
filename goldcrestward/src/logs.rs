//! Structured log lines on standard output; logging never blocks a request.
//!
//! Lines pass through a bounded queue to a writer thread. Lines that do not fit are dropped and counted, and
//! the count is logged once there is room again. Requests go on if the reader closes the pipe or stops reading.
//! The end of the process waits for the queued lines, for a limited time.

use std::{
    cell::RefCell,
    io::{self, Write},
    panic::{self, PanicHookInfo},
    sync::OnceLock,
    thread,
    time::Duration,
};

use env_logger::{Builder, Env, Target, fmt::Formatter};
use log::{Record, error};

use crate::{
    line_queue::LineQueue,
    one_line::OneLine,
    util::{stable_hash, unix_ms},
};

/// All lines are logged for one request in this many; failures and refusals are logged for every request.
const SAMPLE_INTERVAL: u64 = 16;
/// Time for which the end of the process waits for a reader that does not take the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

static DAEMON: OnceLock<Box<str>> = OnceLock::new();
thread_local! {
    static THREAD_DAEMON: RefCell<Option<Box<str>>> = const { RefCell::new(None) };
}
static LINES: LineQueue = LineQueue::new();

/// Starts logging from level `info` up, unless `RUST_LOG` sets another filter; panics are logged as well.
/// Dropping the guard, which `main` does last, writes the lines that are still queued.
pub fn init() -> FlushGuard {
    init_to(io::stdout())
}

/// Starts logging to `out`, as `init` does to standard output.
pub fn init_to(out: impl Write + Send + 'static) -> FlushGuard {
    let write = || LINES.write_to(out, dropped_line);
    if let Err(error) = thread::Builder::new().name("log".into()).spawn(write) {
        LINES.close();
        eprintln!("goldcrestward: could not start the thread that writes the log: {error}");
    }
    Builder::from_env(Env::default().default_filter_or("goldcrestward=info,goldcrestward_platform=info"))
        .target(Target::Pipe(Box::new(&LINES)))
        .format(write_record)
        .init();
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        print(info);
    }));
    FlushGuard { lines: &LINES }
}

/// Sets the name of the daemon that subsequent lines carry; only the first call has an effect.
pub fn set_daemon(name: &str) {
    DAEMON.get_or_init(|| name.into());
}

/// Sets the name of the daemon that lines of this thread carry, where one process runs several daemons.
pub(crate) fn set_thread_daemon(name: &str) {
    THREAD_DAEMON.set(Some(name.into()));
}

/// Number of lines dropped since the start because the queue was full.
pub fn dropped_lines() -> u64 {
    LINES.dropped()
}

/// Whether successful requests with this id are logged; all daemons decide alike.
pub(crate) fn is_sampled(id: &str) -> bool {
    stable_hash(&[id.as_bytes()]).is_multiple_of(SAMPLE_INTERVAL)
}

/// Writes the queued lines when it is dropped, which a panic of the main thread does too. The panic hook does not
/// wait for them, as the process goes on after the panic of a task.
#[must_use = "the queued lines are written when the guard is dropped"]
pub struct FlushGuard {
    lines: &'static LineQueue,
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        self.lines.flush(FLUSH_TIMEOUT);
    }
}

fn write_record(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let (time, level, args) = (unix_ms(), record.level(), record.args());
    write!(OneLine(&mut *out), "time={time} level={level} daemon={} {args}", daemon())?;
    writeln!(out)
}

fn dropped_line(count: u64) -> String {
    format!("time={} level=WARN daemon={} event=lines-dropped count={count}\n", unix_ms(), daemon())
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let location = info.location().map_or_else(|| "-".to_owned(), ToString::to_string);
    let message = info.payload_as_str().unwrap_or("-");
    error!("event=panic thread={:?} location={location:?} message={message:?}", thread.name().unwrap_or("-"));
}

/// Name of the daemon, or `-` before it is known.
fn daemon() -> String {
    let of_thread = THREAD_DAEMON.try_with(|name| name.borrow().as_deref().map(ToOwned::to_owned)).ok().flatten();
    of_thread.unwrap_or_else(|| DAEMON.get().map_or("-", |name| name).to_owned())
}

#[cfg(test)]
#[path = "logs_test.rs"]
mod logs_test;
