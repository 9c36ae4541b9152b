//! A TCP stream that counts what was written and can look for a close without waiting for the event loop.

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

/// What the owner of a connection knows of its socket, which the HTTP library holds.
#[derive(Debug, Default)]
pub(crate) struct SocketState {
    written: AtomicU64,
    look_first: AtomicBool,
}

impl SocketState {
    /// Bytes the kernel has taken so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Makes the next read ask the kernel even if the event loop has reported nothing yet.
    ///
    /// An upstream that closed the idle connection a moment ago would else be noticed only after the call was
    /// written, seen as an `unknown` run state for a call that could have used a new connection.
    pub(crate) fn look_before_next_read(&self) {
        self.look_first.store(true, Ordering::Relaxed);
    }
}

/// The socket as handed to the HTTP library.
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

    /// `Ok(true)` when the peer has closed; an error when it has sent bytes nobody asked for.
    fn look(&self) -> io::Result<bool> {
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
        if self.state.look_first.swap(false, Ordering::Relaxed) && self.look()? {
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
