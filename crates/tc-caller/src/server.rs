//! The server towards callers: connections, and stopping without cutting one off.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tc_protocol::{Explanation, RequestId};
use tc_upstream::UpstreamClient;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{
    http::handle,
    limits::{
        FIRST_REQUEST_TIMEOUT, HEADER_READ_TIMEOUT, HTTP1_MAX_HEADERS, HTTP1_MIN_BUF_BYTES,
        HTTP2_KEEP_ALIVE, HTTP2_MAX_STREAMS,
    },
    ports::{CallerSettings, Ports},
    record::WorkspaceStats,
    shared::Shared,
};

/// Room beyond the allowed header bytes, so that a request somewhat too large gets a problem that says so; one larger
/// still gets the library's bare 431.
const HEADER_ROOM: usize = 4;
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
        Arc::new(Self {
            shared: Arc::new(Shared::new(settings, ports, upstream)),
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
                    let server = self.clone();
                    let stop = stop.clone();
                    self.shared.tasks.spawn(server.connection(socket, stop));
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

    async fn connection(self: Arc<Self>, socket: TcpStream, stop: CancellationToken) {
        let _ = socket.set_nodelay(true);
        let seen = Arc::new(Seen::default());
        let service = {
            let shared = self.shared.clone();
            let seen = seen.clone();
            service_fn(move |req: http::Request<hyper::body::Incoming>| {
                seen.note(req.version());
                let shared = shared.clone();
                async move { Ok::<_, Infallible>(handle(shared, req).await) }
            })
        };
        let builder = builder(self.shared.settings.max_header_bytes);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
        let mut closing = pin!(self.closing.cancelled());
        let mut stopping = pin!(stop.cancelled());
        let mut idle = pin!(tokio::time::sleep(FIRST_REQUEST_TIMEOUT));
        let (mut told, mut stopped, mut watched) = (false, false, true);
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    if let Err(error) = ended {
                        log::debug!(error = error.to_string().as_str(); "caller connection ended");
                    }
                    return;
                }
                () = &mut stopping, if !stopped => {
                    stopped = true;
                    connection.as_mut().graceful_shutdown();
                }
                // HTTP/1.1 callers are told by a header on their next answer: closing an idle connection here could
                // meet a request on its way, which its caller would see fail.
                () = &mut closing, if !told => {
                    told = true;
                    if seen.http2() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                // Without this a caller that connects and sends nothing, or part of the first bytes, would hold a
                // connection for ever, seen as file descriptors running out.
                () = &mut idle, if watched => {
                    watched = false;
                    if !seen.any() {
                        return;
                    }
                }
            }
        }
    }
}

/// What a connection has brought so far.
#[derive(Default)]
struct Seen {
    request: AtomicBool,
    http2: AtomicBool,
}

impl Seen {
    fn note(&self, version: http::Version) {
        self.request.store(true, Ordering::Relaxed);
        if version == http::Version::HTTP_2 {
            self.http2.store(true, Ordering::Relaxed);
        }
    }

    fn any(&self) -> bool {
        self.request.load(Ordering::Relaxed)
    }

    fn http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }
}

fn builder(max_header_bytes: usize) -> auto::Builder<TokioExecutor> {
    let room = max_header_bytes.saturating_mul(HEADER_ROOM);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_headers(HTTP1_MAX_HEADERS)
        .max_buf_size(room.max(HTTP1_MIN_BUF_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_KEEP_ALIVE)
        .keep_alive_timeout(HTTP2_KEEP_ALIVE)
        .max_concurrent_streams(HTTP2_MAX_STREAMS)
        .max_header_list_size(u32::try_from(room).unwrap_or(u32::MAX));
    builder
}
