//! A TCP relay that limits how fast it passes bytes to the connecting side.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Mutex,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

/// Maximum number of bytes passed on at a time.
const CHUNK_BYTES: usize = 4_096;
const TIMER_SLACK: Duration = Duration::from_millis(5);

/// A relay to another address whose connections share one link. Dropping it closes them.
pub struct SlowLink {
    /// Where it listens.
    pub address: SocketAddr,
    link: Arc<Link>,
    accepting: JoinHandle<()>,
}

impl Drop for SlowLink {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

struct Link {
    /// Time at which the link has passed all bytes that it was given.
    free_at: Mutex<Instant>,
    bytes_per_s: f64,
    passed: AtomicUsize,
}

impl Link {
    async fn pass(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let passed_at = {
            let mut free_at = self.free_at.lock().await;
            // Timers are late by up to a millisecond, which must not slow the link down.
            let earliest = Instant::now() - TIMER_SLACK;
            *free_at = (*free_at).max(earliest) + time;
            *free_at
        };
        sleep_until(passed_at).await;
        self.passed.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl SlowLink {
    /// Starts a relay to `target` that passes this many bytes a second to all its connections together.
    pub async fn start(target: SocketAddr, bytes_per_s: f64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            free_at: Mutex::new(Instant::now()),
            bytes_per_s,
            passed: AtomicUsize::new(0),
        });
        let relayed = Arc::clone(&link);
        let accepting = tokio::spawn(async move {
            // Aborts the relayed connections when it is dropped.
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((caller, _)) = listener.accept().await {
                connections.spawn(relay(caller, target, Arc::clone(&relayed)));
            }
        });
        Ok(Self {
            address,
            link,
            accepting,
        })
    }

    /// Returns the number of bytes passed to the connecting side so far.
    #[must_use]
    pub fn passed_bytes(&self) -> usize {
        self.link.passed.load(Ordering::Relaxed)
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, link: Arc<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut from_caller, to_caller) = caller.into_split();
    let (from_server, mut to_server) = server.into_split();
    tokio::select! {
        () = copy_slowly(from_server, to_caller, &link) => {}
        // A half-closed connection still gets its answer.
        () = async {
            let _ = copy(&mut from_caller, &mut to_server).await;
            let _ = to_server.shutdown().await;
            std::future::pending::<()>().await;
        } => {}
    }
}

async fn copy_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: &Link) {
    let mut buf = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            return;
        }
        link.pass(count).await;
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
