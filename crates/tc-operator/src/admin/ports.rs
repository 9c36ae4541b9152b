//! Functions of the rest of the instance that the admin interface uses.

use futures::future::BoxFuture;
use tc_protocol::{Explanation, InstanceId, RequestId, UpstreamId};
use thiserror::Error;

use super::{StatusReport, UpstreamReport, WorkspaceReport};

/// A closure that answers one kind of question.
pub type Port<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, T> + Send + Sync>;

/// The closures behind the admin interface.
pub struct AdminPorts {
    /// State of all instances.
    pub status: Port<(), StatusReport>,
    /// State of all upstreams.
    pub upstreams: Port<(), Vec<UpstreamReport>>,
    /// Returns the statistics of the workspaces.
    pub workspaces: Port<(), Vec<WorkspaceReport>>,
    /// Explains the outcome of a request, through its entry instance if that is another one.
    pub explain: Port<RequestId, Option<Explanation>>,
    /// Begins (`true`) or ends (`false`) the draining of a target.
    pub drain: Port<(DrainTarget, bool), Result<(), DrainError>>,
    /// All metrics in the text format of Prometheus.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
}

/// Object that can be drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// An upstream: its home grants no more permits for it.
    Upstream(UpstreamId),
    /// An instance: callers are sent to others.
    Instance(InstanceId),
}

/// Why draining did not begin or end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DrainError {
    /// No such upstream or instance.
    #[error("there is no such upstream or instance")]
    NotFound,
    /// Whoever has to act on it cannot be reached, or the platform's store cannot.
    #[error("{0}")]
    Unavailable(String),
    /// It is not allowed now, such as draining the last live instance.
    #[error("{0}")]
    Refused(String),
}
