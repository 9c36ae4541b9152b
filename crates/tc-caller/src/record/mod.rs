//! What is kept of requests: decisions for operators, counts and costs for the workspaces' view.

mod explain;
mod stats;

pub(crate) use explain::{ExplanationRing, RequestTrace};
pub(crate) use stats::{RequestOutcome, Stats, WorkspaceRecord};
pub use stats::{StageCost, WorkspaceStats};
