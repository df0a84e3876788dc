//! Structured log lines on standard output; logging never blocks a request.
//!
//! Lines pass through a bounded queue to a writer thread. Lines that do not fit are dropped and counted, and
//! the count is logged once there is room again. Requests go on if the reader closes the pipe or stops reading.

use std::{
    cell::RefCell,
    fmt,
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

use env_logger::{Builder, Env, Target, fmt::Formatter};
use log::Record;

use crate::util::{stable_hash, unix_ms};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4096;
/// All lines are logged for one request in this many; failures and refusals are logged for every request.
const SAMPLE_INTERVAL: u64 = 16;

static DAEMON: OnceLock<Box<str>> = OnceLock::new();
thread_local! {
    static THREAD_DAEMON: RefCell<Option<Box<str>>> = const { RefCell::new(None) };
}
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging from level `info` up, unless `RUST_LOG` sets another filter.
pub fn init() {
    init_to(io::stdout());
}

/// Starts logging to `out`, as `init` does to standard output.
pub fn init_to(out: impl Write + Send + 'static) {
    let (sender, lines) = sync_channel(QUEUE_LINES);
    if thread::Builder::new().name("log".into()).spawn(move || write_lines(&lines, out)).is_err() {
        return;
    }
    Builder::from_env(Env::default().default_filter_or("goldcrestward=info,goldcrestward_platform=info"))
        .target(Target::Pipe(Box::new(QueueWriter { sender })))
        .format(write_record)
        .init();
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
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Whether successful requests with this id are logged; all daemons decide alike.
pub(crate) fn is_sampled(id: &str) -> bool {
    stable_hash(&[id.as_bytes()]).is_multiple_of(SAMPLE_INTERVAL)
}

fn write_record(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let (time, level, args) = (unix_ms(), record.level(), record.args());
    THREAD_DAEMON.with_borrow(|thread_daemon| {
        let daemon = thread_daemon.as_deref().or(DAEMON.get().map(|name| &**name)).unwrap_or("-");
        writeln!(out, "time={time} level={level} daemon={daemon} {args}")
    })
}

struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line.to_vec()) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        let dropped = dropped_lines();
        if dropped > reported {
            batch.extend_from_slice(dropped_line(dropped - reported).to_string().as_bytes());
            reported = dropped;
        }
        // The reader has closed the pipe; further lines are discarded and requests go on.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

fn dropped_line(count: u64) -> impl fmt::Display {
    let daemon = DAEMON.get().map_or("-", |name| name);
    format!("time={} level=WARN daemon={daemon} event=lines-dropped count={count}\n", unix_ms())
}
