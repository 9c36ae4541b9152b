//! A TCP stream that counts the written bytes, limits the read ones, waits for a peer that does not read, and can detect
//! a close without waiting for the event loop.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// State of a socket that its connection can access while the HTTP library owns the socket.
#[derive(Debug, Default)]
pub(crate) struct SocketState {
    written: AtomicU64,
    read: AtomicU64,
    read_limit: AtomicU64,
    peek_first: AtomicBool,
    waits_for_reader: AtomicBool,
    has_unsent: AtomicBool,
}

impl SocketState {
    /// Returns the number of bytes that the kernel has accepted so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns true if the kernel has not accepted all bytes of the last write.
    pub(crate) fn has_unsent(&self) -> bool {
        self.has_unsent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read so far.
    pub(crate) fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Sets the number of bytes after which reading fails.
    pub(crate) fn set_read_limit(&self, limit: u64) {
        self.read_limit.store(limit, Ordering::Relaxed);
    }

    /// Makes the next read query the kernel, even if the event loop has not reported an event yet.
    ///
    /// Otherwise, if the upstream has just closed the idle connection, this is detected only after the call was
    /// written, and a call that could have used a new connection fails with the run state `unknown`.
    pub(crate) fn peek_before_next_read(&self) {
        self.peek_first.store(true, Ordering::Relaxed);
    }

    /// Sets whether data may stay unsent for as long as the peer's process does not read.
    pub(crate) fn set_waits_for_reader(&self, waits: bool) {
        self.waits_for_reader.store(waits, Ordering::Relaxed);
    }
}

/// The peer has sent more bytes than the answer can have.
#[derive(Clone, Copy, Debug, Error)]
#[error("too many bytes that belong to no answer")]
struct TooManyBytes;

/// Time for which data may stay unacknowledged (`TCP_USER_TIMEOUT`), unless it waits for the peer's process to read.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The socket that is passed to the HTTP library.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    state: Arc<SocketState>,
    waits_for_reader: bool,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, state: Arc<SocketState>) -> io::Result<Self> {
        let socket = Self {
            stream,
            state,
            waits_for_reader: false,
        };
        socket.set_user_timeout()?;
        Ok(socket)
    }

    /// Applies the timeout for unacknowledged data.
    ///
    /// The kernel counts the time in which the peer's receive window is full as well, although the peer acknowledges every
    /// probe. A peer that is lost then is noticed by the deadline of the call, or by keep-alive probes after the last byte.
    fn set_user_timeout(&self) -> io::Result<()> {
        let limit = (!self.waits_for_reader).then_some(USER_TIMEOUT);
        SockRef::from(&self.stream).set_tcp_user_timeout(limit)
    }

    fn update_user_timeout(&mut self) -> io::Result<()> {
        let waits = self.state.waits_for_reader.load(Ordering::Relaxed);
        if waits != self.waits_for_reader {
            self.waits_for_reader = waits;
            self.set_user_timeout()?;
        }
        Ok(())
    }

    /// Records the outcome of a write of `offered` bytes.
    fn record_write(&self, offered: usize, written: &Poll<io::Result<usize>>) {
        let accepted = match written {
            Poll::Ready(Ok(n)) => *n,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.state
            .written
            .fetch_add(accepted as u64, Ordering::Relaxed);
        self.state
            .has_unsent
            .store(accepted < offered, Ordering::Relaxed);
    }

    /// Returns `Ok(true)` if the peer has closed the connection, and an error if it has sent unsolicited bytes.
    fn peek_close(&self) -> io::Result<bool> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(0) => Ok(true),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) => Err(e),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.peek_first.swap(false, Ordering::Relaxed) && self.peek_close()? {
            return Poll::Ready(Ok(()));
        }
        let state = Arc::clone(&self.state);
        if state.read() > state.read_limit.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                TooManyBytes,
            )));
        }
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - filled;
        state.read.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_user_timeout()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(buf.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_user_timeout()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let offered = bufs.iter().map(|buf| buf.len()).sum();
        self.record_write(offered, &written);
        written
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
