//! A planned stop that cuts no request off.
//!
//! SIGTERM: not ready and out of the directory at once, answers close their connections. While callers may still have
//! this instance's address, requests are taken that will end in time; then idle connections are closed, and the
//! process ends when the last answer has been sent, or when its grace is over.

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

/// Part of the grace during which streams are still started: callers renew their lists of addresses within it, and a
/// stream takes seconds.
const STREAM_START_FRACTION: f64 = 0.3;
/// Part of the grace during which other requests are still started.
const REQUEST_START_FRACTION: f64 = 0.75;
/// Part of the grace after which idle connections are closed: by then callers' lists are over, also of those that
/// keep them three times as long.
const CLOSE_FRACTION: f64 = 0.78;
/// Kept free before the end of the grace for what the process itself does last.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(250);
/// How often the end of the last request is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether, and since when, this process is stopping.
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

    /// Whether a request that comes now may be started: one that is started too late would be cut off.
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

/// The signals this process acts on.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
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

/// Stops: done when the process may end.
pub(crate) async fn stop(
    state: &StopState,
    mesh: &Mesh,
    connections: &Connections,
    stop_accepting: &CancellationToken,
) {
    let since = state.begin();
    log::info!(grace_ms = state.grace.as_millis() as u64, in_flight = connections.in_flight(); "stopping: no longer in the directory");
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
        log::warn!(requests = unfinished; "stopped with requests unfinished: the grace is over");
    }
    log::info!(took_ms = since.elapsed().as_millis() as u64; "stopped");
}
