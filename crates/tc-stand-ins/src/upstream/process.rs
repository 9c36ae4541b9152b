//! The pretended process of an upstream: it crashes, and starts again as another incarnation.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tc_protocol::Incarnation;
use tokio::{net::TcpListener, runtime::Handle, sync::Mutex as AsyncMutex};
use tokio_util::sync::CancellationToken;

use crate::{
    server::{Handler, Server},
    sync::lock,
};

/// One life of an upstream's process.
pub(crate) struct Life {
    incarnation: Incarnation,
    ended: CancellationToken,
}

impl Life {
    fn after(previous: Option<Incarnation>) -> Arc<Self> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let least = previous.map_or(0, |incarnation| incarnation.0 + 1);
        Arc::new(Self {
            incarnation: Incarnation(now.max(least)),
            ended: CancellationToken::new(),
        })
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Completes when this life ends.
    pub(crate) async fn ended(&self) {
        self.ended.cancelled().await;
    }
}

/// The server and which life of the process it is.
pub(crate) struct Process {
    server: Server,
    life: Mutex<Arc<Life>>,
    restart_after: Mutex<Option<Duration>>,
    restarting: AsyncMutex<()>,
    runtime: Handle,
}

impl Process {
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<(Self, TcpListener)> {
        let (server, listener) = Server::bind(address).await?;
        let process = Self {
            server,
            life: Mutex::new(Life::after(None)),
            restart_after: Mutex::default(),
            restarting: AsyncMutex::default(),
            runtime: Handle::current(),
        };
        Ok((process, listener))
    }

    pub(crate) fn serve(&self, listener: TcpListener, handler: Handler) {
        self.server.serve(listener, handler);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(crate) fn life(&self) -> Arc<Life> {
        Arc::clone(&lock(&self.life))
    }

    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.server.set_refusing(refusing);
    }

    pub(crate) fn set_restart_after(&self, after: Option<Duration>) {
        *lock(&self.restart_after) = after;
    }

    /// Ends a life: listener and connections close at once. A call of an earlier life cannot end a later one.
    pub(crate) fn crash(self: &Arc<Self>, life: &Arc<Life>) {
        life.ended.cancel();
        if !Arc::ptr_eq(life, &self.life()) {
            return;
        }
        self.server.stop();
        let restart_after = *lock(&self.restart_after);
        if let Some(after) = restart_after {
            let (process, life) = (Arc::clone(self), Arc::clone(life));
            self.runtime.spawn(async move {
                tokio::time::sleep(after).await;
                if let Err(error) = process.restart_from(&life).await {
                    log::error!("stand-in could not restart: {error}");
                }
            });
        }
    }

    /// Starts the next life on the same address.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        self.restart_from(&self.life()).await
    }

    /// Starts the next life unless `previous` has been followed by one already.
    ///
    /// Two crashes of one life, or a restart by hand before the planned one, would otherwise end a healthy life.
    async fn restart_from(&self, previous: &Arc<Life>) -> io::Result<()> {
        let _one_at_a_time = self.restarting.lock().await;
        {
            let mut life = lock(&self.life);
            if !Arc::ptr_eq(&life, previous) {
                return Ok(());
            }
            life.ended.cancel();
            *life = Life::after(Some(life.incarnation));
        }
        self.server.restart().await
    }

    /// Stops for good.
    pub(crate) fn close(&self) {
        self.life().ended.cancel();
        self.server.close();
    }
}
