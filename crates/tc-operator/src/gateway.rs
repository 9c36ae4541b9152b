//! `tanagercroft gateway`: one instance behind the users' platform.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use tc_fleet::FleetKeys;
use tc_gateway::GatewaySettings;
use tc_protocol::TcError;

use crate::{Secret, error::CommandError};

/// Worker threads of traffic. Instances have one core or a part of it; a second thread would only take turns.
const TRAFFIC_THREADS: usize = 1;
/// Levels that are logged.
const LOG_LEVEL: &str = "info";

/// Settings from the command line.
pub(crate) struct Start {
    /// The settings file.
    pub(crate) settings: PathBuf,
    pub(crate) metrics_port: Option<u16>,
    pub(crate) pace_new_upstreams: bool,
    pub(crate) keys: Vec<Secret>,
}

/// Runs one instance until a signal ends it. The calling thread becomes the control thread.
pub(crate) fn run(start: &Start) -> Result<(), CommandError> {
    let settings = read_settings(start)?;
    tc_telemetry::init_logs_on_stdout(LOG_LEVEL).map_err(internal)?;
    let metrics = tc_telemetry::init_metrics().map_err(internal)?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(internal)?;
    let control = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(internal)?;
    let ended = control.block_on(tc_gateway::run(
        settings,
        tc_platform_adapter::platform_codec(),
        traffic.handle().clone(),
        Arc::new(move || metrics.render()),
        || check_settings(start),
    ));
    // No task left on either runtime serves a request.
    traffic.shutdown_background();
    control.shutdown_background();
    ended.map_err(internal)
}

fn read_settings(start: &Start) -> Result<GatewaySettings, CommandError> {
    let keys: Vec<&str> = start.keys.iter().map(Secret::expose).collect();
    let keys = FleetKeys::new(&keys).map_err(internal)?;
    let text = read_file(&start.settings)?;
    let mut settings = tc_platform_adapter::read_settings(&text, keys, rand::random())
        .map_err(|error| unusable(&start.settings, &error.to_string()))?;
    settings.pace_new_upstreams = start.pace_new_upstreams;
    settings.metrics_listen = start
        .metrics_port
        .map(|port| (settings.me.fleet_address.ip(), port).into());
    Ok(settings)
}

/// Looks at a changed settings file. Addresses stay as they are while the process runs; a file that cannot be read is
/// reported now and not at the next start.
fn check_settings(start: &Start) {
    match read_settings(start) {
        Ok(_) => {
            log::info!("the settings file was read again; addresses stay until the next start");
        }
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "the settings file cannot be used; the settings in force stay");
        }
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| unusable(path, &error.to_string()))
}

fn unusable(path: &Path, problem: &str) -> CommandError {
    TcError::Setting {
        name: path.display().to_string(),
        problem: problem.to_owned(),
        help: "check the settings file, which the platform writes".to_owned(),
    }
    .into()
}

fn internal(error: impl std::fmt::Display) -> CommandError {
    TcError::Internal {
        problem: error.to_string(),
    }
    .into()
}
