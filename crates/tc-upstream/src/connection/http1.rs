//! An HTTP/1.1 connection and the response body that is read from it. The waiting task drives both.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, header, response};
use http_body::Body;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::{
    failure::Failure,
    idle::{IdleConnections, Traffic},
    socket::{Socket, SocketState},
};
use crate::client::ClientSettings;

type Driver = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// A connection, either idle or with one exchange in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    socket: Arc<SocketState>,
    written_before: u64,
    read_before: u64,
    reused: bool,
}

/// A failed send. `unsent` is the request if the connection has not started to send it.
#[derive(Debug)]
pub(crate) struct SendFailure {
    pub(crate) failure: Failure,
    pub(crate) unsent: Option<Request<Full<Bytes>>>,
}

/// Opens a connection.
pub(crate) async fn dial(
    address: SocketAddr,
    settings: &ClientSettings,
    limit: Duration,
) -> io::Result<Connection> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    set_keep_alive(&stream)?;
    let socket = Arc::new(SocketState::default());
    let io = TokioIo::new(Socket::new(stream, Arc::clone(&socket))?);
    let (sender, driver) = http1::Builder::new()
        .max_header_size(settings.max_header_bytes)
        .max_buf_size(MAX_BUFFER_BYTES.max(settings.max_header_bytes))
        .handshake(io)
        .await
        .map_err(io::Error::other)?;
    Ok(Connection {
        sender,
        driver: Some(driver),
        socket,
        written_before: 0,
        read_before: 0,
        reused: false,
    })
}

/// Bytes that a connection reads ahead. Upstreams that send without end fill the buffers of all their connections.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Idle time before the kernel sends the first keep-alive probe, and the interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged probes after which the kernel closes the connection.
const KEEP_ALIVE_RETRIES: u32 = 3;
/// Size of a request body that the kernel of the peer accepts even if its process does not read.
const MAX_UNREAD_BYTES: u64 = 32 << 10;
/// Bytes of a response besides its body, and those read ahead of it: more than the library's buffer holds.
const MAX_OVERHEAD_BYTES: u64 = 512 << 10;
/// Bytes of the body that allow one more byte besides it; chunks of 12 bytes reach that.
const MIN_BODY_PER_OVERHEAD: u64 = 2;

/// Makes the kernel close a connection whose peer is unreachable or has lost power.
///
/// Such a peer sends no reset. Without keep-alive probes, calls on the connection would hang until their deadline even
/// if other upstreams are free.
fn set_keep_alive(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

impl Connection {
    /// Returns whether the connection carried another exchange before the current one.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether any byte of the current exchange's request was written to the socket.
    pub(crate) fn has_written(&self) -> bool {
        self.socket.written() > self.written_before
    }

    /// Returns whether an idle connection can still be used. It cannot if the peer has closed it or sent any bytes.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.socket.peek_before_next_read();
        poll_fn(|cx| {
            self.drive(cx);
            let ready = matches!(self.sender.poll_ready(cx), Poll::Ready(Ok(())));
            Poll::Ready(ready && self.driver.is_some())
        })
        .await
    }

    /// Sends a request and waits for the response header until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.written_before = self.socket.written();
        self.read_before = self.socket.read();
        self.limit_reads(0);
        let body_bytes = request.body().size_hint().lower();
        self.socket
            .set_waits_for_reader(body_bytes > MAX_UNREAD_BYTES);
        let mut response = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let answered = poll_fn(|cx| {
            drive(driver, cx);
            response.as_mut().poll(cx)
        });
        match timeout_at(deadline, answered).await {
            Ok(Ok(response)) if !is_final(response.status()) => Err(SendFailure {
                unsent: None,
                failure: Failure::InvalidStatus(response.status()),
            }),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut e)) => Err(SendFailure {
                unsent: e.take_message(),
                failure: Failure::Transport(e.into_error()),
            }),
            Err(_) => Err(SendFailure {
                unsent: None,
                failure: Failure::TimedOut,
            }),
        }
    }

    /// Limits what is read of the current exchange, of whose body `received` bytes have arrived.
    ///
    /// The HTTP library limits a head, a chunk extension and trailers, but neither informational responses nor the digits
    /// of a chunk size, and it reads them without yielding.
    fn limit_reads(&self, received: usize) {
        let limit = MAX_OVERHEAD_BYTES + received as u64 / MIN_BODY_PER_OVERHEAD + received as u64;
        self.socket.set_read_limit(self.read_before + limit);
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.driver, cx);
    }

    /// Ends the exchange. Returns `None` if the connection cannot be used for another one.
    fn into_idle(mut self, cx: &mut Context<'_>) -> Option<Self> {
        self.drive(cx);
        self.driver.as_ref()?;
        self.reused = true;
        (!self.sender.is_closed()).then_some(self)
    }
}

