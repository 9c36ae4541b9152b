//! What was played, for a comparison of runs.

use std::{env, fmt::Debug, fs::OpenOptions, io::Write, path::PathBuf, thread};

use xxhash_rust::xxh3::Xxh3;

/// Digest of the inputs of one test, written to the file that the environment names.
pub(crate) struct Report {
    /// `None` when no report is asked for: writing each input down takes longer than many a test.
    file: Option<PathBuf>,
    inputs: usize,
    digest: Xxh3,
}

impl Report {
    pub(crate) fn from_env() -> Self {
        Self {
            file: env::var_os("TC_FUZZ_REPORT").map(PathBuf::from),
            inputs: 0,
            digest: Xxh3::new(),
        }
    }

    /// Takes up one input.
    pub(crate) fn note(&mut self, value: &impl Debug) {
        if self.file.is_some() {
            self.inputs += 1;
            self.digest.update(format!("{value:?}").as_bytes());
        }
    }

    /// Adds the test's line to the file. Tests run side by side, so each line is written in one go.
    pub(crate) fn write(self) {
        let Some(path) = self.file else { return };
        let thread = thread::current();
        let test = thread.name().unwrap_or("unnamed");
        let line = format!("{test} {} {:016x}\n", self.inputs, self.digest.digest());
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let written = file.and_then(|mut f| f.write_all(line.as_bytes()));
        if let Err(error) = written {
            panic!("the report {} cannot be written: {error}", path.display());
        }
    }
}
