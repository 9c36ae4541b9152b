//! Shared types: names, identifiers, deadlines, run states, the configuration model and wire types.
//!
//! This crate depends on no other crate of the workspace, so that all of them can depend on it.

mod claim;
mod clock;
mod config;
mod decision;
mod error;
mod guard;
mod name;
mod permit;
mod problem;
pub mod routing;
mod run_state;
mod store_revision;
mod view;
pub mod wire;

pub use claim::{ClaimKey, ClaimVerdict, RecordedOutcome};
pub use clock::{Deadline, MonoTime};
pub use config::{
    FleetConfig, Limits, Model, Pipeline, Policy, Service, ServiceKind, Stage, Upstream, Workspace,
};
pub use decision::{Decision, Explanation, Step};
pub use error::TcError;
pub use guard::{Permit, WorkspaceLimitGuard};
pub use name::{
    Attempt, FailureDomain, Fingerprint, Incarnation, InstanceId, PermitId, PipelineName, Region,
    RequestId, ServiceName, StageName, UpstreamId, UpstreamVersion, WorkspaceName,
};
pub use permit::{Cost, Grant, Outcome, PermitRefusal, PermitRequest, RefusalReason, Release};
pub use problem::{Problem, ProblemKind};
pub use run_state::RunState;
pub use store_revision::StoreRevision;
pub use view::{FleetView, Member, MemberState, StoreHealth, UpstreamState, UpstreamSummary};
