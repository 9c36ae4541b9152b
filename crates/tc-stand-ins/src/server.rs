//! The HTTP server under every stand-in: accepts, serves HTTP/1.1 and HTTP/2, stops at once and starts again.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::BoxFuture;
use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::{
    answer::{Answer, Closed},
    sync::lock,
};

/// Number of attempts of a restart to bind its address.
const REBIND_TRIES: u32 = 100;
/// Pause between these tries.
const REBIND_PAUSE: Duration = Duration::from_millis(20);
/// Pause after an accept failed, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Answers one request.
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Whether connections are served or closed as soon as they are accepted.
type Refusing = Arc<AtomicBool>;

/// A listening server. It must be closed with [`Server::close`]: its handler usually owns it, so it would never drop.
pub(crate) struct Server {
    address: SocketAddr,
    refusing: Refusing,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    handler: Option<Handler>,
    accept: Option<JoinHandle<()>>,
    closed: bool,
}

impl Server {
    /// Binds `address`; nothing is served before [`Server::serve`].
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<(Self, TcpListener)> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            refusing: Refusing::default(),
            state: Mutex::default(),
        };
        Ok((server, listener))
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `listener` with `handler` until stopped.
    pub(crate) fn serve(&self, listener: TcpListener, handler: Handler) {
        let mut state = lock(&self.state);
        if state.closed {
            return;
        }
        state.handler = Some(Arc::clone(&handler));
        state.accept = Some(tokio::spawn(accept_loop(
            listener,
            handler,
            Arc::clone(&self.refusing),
        )));
    }

    /// Whether connections are closed at once when accepted.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::Release);
    }

    /// Closes the listener and every connection, as the end of a process does.
    pub(crate) fn stop(&self) {
        if let Some(accept) = &lock(&self.state).accept {
            accept.abort();
        }
    }

    /// Listens again on the same address; nothing happens after [`Server::close`].
    pub(crate) async fn restart(&self) -> io::Result<()> {
        self.stop();
        let stopped = lock(&self.state).accept.take();
        if let Some(stopped) = stopped {
            // The listener is dropped by the aborted task, a moment after the abort; binding earlier would fail.
            let _ = stopped.await;
        }
        let listener = self.rebind().await?;
        let handler = lock(&self.state).handler.clone();
        if let Some(handler) = handler {
            self.serve(listener, handler);
        }
        Ok(())
    }

    /// Binds the address again, waiting for whoever took the port while nobody listened on it.
    async fn rebind(&self) -> io::Result<TcpListener> {
        let mut tries = 1;
        loop {
            match TcpListener::bind(self.address).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < REBIND_TRIES => {
                    tries += 1;
                    tokio::time::sleep(REBIND_PAUSE).await;
                }
                bound => return bound,
            }
        }
    }

    /// Stops for good and lets go of the handler.
    pub(crate) fn close(&self) {
        self.stop();
        let mut state = lock(&self.state);
        state.closed = true;
        let handler = state.handler.take();
        drop(state);
        drop(handler);
    }
}

async fn accept_loop(listener: TcpListener, handler: Handler, refusing: Refusing) {
    // Dropping the set aborts all connections: they end with the listener.
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("stand-in could not accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        if refusing.load(Ordering::Acquire) {
            continue;
        }
        connections.spawn(serve_connection(
            stream,
            Arc::clone(&handler),
            Arc::clone(&refusing),
        ));
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, refusing: Refusing) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!("stand-in could not set TCP_NODELAY: {error}");
    }
    let service = service_fn(move |req| {
        if refusing.load(Ordering::Acquire) {
            return Box::pin(async { Err(Closed) }) as BoxFuture<'static, Answer>;
        }
        handler(req)
    });
    let served = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("stand-in connection ended: {error}");
    }
}
