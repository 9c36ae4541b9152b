//! The admin interface: what operators, dashboards and our own commands ask an instance.

mod ports;
mod report;
mod routes;
mod server;

pub use ports::{AdminPorts, DrainError, DrainTarget, Port};
pub use report::{InstanceReport, StageCost, StatusReport, UpstreamReport, WorkspaceReport};
pub use server::serve_admin;

pub(crate) use report::ErrorReport;

/// Paths of the interface, shared by server and client.
pub(crate) mod paths {
    pub(crate) const STATUS: &str = "/admin/status";
    pub(crate) const UPSTREAMS: &str = "/admin/upstreams";
    pub(crate) const WORKSPACES: &str = "/admin/workspaces";
    /// Followed by the request's identifier.
    pub(crate) const EXPLAIN: &str = "/admin/explain/";
    /// Followed by the upstream's identifier.
    pub(crate) const DRAIN_UPSTREAM: &str = "/admin/drain/upstream/";
    /// Followed by the instance's identifier.
    pub(crate) const DRAIN_INSTANCE: &str = "/admin/drain/instance/";
    pub(crate) const METRICS: &str = "/metrics";
    pub(crate) const HEALTH: &str = "/health";
}
