//! The system's processes in a soak.

use std::{
    fs::{self, File, OpenOptions},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tc_platform_adapter::{
    SETTINGS_VARIABLE,
    outside::{ProcessSettings, ready_text, settings_text},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::retries;
use crate::{
    error::BenchError,
    world::{SystemBinary, free_address},
};

/// End of the message of a process that cannot listen.
const ADDRESS_IN_USE: &str = "Address already in use (os error 98)";
/// Shared by the instances of a soak.
const FLEET_KEY: &str = "a key of this soak only";
/// Time from SIGTERM to the end of a process.
pub(super) const GRACE: Duration = Duration::from_secs(3);

/// Longest time for an answer to a readiness request.
const READY_TIME: Duration = Duration::from_millis(300);

/// Maximum time until an evacuation is in force on every instance.
pub(super) const EVACUATE_TIME: Duration = Duration::from_secs(2);

/// Whether instances pace upstreams that have just started or recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpstreamPace {
    Off,
    On,
}

impl UpstreamPace {
    const fn flag_value(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::On => "on",
        }
    }
}

/// An instance; dropping it kills its process.
pub(super) struct SoakInstance {
    pub(super) callers: SocketAddr,
    pub(super) ready: SocketAddr,
    binary: SystemBinary,
    settings: PathBuf,
    pace: UpstreamPace,
    pub(super) log: PathBuf,
    child: Option<Child>,
}

impl SoakInstance {
    /// Writes the settings of an instance and starts it.
    pub(super) fn start(
        binary: &SystemBinary,
        folder: &Path,
        number: usize,
        store: SocketAddr,
        pace: UpstreamPace,
    ) -> Result<Self, BenchError> {
        let free = || free_address(Ipv4Addr::LOCALHOST);
        let (callers, ready, fleet) = (free()?, free()?, free()?);
        let name = format!("i{number}");
        let text = settings_text(&ProcessSettings {
            name: &name,
            failure_domain: "d",
            callers,
            ready,
            fleet_port: fleet.port(),
            store,
            grace: GRACE,
            evacuate_time: EVACUATE_TIME,
            retry_ratio: retries::RATIO,
            retry_extra: retries::EXTRA,
            retry_window: retries::WINDOW,
        });
        let settings = folder.join(format!("{name}.settings"));
        fs::write(&settings, text).map_err(|e| file(&settings, &e))?;
        let mut instance = Self {
            callers,
            ready,
            binary: binary.clone(),
            settings,
            pace,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        instance.run()?;
        Ok(instance)
    }

    /// Starts its process unless it runs.
    pub(super) fn run(&mut self) -> Result<(), BenchError> {
        if self.is_running() {
            return Ok(());
        }
        let log = self.open_log()?;
        let errors = log.try_clone().map_err(|e| file(&self.log, &e))?;
        let child = self
            .binary
            .command()
            .arg("gateway")
            .args(["--pace-new-upstreams", self.pace.flag_value()])
            .env(SETTINGS_VARIABLE, &self.settings)
            .env("TANAGERCROFT_FLEET_KEY", FLEET_KEY)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| BenchError::world("an instance cannot be started", e))?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process again if it ended because an address was in use.
    ///
    /// Ports are found free by listening on them. A process that another thread starts at that moment has the listener,
    /// too, until it executes its program.
    pub(super) fn run_again_if_address_was_in_use(&mut self) -> Result<(), BenchError> {
        if self.is_running() {
            return Ok(());
        }
        let log = fs::read_to_string(&self.log).map_err(|e| file(&self.log, &e))?;
        let last = log.trim_end().lines().next_back().unwrap_or_default();
        if last.contains(ADDRESS_IN_USE) {
            self.run()?;
        }
        Ok(())
    }

    fn open_log(&self) -> Result<File, BenchError> {
        let opened = OpenOptions::new().create(true).append(true).open(&self.log);
        opened.map_err(|e| file(&self.log, &e))
    }

    /// Returns true if it answers that it is ready.
    pub(super) async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.ready).await.ok()?;
            stream.write_all(ready_text().as_bytes()).await.ok()?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok()?;
            answer.starts_with(b"HTTP/1.1 200").then_some(())
        };
        matches!(timeout(READY_TIME, asked).await, Ok(Some(())))
    }

    /// Returns the identifier of its process, if it was started.
    pub(super) fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether its process runs; one that ended is reaped.
    pub(super) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return true;
        }
        self.child = None;
        false
    }

    /// Sends a signal to its own process.
    pub(super) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child
            && let Err(error) = kill(Pid::from_raw(child.id().cast_signed()), signal)
        {
            log::warn!("{signal} could not be sent: {error}");
        }
    }
}

impl Drop for SoakInstance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn file(path: &Path, error: &std::io::Error) -> BenchError {
    BenchError::File {
        path: path.display().to_string(),
        problem: error.to_string(),
    }
}
