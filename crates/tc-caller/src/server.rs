//! The server towards callers: connections, and stopping without cutting one off.

use std::{sync::Arc, time::Duration};

use tc_protocol::{Explanation, RequestId};
use tc_upstream::UpstreamClient;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    connection::{Signals, serve_connection},
    ports::{CallerSettings, CallerTimeouts, Ports},
    record::WorkspaceStats,
    shared::Shared,
};

/// Pause after an accept failed, for instance because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// HTTP towards callers.
pub struct CallerServer {
    shared: Arc<Shared>,
    /// Cancelled by the first step of a planned stop.
    closing: CancellationToken,
}

impl CallerServer {
    /// A server that is not listening yet.
    #[must_use]
    pub fn new(settings: CallerSettings, ports: Ports, upstream: UpstreamClient) -> Arc<Self> {
        Self::with_timeouts(settings, ports, upstream, CallerTimeouts::default())
    }

    /// A server with other bounds on how long callers may keep it waiting.
    #[must_use]
    pub fn with_timeouts(
        settings: CallerSettings,
        ports: Ports,
        upstream: UpstreamClient,
        timeouts: CallerTimeouts,
    ) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::new(Shared::new(settings, ports, upstream, timeouts)),
            closing: CancellationToken::new(),
        })
    }

    /// Serves callers until `stop` is cancelled, then finishes every request and returns when the last has ended.
    ///
    /// On `stop` no connection is accepted any more, HTTP/2 callers get GOAWAY and HTTP/1.1 connections are closed
    /// after their answer.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((socket, _)) => {
                    let shared = self.shared.clone();
                    let signals = Signals {
                        closing: self.closing.clone(),
                        stop: stop.clone(),
                    };
                    self.shared
                        .tasks
                        .spawn(serve_connection(shared, socket, signals));
                }
                Err(error) => {
                    log::warn!(error = error.to_string().as_str(); "accepting a caller failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    /// First step of a planned stop: answers carry `Connection: close` and HTTP/2 callers get GOAWAY, so that they
    /// ask for addresses again; new connections are still served.
    pub fn close_connections(&self) {
        self.shared.start_closing();
        self.closing.cancel();
    }

    /// Requests accepted and not yet answered whole, runs that go on without their caller included.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Decisions of a recent request of this instance.
    #[must_use]
    pub fn explain(&self, id: &RequestId) -> Option<Explanation> {
        self.shared.explanations.explain(id)
    }

    /// Requests, times and cost of every workspace that called, in order of name.
    #[must_use]
    pub fn workspace_stats(&self) -> Vec<WorkspaceStats> {
        self.shared.stats.all()
    }
}
