//! Accepting connections and serving HTTP/1.1 on them until they end or the process stops.

use std::{
    convert::Infallible,
    future::Future,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::run::AnswerBody;

/// Pause after an accept failed, for instance because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time before the kernel probes a caller's silent connection, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes after which the caller counts as gone.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long bytes to a caller may stay unacknowledged. A caller that is cut off would else hold its upstream's run.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(6);

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// How long a connection may wait for the next whole header.
    pub(crate) idle: Duration,
    /// Largest header in bytes.
    pub(crate) header_bytes: usize,
}

/// Least buffer the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Connections being served.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    pub(crate) tasks: TaskTracker,
    /// Cancelled to close each connection after the answer in progress, and idle ones at once.
    pub(crate) close: CancellationToken,
    /// Requests read and not answered whole.
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl Connections {
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Accepts connections until `stop` is cancelled; each is served by `answer`.
pub(crate) async fn accept<F, Fut>(
    listener: TcpListener,
    connections: Connections,
    limits: impl Fn() -> ConnectionLimits,
    stop: CancellationToken,
    answer: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((socket, _)) => {
                let close = connections.close.clone();
                let served = serve(socket, limits(), close, answer.clone());
                connections.tasks.spawn(served);
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<F, Fut>(
    socket: TcpStream,
    limits: ConnectionLimits,
    close: CancellationToken,
    answer: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    if let Err(error) = prepare(&socket) {
        log::debug!(error = error.to_string().as_str(); "a connection ended before it was served");
        return;
    }
    let service = service_fn(move |req| {
        let answered = answer(req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts while the connection is idle too, so it is the time of an idle connection, not of a slow header.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error = error.to_string().as_str(); "a caller's connection ended");
    }
}

fn prepare(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
