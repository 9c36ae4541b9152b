//! The server.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinSet},
};

use super::{
    request::{Received, read_request},
    script::{Played, Script, play},
};
use crate::sync::lock;

type Answering =
    Arc<dyn Fn(Received) -> Pin<Box<dyn Future<Output = Script> + Send>> + Send + Sync>;

#[derive(Default)]
struct Seen {
    received: Mutex<Vec<Received>>,
    left: AtomicU64,
}

/// A server that answers each request by a script and remembers what it received. Dropping it closes everything.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Seen>,
    holds: watch::Sender<usize>,
    accepting: AbortHandle,
}

/// Holds back a server's answers until it is dropped.
#[derive(Debug)]
pub struct Hold(watch::Sender<usize>);

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.send_modify(|holds| *holds -= 1);
    }
}

impl ScriptedServer {
    /// Starts one on a free port of the loopback address.
    ///
    /// # Panics
    /// When no port is free.
    pub async fn start<F, Fut>(answer: F) -> Self
    where
        F: Fn(Received) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Script> + Send + 'static,
    {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, answer).await.expect("a free port")
    }

    /// Starts one on an address.
    pub async fn start_at<F, Fut>(address: SocketAddr, answer: F) -> io::Result<Self>
    where
        F: Fn(Received) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Script> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let seen = Arc::new(Seen::default());
        let answer: Answering = Arc::new(move |req| Box::pin(answer(req)));
        let holds = watch::Sender::new(0);
        let accepting = tokio::spawn(accept(
            listener,
            answer,
            Arc::clone(&seen),
            holds.subscribe(),
        ));
        Ok(Self {
            address,
            seen,
            holds,
            accepting: accepting.abort_handle(),
        })
    }

    /// Holds back all answers, those in progress too, where they are; requests are still read.
    ///
    /// ```
    /// # use std::{io, time::Duration};
    /// # use tokio::{io::{AsyncReadExt, AsyncWriteExt}, net::TcpStream, time::timeout};
    /// use tc_stand_ins::{ScriptedServer, whole_answer};
    /// # #[tokio::main]
    /// # async fn main() -> io::Result<()> {
    /// let server = ScriptedServer::start(|_| async { whole_answer(200, "", "") }).await;
    /// let hold = server.hold();
    /// let mut stream = TcpStream::connect(server.address).await?;
    /// stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await?;
    /// let read = timeout(Duration::from_millis(50), stream.read_u8()).await;
    /// assert!(read.is_err(), "nothing is written");
    ///
    /// drop(hold);
    /// assert_eq!(stream.read_u8().await?, b'H');
    /// # Ok(())
    /// # }
    /// ```
    #[must_use = "answers are held back until the guard is dropped"]
    pub fn hold(&self) -> Hold {
        self.holds.send_modify(|holds| *holds += 1);
        Hold(self.holds.clone())
    }

    /// All requests so far.
    #[must_use]
    pub fn received(&self) -> Vec<Received> {
        lock(&self.seen.received).clone()
    }

    /// Requests whose target begins so.
    #[must_use]
    pub fn calls(&self, target: &str) -> Vec<Received> {
        let all = self.received();
        all.into_iter()
            .filter(|req| req.target.starts_with(target))
            .collect()
    }

    /// Connections whose other side closed before the script had ended.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.seen.left.load(Ordering::Relaxed)
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    answer: Answering,
    seen: Arc<Seen>,
    holds: watch::Receiver<usize>,
) {
    // Dropped with this task, which ends its connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, peer)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(serve(
            stream,
            peer,
            Arc::clone(&answer),
            Arc::clone(&seen),
            holds.clone(),
        ));
    }
}

async fn serve(
    mut stream: TcpStream,
    peer: SocketAddr,
    answer: Answering,
    seen: Arc<Seen>,
    mut holds: watch::Receiver<usize>,
) {
    while let Some(req) = read_request(&mut stream, peer).await {
        lock(&seen.received).push(req.clone());
        let script = answer(req).await;
        match play(&mut stream, script, &mut holds).await {
            Played::Kept => {}
            Played::Closed => return,
            Played::Left => {
                seen.left.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}
