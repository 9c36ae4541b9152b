//! `tanagercroft serve`: wires the layers of one instance together and runs until it is told to stop.

mod admin;
mod control;
mod missing;
mod ports;
mod report;
mod signals;
mod stop;

use std::net::SocketAddr;

use tc_protocol::TcError;

use crate::settings::Settings;

/// Runs one instance until a signal ends it.
///
/// The calling thread becomes the control thread; traffic gets threads of its own.
pub(crate) fn run(settings: &Settings) -> Result<(), Box<TcError>> {
    tc_telemetry::init_logs(settings.log.as_str()).map_err(internal)?;
    let metrics = tc_telemetry::init_metrics().map_err(internal)?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(internal)?;
    let control = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(internal)?;
    // The exporter's tasks need a runtime, and must not keep the control thread from deciding.
    let traces = {
        let _entered = traffic.enter();
        tc_telemetry::init_traces(settings.otlp_endpoint.as_deref(), &settings.instance_id)
            .map_err(internal)?
    };
    let ended = control.block_on(control::run(settings, traffic.handle().clone(), metrics));
    drop(traces);
    // No task left on either runtime serves a request.
    traffic.shutdown_background();
    control.shutdown_background();
    ended
}

fn internal(error: impl std::fmt::Display) -> Box<TcError> {
    Box::new(TcError::Internal {
        problem: error.to_string(),
    })
}

fn cannot_listen(address: SocketAddr, problem: &std::io::Error) -> Box<TcError> {
    Box::new(TcError::Listen {
        address,
        problem: problem.to_string(),
        help: "choose a free address of this machine".to_owned(),
    })
}
