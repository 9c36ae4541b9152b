//! The server for callers: accepts connections, and stops without interrupting requests.

use std::{sync::Arc, time::Duration};

use tc_protocol::{Explanation, RequestId};
use tc_upstream::UpstreamClient;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    connection::{ShutdownSignals, serve_connection},
    ports::{CallerSettings, CallerTimeouts, Ports},
    record::WorkspaceStats,
    shared::Shared,
};

/// Delay after a failed accept, for example when no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The HTTP server for callers.
pub struct CallerServer {
    shared: Arc<Shared>,
    /// Cancelled by the first step of a planned stop.
    closing: CancellationToken,
}

impl CallerServer {
    /// Creates a server with the default timeouts. It does not listen until [`CallerServer::serve`] is called.
    #[must_use]
    pub fn new(settings: CallerSettings, ports: Ports, upstream: UpstreamClient) -> Arc<Self> {
        Self::with_timeouts(settings, ports, upstream, CallerTimeouts::default())
    }

    /// Creates a server with the given timeouts for callers.
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

    /// Serves callers until `stop` is cancelled, then finishes all requests and returns when the last one has ended.
    ///
    /// After `stop`, no connections are accepted, HTTP/2 callers get GOAWAY, and HTTP/1.1 connections are closed after
    /// their response.
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
                    let signals = ShutdownSignals {
                        closing: self.closing.clone(),
                        stop: stop.clone(),
                    };
                    self.shared
                        .tasks
                        .spawn(serve_connection(shared, socket, signals));
                }
                Err(error) => {
                    log::warn!(error = error.to_string().as_str(); "failed to accept a caller connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    /// Performs the first step of a planned stop: responses carry `Connection: close` and HTTP/2 callers get GOAWAY, so
    /// that callers request the addresses again. New connections are still served.
    pub fn close_connections(&self) {
        self.shared.start_closing();
        self.closing.cancel();
    }

    /// Returns the number of accepted requests whose response is not complete, including runs that continue after their
    /// caller has disconnected.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Returns the decisions made for a recent request of this instance.
    #[must_use]
    pub fn explain(&self, id: &RequestId) -> Option<Explanation> {
        self.shared.explanations.explain(id)
    }

    /// Returns requests, times and cost of every workspace that has sent requests, sorted by name.
    #[must_use]
    pub fn workspace_stats(&self) -> Vec<WorkspaceStats> {
        self.shared.stats.all()
    }
}
