//! One connection and the answer being read from it, both driven by the task that waits.

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
use http::{Request, Response};
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

/// A connection on which no exchange is in progress, or the one that is.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    socket: Arc<SocketState>,
    written_before: u64,
    reused: bool,
}

/// What a failed send leaves: the request, if the connection never took it up.
#[derive(Debug)]
pub(crate) struct SendFailure {
    pub(crate) failure: Failure,
    pub(crate) unsent: Option<Request<Full<Bytes>>>,
}

/// Makes a connection.
pub(crate) async fn dial(
    address: SocketAddr,
    settings: &ClientSettings,
    limit: Duration,
) -> io::Result<Connection> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    keep_alive(&stream)?;
    let socket = Arc::new(SocketState::default());
    let io = TokioIo::new(Socket::new(stream, Arc::clone(&socket)));
    let (sender, driver) = http1::Builder::new()
        .max_header_size(settings.max_header_bytes)
        .handshake(io)
        .await
        .map_err(io::Error::other)?;
    Ok(Connection {
        sender,
        driver: Some(driver),
        socket,
        written_before: 0,
        reused: false,
    })
}

/// Idle time before the kernel probes a silent connection, and the pause between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const PROBES: u32 = 3;
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Makes the kernel end a connection whose peer is cut off or lost power.
///
/// Such a peer sends no reset. Without this, calls on the connection would wait for their whole deadline, seen as
/// requests that hang although other upstreams are free.
fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

impl Connection {
    /// Whether an exchange was made on it before the present one.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether any byte of the present exchange's request has left this process.
    pub(crate) fn has_written(&self) -> bool {
        self.socket.written() > self.written_before
    }

    /// Looks whether an idle connection can still be used; it is not when the peer closed it or sent anything.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.socket.look_before_next_read();
        poll_fn(|cx| {
            self.drive(cx);
            let ready = matches!(self.sender.poll_ready(cx), Poll::Ready(Ok(())));
            Poll::Ready(ready && self.driver.is_some())
        })
        .await
    }

    /// Sends a request and waits for the answer's header until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.written_before = self.socket.written();
        let mut response = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let answered = poll_fn(|cx| {
            drive(driver, cx);
            response.as_mut().poll(cx)
        });
        match timeout_at(deadline, answered).await {
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

    fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.driver, cx);
    }

    /// Marks the exchange as over; `None` when the connection cannot take another.
    fn into_idle(mut self, cx: &mut Context<'_>) -> Option<Self> {
        self.drive(cx);
        self.driver.as_ref()?;
        self.reused = true;
        (!self.sender.is_closed()).then_some(self)
    }
}

/// Moves the connection on. Its own error is left aside: the exchange that it fails gets it too.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}

/// An answer's body, still on its connection. Dropping it before its end closes the connection.
#[derive(Debug)]
pub(crate) struct Answer {
    connection: Option<Connection>,
    body: Incoming,
    received: usize,
    largest: usize,
    return_to: Option<(Arc<IdleConnections>, SocketAddr, Traffic)>,
}

impl Answer {
    /// The body of an answer that came on `connection`, at most `largest` bytes of it.
    pub(crate) fn new(connection: Connection, body: Incoming, largest: usize) -> Self {
        Self {
            connection: Some(connection),
            body,
            received: 0,
            largest,
            return_to: None,
        }
    }

    /// Keeps the connection for later calls once the body has ended.
    pub(crate) fn return_to(
        &mut self,
        idle: Arc<IdleConnections>,
        address: SocketAddr,
        traffic: Traffic,
    ) {
        self.return_to = Some((idle, address, traffic));
    }

    /// The next bytes of the body; `None` at its end. Must not be polled again after an error.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        if self.body.size_hint().lower() > self.largest as u64 {
            return Poll::Ready(Some(Err(Failure::TooLarge)));
        }
        match self.poll_frame(cx) {
            Poll::Ready(Some(Ok(chunk))) => {
                self.received += chunk.len();
                if self.received > self.largest {
                    return Poll::Ready(Some(Err(Failure::TooLarge)));
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(None) => {
                self.give_back(cx);
                Poll::Ready(None)
            }
            other => other,
        }
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

    fn give_back(&mut self, cx: &mut Context<'_>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Some((idle, address, traffic)) = self.return_to.take()
            && let Some(connection) = connection.into_idle(cx)
        {
            idle.put(address, traffic, connection);
        }
    }

    /// The whole body.
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
        let mut whole = BytesMut::from(first);
        whole.extend_from_slice(&second?);
        while let Some(chunk) = poll_fn(|cx| self.poll_chunk(cx)).await {
            whole.extend_from_slice(&chunk?);
        }
        Ok(whole.freeze())
    }

    /// Whether the body is known to have ended.
    pub(crate) fn is_at_end(&self) -> bool {
        self.connection.is_none()
    }

    /// Bytes still to come, as far as known.
    pub(crate) fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
