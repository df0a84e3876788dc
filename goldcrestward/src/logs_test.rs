//! Tests of the end of a process that logs.

use std::{
    io::Write,
    panic::{self, AssertUnwindSafe},
    sync::mpsc,
    thread,
};

use super::FlushGuard;
use crate::line_queue::LineQueue;

/// Output that hands each batch to the test.
struct Output(mpsc::Sender<Vec<u8>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(bytes.to_vec()).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn guard_writes_queued_lines_when_main_panics() {
    let lines: &'static LineQueue = Box::leak(Box::new(LineQueue::new()));
    let (sender, written) = mpsc::channel();
    let ended = panic::catch_unwind(AssertUnwindSafe(|| {
        let _guard = FlushGuard { lines };
        { lines }.write_all(b"last\n").expect("a queue takes all lines");
        // The writer begins when the main thread is about to end.
        thread::spawn(move || lines.write_to(Output(sender), |count| count.to_string()));
        panic!("of the test");
    }));
    assert!(ended.is_err());
    assert_eq!(written.try_recv(), Ok(b"last\n".to_vec()));
}
