//! Connections kept alive between calls.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::driven::Connection;

/// How long an idle connection is kept. Shorter than what servers usually allow, so that we close before they do.
const KEEP_IDLE: Duration = Duration::from_secs(15);
/// How often connections to upstreams that are no longer called are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

/// What a connection is used for; connections of one use are never used for another.
///
/// Load reports carry no identity. On a connection shared with calls, a report delivered twice would be read as the
/// next call's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Traffic {
    /// Calls, whose answers carry an identity.
    Calls,
    /// Load reports.
    Load,
    /// Requests passed through, whose answers the sender matches itself.
    Raw,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Debug)]
struct Kept {
    by_host: HashMap<(SocketAddr, Traffic), Vec<Idle>>,
    swept: Instant,
}

/// The idle connections of one client.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    kept: Mutex<Kept>,
    per_host: usize,
}

impl IdleConnections {
    /// Keeps at most `per_host` idle connections of each use to one address.
    pub(crate) fn new(per_host: usize) -> Self {
        Self {
            kept: Mutex::new(Kept {
                by_host: HashMap::new(),
                swept: Instant::now(),
            }),
            per_host,
        }
    }

    /// The connection used last, as it is the least likely to have been closed by the peer.
    pub(crate) fn take(&self, address: SocketAddr, traffic: Traffic) -> Option<Connection> {
        let idle = self.lock().by_host.get_mut(&(address, traffic))?.pop()?;
        (idle.since.elapsed() < KEEP_IDLE).then_some(idle.connection)
    }

    /// Keeps a connection, or closes it when there are enough.
    pub(crate) fn put(&self, address: SocketAddr, traffic: Traffic, connection: Connection) {
        let now = Instant::now();
        let mut kept = self.lock();
        let expired = kept.sweep(now);
        let host = kept.by_host.entry((address, traffic)).or_default();
        if host.len() < self.per_host {
            host.push(Idle {
                connection,
                since: now,
            });
        }
        drop(kept);
        drop(expired);
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    /// Takes out what has been idle too long; the caller closes it after unlocking.
    fn sweep(&mut self, now: Instant) -> Vec<Idle> {
        if now.duration_since(self.swept) < SWEEP_EVERY {
            return Vec::new();
        }
        self.swept = now;
        let mut expired = Vec::new();
        self.by_host.retain(|_, host| {
            expired.extend(host.extract_if(.., |idle| now.duration_since(idle.since) >= KEEP_IDLE));
            !host.is_empty()
        });
        expired
    }
}
