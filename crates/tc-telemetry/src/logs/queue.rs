//! Lines go to standard output through a bounded queue and a thread of their own.
//!
//! Whoever reads the output may stop. A write straight to the pipe would then block the thread that logs, seen as a
//! process that hangs with every request; a queue without a bound would fill the memory. So lines beyond the bound are
//! dropped and counted.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

/// Lines that may wait: some seconds' worth at the most lines a process writes, and well under a megabyte.
const WAITING_LINES: usize = 2_048;

/// Puts whole lines into the queue; each write of the logger is one line. A write never blocks.
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
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&waiting, out))?;
        Ok(Self { lines })
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = waiting.recv() {
        // Whoever read the output may be gone; the process serves on without its log.
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
