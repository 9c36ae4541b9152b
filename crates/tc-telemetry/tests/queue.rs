//! Tests of the queue for log output.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, channel},
    time::{Duration, Instant},
};

use tc_telemetry::QueueWriter;

/// Output whose reader has stopped: a write blocks until the sender is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that hangs on every request because the reader of its log stopped: with lines written
/// directly to the output, the pipe fills and the next line blocks the logging thread.
#[test]
fn logging_does_not_block_when_the_reader_stops() {
    let (release, blocked) = channel();
    let mut lines = QueueWriter::start(BlockedOutput(blocked)).expect("the writer thread starts");
    let started = Instant::now();
    for _ in 0..10_000 {
        lines.write_all(b"{}\n").expect("a write never fails");
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    drop(release);
}
