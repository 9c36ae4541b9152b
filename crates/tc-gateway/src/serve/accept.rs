//! Accepts connections and serves HTTP/1.1 on them until they end or the process stops.

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

/// Delay after a failed accept, for instance when no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time before the kernel probes a caller's connection, and the interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered probes after which the connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 3;
/// Time for which data sent to a caller may stay unacknowledged (`TCP_USER_TIMEOUT`). Without this limit, a
/// caller that was disconnected would keep its request running at the upstream.
const USER_TIMEOUT: Duration = Duration::from_secs(6);

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum wait for the next complete request header.
    pub(crate) idle: Duration,
    /// Maximum header size in bytes.
    pub(crate) header_bytes: usize,
}

/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Open connections and requests in flight.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    pub(crate) tasks: TaskTracker,
    /// Cancelled to close idle connections at once and each other one after the response in
    /// progress.
    pub(crate) close: CancellationToken,
    /// Number of requests received whose responses have not been sent completely.
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl Connections {
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Accepts connections until `stop` is cancelled, and answers their requests with `answer`.
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
    if let Err(error) = set_socket_options(&socket) {
        log::debug!(error = error.to_string().as_str(); "a connection ended before it was served");
        return;
    }
    let service = service_fn(move |req| {
        let answered = answer(req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also runs while the connection is idle, so it is an idle timeout rather than
        // a limit on slow headers.
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
        log::debug!(error = error.to_string().as_str(); "a caller's connection failed");
    }
}

fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
