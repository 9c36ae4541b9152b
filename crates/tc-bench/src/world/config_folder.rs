//! A configuration folder in a temporary place, and applying it as an operator does.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use tc_config::SourceFile;

use super::binary::SystemBinary;
use crate::error::BenchError;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Documented exit code of `config apply`: another operator changed the same file first.
const EXIT_CONFLICT: i32 = 4;

/// Outcome of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Accepted.
    Done,
    /// Refused because another operator was first.
    Conflict,
    /// Anything else: the exit code and what it said.
    Failed(Option<i32>, String),
}

/// A folder that is removed when dropped.
pub(crate) struct ConfigFolder(PathBuf);

impl ConfigFolder {
    /// Makes an empty folder.
    pub(crate) fn create() -> Result<Self, BenchError> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("tc-bench-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| BenchError::file(&path, &e))?;
        Ok(Self(path))
    }

    /// Where it is.
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Writes one file.
    pub(crate) fn write(&self, name: &str, text: &str) -> Result<(), BenchError> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|e| BenchError::file(&path, &e))
    }

    /// Writes all files.
    pub(crate) fn write_all(&self, files: &[SourceFile]) -> Result<(), BenchError> {
        files.iter().try_for_each(|f| self.write(&f.name, &f.text))
    }

    /// Copies every file of another folder, the operator's own notes included.
    pub(crate) fn copy_from(&self, other: &Self) -> Result<(), BenchError> {
        let entries = fs::read_dir(&other.0).map_err(|e| BenchError::file(&other.0, &e))?;
        for entry in entries.flatten().filter(|e| e.path().is_file()) {
            let to = self.0.join(entry.file_name());
            fs::copy(entry.path(), &to).map_err(|e| BenchError::file(&to, &e))?;
        }
        Ok(())
    }

    /// Runs `config apply` on it.
    pub(crate) async fn apply(
        &self,
        binary: &SystemBinary,
        platform: SocketAddr,
        who: &str,
    ) -> Result<Applied, BenchError> {
        let mut command = binary.command();
        command.args(["config", "apply"]).arg(&self.0).args([
            "--platform",
            &platform.to_string(),
            "--as",
            who,
        ]);
        let output = tokio::process::Command::from(command)
            .kill_on_drop(true)
            .output()
            .await
            .map_err(|e| BenchError::world("config apply", e))?;
        Ok(match output.status.code() {
            Some(0) => Applied::Done,
            Some(EXIT_CONFLICT) => Applied::Conflict,
            code => Applied::Failed(code, String::from_utf8_lossy(&output.stderr).into_owned()),
        })
    }
}

impl Drop for ConfigFolder {
    fn drop(&mut self) {
        if let Err(e) = fs::remove_dir_all(&self.0) {
            log::warn!("{}: {e}", self.0.display());
        }
    }
}
