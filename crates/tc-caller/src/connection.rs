//! Serves a caller's connection, and closes it if the caller stops reading.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use http::{Request, Version};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tc_protocol::MonoTime;
use tokio::{
    net::TcpStream,
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    http::handle,
    limits::{
        HTTP1_MAX_HEADERS, HTTP1_MIN_BUF_BYTES, HTTP2_KEEP_ALIVE, HTTP2_MAX_STREAMS,
        STALL_CHECK_INTERVAL,
    },
    ports::CallerTimeouts,
    shared::Shared,
};

/// Factor between the maximum header size and hyper's limit. Requests whose headers are only somewhat too large get a
/// problem response with an explanation; even larger ones get hyper's 431 without a body.
const HEADER_LIMIT_FACTOR: usize = 4;

/// Shutdown signals to a connection.
pub(crate) struct ShutdownSignals {
    /// Cancelled at the first step of a planned stop, which is announced to the caller.
    pub(crate) closing: CancellationToken,
    /// Cancelled when the connection should end after its running requests.
    pub(crate) stop: CancellationToken,
}

/// Serves one connection until it is closed.
pub(crate) async fn serve_connection(
    shared: Arc<Shared>,
    socket: TcpStream,
    signals: ShutdownSignals,
) {
    let _ = socket.set_nodelay(true);
    let timeouts = shared.timeouts;
    let progress = Arc::new(ConnectionProgress::new());
    let builder = connection_builder(shared.settings.max_header_bytes, &timeouts);
    let service = {
        let progress = progress.clone();
        service_fn(move |req: Request<Incoming>| {
            let response = progress.start_response(req.version());
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(handle(shared, req, response).await) }
        })
    };
    let mut served = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let mut closing = pin!(signals.closing.cancelled());
    let mut stopping = pin!(signals.stop.cancelled());
    let mut first_request_timeout = pin!(sleep(timeouts.first_request));
    let mut check = interval(STALL_CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut closing_sent, mut stopped, mut awaiting_request) = (false, false, true);
    loop {
        tokio::select! {
            ended = served.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error = error.to_string().as_str(); "caller connection ended");
                }
                return;
            }
            () = &mut stopping, if !stopped => {
                stopped = true;
                progress.record_activity();
                served.as_mut().graceful_shutdown();
            }
            // HTTP/1.1 callers are told by a header of their next response. Closing an idle connection here could race
            // with a request in transit, which would then fail.
            () = &mut closing, if !closing_sent => {
                closing_sent = true;
                if progress.is_http2() {
                    served.as_mut().graceful_shutdown();
                }
            }
            // Without this timeout, callers that connect and send nothing or an incomplete request would hold their
            // connections forever, until no file descriptors are left.
            () = &mut first_request_timeout, if awaiting_request => {
                awaiting_request = false;
                if !progress.request_received() {
                    return;
                }
            }
            _ = check.tick() => {
                if progress.is_stalled(stopped, &timeouts) {
                    metrics::counter!("tc_stalled_callers_total").increment(1);
                    return;
                }
            }
        }
    }
}

/// Tracks the requests received on a connection and how far the caller has read their responses.
///
/// A caller that stops reading would hold its response's memory forever, and a planned stop would wait for it, so that
/// the instance would not exit. Its connection is closed once it has read nothing of what is ready to send for
/// [`CallerTimeouts::reader_stall`]. Time spent producing a response never counts as a stall.
struct ConnectionProgress {
    request_received: AtomicBool,
    http2: AtomicBool,
    /// Number of requests whose response has not been sent completely.
    open_responses: AtomicUsize,
    /// Number of responses of which a part was handed over for sending and the next part has not been polled.
    awaiting_read: AtomicUsize,
    last_activity: AtomicU64,
}

impl ConnectionProgress {
    fn new() -> Self {
        Self {
            request_received: AtomicBool::new(false),
            http2: AtomicBool::new(false),
            open_responses: AtomicUsize::new(0),
            awaiting_read: AtomicUsize::new(0),
            last_activity: AtomicU64::new(MonoTime::now().0),
        }
    }

    fn start_response(self: &Arc<Self>, version: Version) -> ResponseProgress {
        self.request_received.store(true, Ordering::Relaxed);
        if version == Version::HTTP_2 {
            self.http2.store(true, Ordering::Relaxed);
        }
        self.open_responses.fetch_add(1, Ordering::Relaxed);
        self.record_activity();
        ResponseProgress {
            progress: self.clone(),
            awaiting_read: false,
        }
    }

    fn record_activity(&self) {
        self.last_activity
            .store(MonoTime::now().0, Ordering::Relaxed);
    }

    fn request_received(&self) -> bool {
        self.request_received.load(Ordering::Relaxed)
    }

    fn is_http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    fn is_stalled(&self, stopped: bool, timeouts: &CallerTimeouts) -> bool {
        let last_activity = MonoTime(self.last_activity.load(Ordering::Relaxed));
        let waiting_for_caller = self.awaiting_read.load(Ordering::Relaxed) > 0
            // Everything was handed over, but the connection has not ended: its last bytes have not been read.
            || (stopped && self.open_responses.load(Ordering::Relaxed) == 0);
        waiting_for_caller && MonoTime::now().since(last_activity) > timeouts.reader_stall
    }
}

/// Tracks how far the caller has read one response.
pub(crate) struct ResponseProgress {
    progress: Arc<ConnectionProgress>,
    awaiting_read: bool,
}

impl ResponseProgress {
    /// Records that the next part was polled. `ready` is true if it was available.
    pub(crate) fn polled(&mut self, ready: bool) {
        self.progress.record_activity();
        self.set_awaiting_read(ready);
    }

    fn set_awaiting_read(&mut self, awaiting_read: bool) {
        if self.awaiting_read == awaiting_read {
            return;
        }
        self.awaiting_read = awaiting_read;
        if awaiting_read {
            self.progress.awaiting_read.fetch_add(1, Ordering::Relaxed);
        } else {
            self.progress.awaiting_read.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for ResponseProgress {
    fn drop(&mut self) {
        self.set_awaiting_read(false);
        self.progress.open_responses.fetch_sub(1, Ordering::Relaxed);
        self.progress.record_activity();
    }
}

fn connection_builder(
    max_header_bytes: usize,
    timeouts: &CallerTimeouts,
) -> auto::Builder<TokioExecutor> {
    let header_limit = max_header_bytes.saturating_mul(HEADER_LIMIT_FACTOR);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(timeouts.header_read)
        .max_headers(HTTP1_MAX_HEADERS)
        .max_buf_size(header_limit.max(HTTP1_MIN_BUF_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_KEEP_ALIVE)
        .keep_alive_timeout(HTTP2_KEEP_ALIVE)
        .max_concurrent_streams(HTTP2_MAX_STREAMS)
        .max_header_list_size(u32::try_from(header_limit).unwrap_or(u32::MAX));
    builder
}
