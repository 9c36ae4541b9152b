//! Finds, and under cargo builds, the binary of the system.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
};

use crate::error::BenchError;

/// Name of the binary.
const NAME: &str = "tanagercroft";

/// The system's binary.
#[derive(Clone, Debug)]
pub struct SystemBinary(PathBuf);

impl SystemBinary {
    /// The binary at a path.
    #[must_use]
    pub fn at(path: &Path) -> Self {
        Self(path.to_owned())
    }

    /// The binary beside the running tool; under `cargo run` it is built first, so that it is never an old one.
    pub(crate) fn find() -> Result<Self, BenchError> {
        let exe = env::current_exe().map_err(|e| BenchError::Binary(e.to_string()))?;
        let folder = exe
            .parent()
            .ok_or_else(|| BenchError::Binary("this tool is in no folder".to_owned()))?;
        if let Some(cargo) = env::var_os("CARGO") {
            // The tool itself may have been built into another target folder than the default one.
            build(Path::new(&cargo), &folder.join(".."))?;
            return Self::of_first(&[folder.join("../release"), folder.to_owned()]);
        }
        Self::of_first(&[folder.to_owned(), folder.join("../release")])
    }

    fn of_first(folders: &[PathBuf]) -> Result<Self, BenchError> {
        folders
            .iter()
            .map(|f| f.join(NAME))
            .find(|p| p.is_file())
            .map(Self)
            .ok_or_else(|| BenchError::Binary(format!("not found beside {}", folders[0].display())))
    }

    /// A command that runs it.
    pub(crate) fn command(&self) -> Command {
        Command::new(&self.0)
    }
}

fn build(cargo: &Path, target: &Path) -> Result<(), BenchError> {
    let status = Command::new(cargo)
        .args([
            "build",
            "--release",
            "--quiet",
            "--bin",
            NAME,
            "--target-dir",
        ])
        .arg(target)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .status()
        .map_err(|e| BenchError::Binary(format!("cargo cannot be started: {e}")))?;
    if status.success() {
        Ok(())
    } else {
        Err(BenchError::Binary("cargo build failed".to_owned()))
    }
}
