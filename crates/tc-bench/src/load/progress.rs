//! Progress on a terminal.

use std::io::{IsTerminal, Write};

/// Says how far a run is, on one line that the next call overwrites; silent unless stderr is a terminal.
pub(crate) fn say(text: &str) {
    let mut err = std::io::stderr();
    if err.is_terminal() {
        // A terminal that cannot be written to loses only progress.
        let _ = write!(err, "\r\x1b[K{text}");
        let _ = err.flush();
    }
}
