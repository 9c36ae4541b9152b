//! Bounded queue and writer thread for log output.
//!
//! The reader of the output may stop reading. A direct write to the pipe would then block the logging thread, and the
//! process would hang on every request; an unbounded queue would exhaust memory. Lines that exceed the queue's capacity
//! are dropped and counted.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

/// Maximum number of queued lines: a few seconds of output at the highest log rate of a process, and well below one
/// megabyte.
const QUEUE_CAPACITY: usize = 2_048;

/// Writer that queues log lines without blocking. Each write by the logger is one or more whole lines.
///
/// ```
/// use std::io::Write;
/// let mut lines = tc_telemetry::QueueWriter::start(std::io::sink()).unwrap();
/// lines.write_all(b"{}\n").unwrap();
/// ```
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
}

impl QueueWriter {
    /// Starts a thread that writes the queued lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&queued, out))?;
        Ok(Self { lines })
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = queued.recv() {
        // The reader may have closed the output; the process keeps serving without a log.
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                metrics::counter!("tc_log_lines_dropped_total").increment(1);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