/// Returns true for a status that ends an exchange. No request asks for another protocol.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Polls the connection. Its error is ignored, as the failed exchange returns the same error.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}

/// A response body that is read from its connection. Dropping it before its end closes the connection.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    connection: Option<Connection>,
    body: Incoming,
    received: usize,
    max_bytes: usize,
    /// Whether the body ends with its connection.
    is_unframed: bool,
    reuse_in: Option<(Arc<IdleConnections>, SocketAddr, Traffic)>,
}

impl ResponseBody {
    /// Creates the body of a response on `connection`. Reading more than `max_bytes` fails.
    pub(crate) fn new(
        connection: Connection,
        head: &response::Parts,
        body: Incoming,
        max_bytes: usize,
    ) -> Self {
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            connection: Some(connection),
            is_unframed: !is_chunked && body.size_hint().exact().is_none(),
            body,
            received: 0,
            max_bytes,
            reuse_in: None,
        }
    }

    /// Lowers the number of bytes beyond which reading fails.
    pub(crate) fn limit(&mut self, max_bytes: usize) {
        self.max_bytes = self.max_bytes.min(max_bytes);
    }

    /// Makes the connection return to `idle` once the body has ended.
    pub(crate) fn reuse_in(
        &mut self,
        idle: Arc<IdleConnections>,
        address: SocketAddr,
        traffic: Traffic,
    ) {
        self.reuse_in = Some((idle, address, traffic));
    }

    /// Polls for the next bytes of the body; `None` at its end. Must not be polled again after an error.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        if self.body.size_hint().lower() > self.max_bytes as u64 {
            return Poll::Ready(Some(Err(Failure::TooLarge)));
        }
        match self.poll_frame(cx) {
            Poll::Ready(Some(Ok(chunk))) => {
                self.received += chunk.len();
                if let Some(connection) = &self.connection {
                    connection.limit_reads(self.received);
                }
                if self.received > self.max_bytes {
                    return Poll::Ready(Some(Err(Failure::TooLarge)));
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(None) if self.has_ended_early() => {
                Poll::Ready(Some(Err(Failure::EndedEarly)))
            }
            Poll::Ready(None) => {
                self.return_connection(cx);
                Poll::Ready(None)
            }
            other => other,
        }
    }

    /// Returns true if the connection ended, and the body with it, before the request was sent.
    ///
    /// A reset that follows the end of the upstream's side goes unnoticed, as nothing more is written or read.
    fn has_ended_early(&self) -> bool {
        let connection = self.connection.as_ref();
        self.is_unframed && connection.is_some_and(|connection| connection.socket.has_unsent())
    }

    /// Polls the body, then the connection that feeds it, then the body again.
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        let mut driven = false;
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Poll::Ready(Some(Ok(chunk)));
                    }
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(Failure::Transport(e)))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending if driven => return Poll::Pending,
                Poll::Pending => {
                    if let Some(connection) = &mut self.connection {
                        connection.drive(cx);
                    }
                    driven = true;
                }
            }
        }
    }

    fn return_connection(&mut self, cx: &mut Context<'_>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Some((idle, address, traffic)) = self.reuse_in.take()
            && let Some(connection) = connection.into_idle(cx)
        {
            idle.put(address, traffic, connection);
        }
    }

    /// Reads the complete body.
    pub(crate) async fn collect(&mut self, deadline: Instant) -> Result<Bytes, Failure> {
        timeout_at(deadline, self.collect_all())
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    async fn collect_all(&mut self) -> Result<Bytes, Failure> {
        let Some(first) = poll_fn(|cx| self.poll_chunk(cx)).await else {
            return Ok(Bytes::new());
        };
        let first = first?;
        let Some(second) = poll_fn(|cx| self.poll_chunk(cx)).await else {
            return Ok(first);
        };
        let mut body = BytesMut::from(first);
        body.extend_from_slice(&second?);
        while let Some(chunk) = poll_fn(|cx| self.poll_chunk(cx)).await {
            body.extend_from_slice(&chunk?);
        }
        Ok(body.freeze())
    }

    /// Returns whether the end of the body was read.
    pub(crate) fn is_at_end(&self) -> bool {
        self.connection.is_none()
    }

    /// Returns the bounds on the number of bytes that remain.
    pub(crate) fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
