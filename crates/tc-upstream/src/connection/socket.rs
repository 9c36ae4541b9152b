//! A TCP stream that counts the written bytes and can detect a close without waiting for the event loop.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// State of a socket that its connection can access while the HTTP library owns the socket.
#[derive(Debug, Default)]
pub(crate) struct SocketState {
    written: AtomicU64,
    peek_first: AtomicBool,
}

impl SocketState {
    /// Returns the number of bytes that the kernel has accepted so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Makes the next read query the kernel, even if the event loop has not reported an event yet.
    ///
    /// Otherwise, if the upstream has just closed the idle connection, this is detected only after the call was
    /// written, and a call that could have used a new connection fails with the run state `unknown`.
    pub(crate) fn peek_before_next_read(&self) {
        self.peek_first.store(true, Ordering::Relaxed);
    }
}

/// The socket that is passed to the HTTP library.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    state: Arc<SocketState>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, state: Arc<SocketState>) -> Self {
        Self { stream, state }
    }

    fn count(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.state.written.fetch_add(*n as u64, Ordering::Relaxed);
        }
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(&written);
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
