//! Graceful shutdown without interrupting requests.
//!
//! On SIGTERM, the instance stops being ready and leaves the directory, and its responses close
//! their connections. While callers may still have its address, it accepts requests that will end
//! in time. Then it closes idle connections. The process exits when the last response has been sent
//! or the grace period is over.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use tc_fleet::Mesh;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::serve::Connections;

/// Fraction of the grace period during which streams are still started. Callers refresh their
/// address lists within this time, and a stream takes seconds.
const STREAM_START_FRACTION: f64 = 0.3;
/// Fraction of the grace period during which other requests are still started.
const REQUEST_START_FRACTION: f64 = 0.75;
/// Fraction of the grace period after which idle connections are closed. By then the address lists
/// of callers have expired, even for those that keep them three times as long as allowed.
const CLOSE_FRACTION: f64 = 0.78;
/// Time reserved at the end of the grace period for the final work of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(250);
/// Interval at which shutdown checks whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this process is stopping, and since when.
pub(crate) struct StopState {
    since: OnceLock<Instant>,
    grace: Duration,
}

impl StopState {
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            since: OnceLock::new(),
            grace,
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns true if a new request may be started. One that is started too late would be
    /// interrupted.
    pub(crate) fn may_start(&self, is_stream: bool) -> bool {
        let fraction = if is_stream {
            STREAM_START_FRACTION
        } else {
            REQUEST_START_FRACTION
        };
        let latest = self.grace.mul_f64(fraction);
        self.since
            .get()
            .is_none_or(|since| since.elapsed() <= latest)
    }

    fn begin(&self) -> Instant {
        *self.since.get_or_init(Instant::now)
    }
}

/// The signals that this process handles.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    Stop,
    Reload,
}

impl Signals {
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

/// Stops the instance. Returns when the process may exit.
pub(crate) async fn stop(
    state: &StopState,
    mesh: &Mesh,
    connections: &Connections,
    stop_accepting: &CancellationToken,
) {
    let since = state.begin();
    log::info!(grace_ms = state.grace.as_millis() as u64, in_flight = connections.in_flight(); "stopping; left the directory");
    mesh.leave();
    sleep_until((since + state.grace.mul_f64(CLOSE_FRACTION)).into()).await;
    stop_accepting.cancel();
    connections.close.cancel();
    let end = since + state.grace.saturating_sub(SHUTDOWN_RESERVE);
    while connections.in_flight() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    let unfinished = connections.in_flight();
    if unfinished > 0 {
        log::warn!(requests = unfinished; "stopped with unfinished requests at the end of the grace period");
    }
    log::info!(took_ms = since.elapsed().as_millis() as u64; "stopped");
}
