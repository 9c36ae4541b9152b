//! The socket of a caller's connection.
//!
//! A caller that is lost acknowledges nothing, and one that only does not read acknowledges every probe. The kernel's
//! limit for unacknowledged data (`TCP_USER_TIMEOUT`) ends both, so that it must not be shorter than the time that a
//! caller has for its answer.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Idle time before the kernel probes a caller's connection, and the interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered probes after which the connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 3;
/// Lower bound of the time for which data sent to a caller may stay unacknowledged.
const MIN_USER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that a caller has for the answer in progress. An extension of responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeForAnswer(pub(crate) Duration);

/// Limit for unacknowledged data, shared by a socket and the service that answers its requests.
#[derive(Clone, Debug)]
pub(super) struct UserTimeout(Arc<AtomicU64>);

impl UserTimeout {
    /// Sets the limit for an answer, with or without a known time.
    pub(super) fn set(&self, time: Option<TimeForAnswer>) {
        let time = time.map_or(MIN_USER_TIMEOUT, |time| time.0.max(MIN_USER_TIMEOUT));
        self.0.store(time.as_millis() as u64, Ordering::Relaxed);
    }
}

pub(super) struct CallerSocket {
    stream: TcpStream,
    user_timeout: UserTimeout,
    applied_ms: u64,
}

impl CallerSocket {
    /// Sets the options of the socket.
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEP_ALIVE_INTERVAL)
            .with_interval(KEEP_ALIVE_INTERVAL)
            .with_retries(KEEP_ALIVE_RETRIES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let user_timeout = UserTimeout(Arc::default());
        user_timeout.set(None);
        let mut socket = Self {
            stream,
            user_timeout,
            applied_ms: 0,
        };
        socket.apply_user_timeout()?;
        Ok(socket)
    }

    pub(super) fn user_timeout(&self) -> UserTimeout {
        self.user_timeout.clone()
    }

    fn apply_user_timeout(&mut self) -> io::Result<()> {
        let limit_ms = self.user_timeout.0.load(Ordering::Relaxed);
        if limit_ms != self.applied_ms {
            let limit = Duration::from_millis(limit_ms);
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit))?;
            self.applied_ms = limit_ms;
        }
        Ok(())
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
