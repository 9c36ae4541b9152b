//! Graceful shutdown without interrupting requests.
//!
//! On SIGTERM, the instance stops being ready and leaves the directory, and its responses close
//! their connections. While callers may still have its address, it starts requests that will end
//! in time and refuses the others. Then it closes idle connections. The process exits when the last
//! response has been sent or the grace period is over. Requests that are unfinished at its end get a
//! final answer, which says whether they may have run.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use tc_fleet::Mesh;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::serve::Connections;

/// Fraction of the grace period during which streams are started whatever their time limit is. Callers
/// refresh their address lists within this time, and streams usually end long before their time limit.
const STREAM_START_FRACTION: f64 = 0.3;
/// Fraction of the grace period after which idle connections are closed. By then the address lists
/// of callers have expired, even for those that keep them three times as long as allowed.
const CLOSE_FRACTION: f64 = 0.78;
/// Time reserved at the end of the grace period for final answers and the exit of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(250);
/// Maximum time for sending final answers to unfinished requests.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Interval at which shutdown checks whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this process is stopping, and since when.
pub(crate) struct StopState {
    since: OnceLock<Instant>,
    grace: Duration,
    /// Cancelled when unfinished requests must be answered.
    answers_due: CancellationToken,
}

impl StopState {
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            since: OnceLock::new(),
            grace,
            answers_due: CancellationToken::new(),
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns true if a request with this time limit may be started. One that could outlast the process
    /// would be interrupted, and its caller could not tell whether it has run.
    pub(crate) fn may_start(&self, is_stream: bool, time_limit: Duration) -> bool {
        let Some(since) = self.since.get() else {
            return true;
        };
        let elapsed = since.elapsed();
        let is_early = elapsed <= self.grace.mul_f64(STREAM_START_FRACTION);
        (is_stream && is_early) || elapsed + time_limit <= self.service_time()
    }

    /// Waits until unfinished requests must be answered, shortly before the process exits.
    pub(crate) async fn answers_due(&self) {
        self.answers_due.cancelled().await;
    }

    /// Returns the time from the start of the shutdown for which requests are served.
    fn service_time(&self) -> Duration {
        self.grace.saturating_sub(SHUTDOWN_RESERVE)
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
    let end = since + state.service_time();
    wait_for_requests(connections, end).await;
    let unfinished = connections.in_flight();
    if unfinished > 0 {
        log::warn!(requests = unfinished; "unfinished requests at the end of the grace period");
        state.answers_due.cancel();
        wait_for_requests(connections, end + FINAL_ANSWER_TIME).await;
    }
    wait_for_connections(connections, end + FINAL_ANSWER_TIME).await;
    log::info!(took_ms = since.elapsed().as_millis() as u64, interrupted = connections.in_flight(); "stopped");
}

/// Waits until all connections are closed, at most until `end`.
///
/// A request is no longer in flight once the HTTP library has taken its whole answer. The end of the answer may then still
/// wait in the library's buffer for a caller that reads slowly.
async fn wait_for_connections(connections: &Connections, end: Instant) {
    connections.tasks.close();
    if timeout_at(end.into(), connections.tasks.wait())
        .await
        .is_err()
    {
        log::info!(connections = connections.tasks.len(); "connections open at the end of the grace period");
    }
}

/// Waits until no request is in flight, at most until `end`.
async fn wait_for_requests(connections: &Connections, end: Instant) {
    while connections.in_flight() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}
