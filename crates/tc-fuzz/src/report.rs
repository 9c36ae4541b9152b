//! Report of the inputs of a run, to compare runs.

use std::{env, fmt::Debug, fs::OpenOptions, io::Write, path::PathBuf, thread};

use xxhash_rust::xxh3::Xxh3;

/// Number and digest of the inputs of a test, appended to the file in `TC_FUZZ_REPORT`.
pub(crate) struct Report {
    /// `None` if no report is requested, because formatting each input takes longer than many tests.
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

    /// Adds an input to the digest.
    pub(crate) fn add_input(&mut self, value: &impl Debug) {
        if self.file.is_some() {
            self.inputs += 1;
            self.digest.update(format!("{value:?}").as_bytes());
        }
    }

    /// Appends the test's line to the file in a single write, because tests run in parallel.
    pub(crate) fn write(self) {
        let Some(path) = self.file else { return };
        let thread = thread::current();
        let test = thread.name().unwrap_or("unnamed");
        let line = format!("{test} {} {:016x}\n", self.inputs, self.digest.digest());
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let written = file.and_then(|mut f| f.write_all(line.as_bytes()));
        if let Err(error) = written {
            panic!("cannot write the report {}: {error}", path.display());
        }
    }
}
