//! Call sites whose lines were suppressed, and the lines that report them.

use std::{
    collections::HashMap,
    io::{self, Write},
    sync::{Mutex, PoisonError},
};

use log::{Level, Record};

use super::line::{mask_and_truncate, write_line};

/// Maximum number of call sites whose names are kept; the lines of further ones are reported without a name.
const MAX_NAMES: usize = 1_024;
const TARGET: &str = "tc_telemetry::logs";

/// Target and first suppressed message of a call site.
#[derive(Debug)]
struct SiteName {
    target: String,
    message: String,
}

/// Names of the call sites that have suppressed lines.
#[derive(Debug, Default)]
pub(super) struct SuppressedSites {
    names: Mutex<HashMap<u64, SiteName>>,
}

impl SuppressedSites {
    /// Keeps the name of the call site whose record was suppressed.
    pub(super) fn record(&self, call_site: u64, record: &Record<'_>) {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if names.len() < MAX_NAMES {
            names.entry(call_site).or_insert_with(|| SiteName {
                target: record.target().to_owned(),
                message: mask_and_truncate(&record.args().to_string()),
            });
        }
    }

    /// Drops the name of a call site whose suppressed lines were counted in one of its own lines.
    pub(super) fn forget(&self, call_site: u64) {
        self.take(call_site);
    }

    fn take(&self, call_site: u64) -> Option<SiteName> {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.remove(&call_site)
    }

    /// Writes a line with the number of suppressed lines of a call site.
    pub(super) fn write_report(
        &self,
        out: &mut impl Write,
        time: &str,
        call_site: u64,
        suppressed: u64,
    ) -> io::Result<()> {
        let name = self.take(call_site);
        let (of_target, of_message) = name
            .as_ref()
            .map_or(("", ""), |name| (&name.target, &name.message));
        let fields = [("of_target", of_target), ("of_message", of_message)];
        let mut report = Record::builder();
        report.level(Level::Warn).target(TARGET).key_values(&fields);
        let report = report.args(format_args!("log lines suppressed")).build();
        write_line(out, time, &report, suppressed)
    }
}
