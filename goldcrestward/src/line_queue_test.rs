//! Tests of the queue of log lines.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use parking_lot::Mutex;

use super::{CAPACITY_LINES, LineQueue};

/// Limit that no test reaches unless it fails.
const LONG: Duration = Duration::from_secs(60);
/// Limit that a reader that has stopped uses up.
const SHORT: Duration = Duration::from_millis(20);

/// Output that takes nothing while the lock is held, and fails if it is told to.
#[derive(Clone, Default)]
struct Output {
    text: Arc<Mutex<String>>,
    fails: bool,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.text.lock().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start(output: &Output) -> Arc<LineQueue> {
    let queue = Arc::new(LineQueue::new());
    let (lines, output) = (queue.clone(), output.clone());
    thread::spawn(move || lines.write_to(output, |count| format!("dropped {count}\n")));
    queue
}

fn add(queue: &LineQueue, line: &str) {
    let mut lines = queue;
    lines.write_all(format!("{line}\n").as_bytes()).expect("a queue takes all lines");
}

#[test]
fn queue_flush_returns_once_all_lines_are_written() {
    let output = Output::default();
    let queue = start(&output);
    let mut expected = String::new();
    for number in 0..CAPACITY_LINES {
        add(&queue, &format!("line {number}"));
        expected.push_str(&format!("line {number}\n"));
    }
    assert!(queue.flush(LONG));
    assert_eq!(*output.text.lock(), expected);
    assert!(queue.flush(Duration::ZERO), "nothing is queued");
}

#[test]
fn queue_flush_gives_up_on_a_reader_that_has_stopped() {
    let output = Output::default();
    let queue = start(&output);
    let stopped = output.text.lock();
    add(&queue, "last");
    assert!(!queue.flush(SHORT));
    drop(stopped);
    assert!(queue.flush(LONG));
    assert_eq!(*output.text.lock(), "last\n");
}

#[test]
fn queue_counts_lines_that_do_not_fit() {
    let output = Output::default();
    let queue = Arc::new(LineQueue::new());
    for number in 0..CAPACITY_LINES + 3 {
        add(&queue, &number.to_string());
    }
    assert_eq!(queue.dropped(), 3);
    let (lines, out) = (queue.clone(), output.clone());
    thread::spawn(move || lines.write_to(out, |count| format!("dropped {count}\n")));
    assert!(queue.flush(LONG));
    add(&queue, "later");
    assert!(queue.flush(LONG));
    let text = output.text.lock().clone();
    let last: Vec<&str> = text.lines().rev().take(3).collect();
    assert_eq!(last, ["later", "dropped 3", &*(CAPACITY_LINES - 1).to_string()]);
}

#[test]
fn queue_with_closed_pipe_discards_lines_and_holds_nobody_up() {
    let output = Output { fails: true, ..Output::default() };
    let queue = Arc::new(LineQueue::new());
    add(&queue, "first");
    let (ended, end) = mpsc::channel();
    let lines = queue.clone();
    thread::spawn(move || {
        lines.write_to(output, |count| format!("dropped {count}\n"));
        ended.send(()).ok();
    });
    assert!(!queue.flush(LONG), "a line that could not be written counts as written");
    assert_eq!(end.recv_timeout(LONG), Ok(()));
    for _ in 0..=CAPACITY_LINES {
        add(&queue, "later");
    }
    assert_eq!(queue.dropped(), 0);
}
