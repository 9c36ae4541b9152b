//! Idle connections, kept alive between calls.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::http1::Connection;

/// How long an idle connection is kept. Shorter than the usual timeout of servers, so that this side closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How often expired connections are removed, also those to upstreams that are no longer called.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

/// Traffic type of a connection. A connection is never reused for another type.
///
/// Load reports carry no identity. On a connection shared with calls, a report that is sent twice would be read as the
/// response to the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Traffic {
    /// Calls whose responses carry an identity.
    Calls,
    /// Load reports.
    Load,
    /// Requests that are sent unchanged; the sender checks that the response belongs to the request.
    Raw,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

#[derive(Debug)]
struct IdleTable {
    by_address: HashMap<(SocketAddr, Traffic), Vec<IdleConnection>>,
    last_removal: Instant,
}

/// The idle connections of a client.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    table: Mutex<IdleTable>,
    max_per_address: usize,
}

impl IdleConnections {
    /// Creates a store of at most `max_per_address` idle connections per address and traffic type.
    pub(crate) fn new(max_per_address: usize) -> Self {
        Self {
            table: Mutex::new(IdleTable {
                by_address: HashMap::new(),
                last_removal: Instant::now(),
            }),
            max_per_address,
        }
    }

    /// Takes the most recently used connection, as it is the least likely to have been closed by the peer.
    pub(crate) fn take(&self, address: SocketAddr, traffic: Traffic) -> Option<Connection> {
        let idle = self.lock().by_address.get_mut(&(address, traffic))?.pop()?;
        (idle.idle_since.elapsed() < IDLE_TIMEOUT).then_some(idle.connection)
    }

    /// Stores a connection, or closes it if the limit is reached.
    pub(crate) fn put(&self, address: SocketAddr, traffic: Traffic, connection: Connection) {
        let now = Instant::now();
        let mut table = self.lock();
        let expired = table.remove_expired(now);
        let connections = table.by_address.entry((address, traffic)).or_default();
        if connections.len() < self.max_per_address {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
            });
        }
        drop(table);
        drop(expired);
    }

    fn lock(&self) -> MutexGuard<'_, IdleTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleTable {
    /// Removes the expired connections. The caller drops them after unlocking.
    fn remove_expired(&mut self, now: Instant) -> Vec<IdleConnection> {
        if now.duration_since(self.last_removal) < REMOVAL_INTERVAL {
            return Vec::new();
        }
        self.last_removal = now;
        let mut expired = Vec::new();
        self.by_address.retain(|_, connections| {
            expired.extend(connections.extract_if(.., |idle| {
                now.duration_since(idle.idle_since) >= IDLE_TIMEOUT
            }));
            !connections.is_empty()
        });
        expired
    }
}
