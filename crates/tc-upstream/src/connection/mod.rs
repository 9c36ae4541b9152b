//! HTTP/1.1 connections with one exchange at a time, kept alive between exchanges.
//!
//! A connection has no task of its own. The task that waits for a response also drives the connection. So dropping its
//! future closes the socket immediately, no byte can be sent after a failure was reported, and the count of written
//! bytes is exact at that time. This makes the run state `NotRun` provable.

mod failure;
mod http1;
mod idle;
mod socket;

pub(crate) use failure::Failure;
pub(crate) use http1::{Connection, ResponseBody, dial};
pub(crate) use idle::{IdleConnections, Traffic};
