//! Bounded queue between the threads that log and the one that writes their lines.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use parking_lot::{Condvar, Mutex};

/// Capacity of the queue, in lines.
const CAPACITY_LINES: usize = 4096;

/// Lines that wait to be written. Adding one never waits for the output.
pub(crate) struct LineQueue {
    state: Mutex<State>,
    /// Notified when the queue is no longer empty.
    filled: Condvar,
    /// Notified when lines have been written, and when the queue is closed.
    written: Condvar,
}

struct State {
    lines: Vec<Vec<u8>>,
    /// Lines accepted since the start.
    accepted: u64,
    /// Accepted lines that are written.
    written: u64,
    /// Lines dropped because the queue was full.
    dropped: u64,
    /// Whether nothing can be written any more.
    is_closed: bool,
}

impl LineQueue {
    pub const fn new() -> Self {
        let state = State { lines: Vec::new(), accepted: 0, written: 0, dropped: 0, is_closed: false };
        Self { state: Mutex::new(state), filled: Condvar::new(), written: Condvar::new() }
    }

    /// Number of lines dropped since the start because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.state.lock().dropped
    }

    /// Waits until the lines that are queued at the moment are written, for `limit` at most. Returns whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut state = self.state.lock();
        let last = state.accepted;
        while state.written < last && !state.is_closed {
            if self.written.wait_until(&mut state, deadline).timed_out() {
                break;
            }
        }
        state.written >= last
    }

    /// Discards the queued lines and all later ones.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        state.lines = Vec::new();
        self.written.notify_all();
    }

    /// Writes the lines to `out` until that fails. `dropped_line` makes the line that tells how many were dropped.
    pub fn write_to(&self, mut out: impl Write, dropped_line: impl Fn(u64) -> String) {
        let mut reported = 0;
        loop {
            let (lines, dropped) = self.take();
            let mut batch = lines.concat();
            if dropped > reported {
                batch.extend_from_slice(dropped_line(dropped - reported).as_bytes());
                reported = dropped;
            }
            // The reader has closed the pipe; further lines are discarded and requests go on.
            if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                return self.close();
            }
            self.state.lock().written += lines.len() as u64;
            self.written.notify_all();
        }
    }

    /// Waits for lines; returns them with the number of lines dropped so far.
    fn take(&self) -> (Vec<Vec<u8>>, u64) {
        let mut state = self.state.lock();
        while state.lines.is_empty() {
            self.filled.wait(&mut state);
        }
        (std::mem::take(&mut state.lines), state.dropped)
    }
}

impl Write for &LineQueue {
    /// Adds a line, or drops it if the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.state.lock();
        if state.is_closed {
            return Ok(line.len());
        }
        if state.lines.len() < CAPACITY_LINES {
            state.lines.push(line.to_vec());
            state.accepted += 1;
            self.filled.notify_one();
        } else {
            state.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
#[path = "line_queue_test.rs"]
mod line_queue_test;
