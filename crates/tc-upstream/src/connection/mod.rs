//! Connections: one HTTP/1.1 exchange at a time on each, kept alive between exchanges.
//!
//! A connection has no task of its own. Whoever waits for an answer also drives the connection, in the same task:
//! dropping that future closes the socket at once, no byte can leave after a failure was reported, and the count of
//! bytes written is exact at that moment. That is what makes "not run" provable.

mod driven;
mod failure;
mod idle;
mod socket;

pub(crate) use driven::{Answer, Connection, dial};
pub(crate) use failure::Failure;
pub(crate) use idle::{IdleConnections, Traffic};
