//! The queue before the log's output.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, channel},
    time::{Duration, Instant},
};

use tc_telemetry::QueueWriter;

/// An output whose reader stopped: a write returns only when it is let go.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Symptom: a process hangs with every request. Sequence: whoever reads its log stops; the pipe fills; the next line
/// blocks the thread that logs. Cause: lines written straight to the output.
#[test]
fn a_reader_that_stops_does_not_stop_whoever_logs() {
    let (release, stuck) = channel();
    let mut lines = QueueWriter::start(Stuck(stuck)).expect("it starts");
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
