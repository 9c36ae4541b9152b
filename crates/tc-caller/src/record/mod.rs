//! Records of requests: decisions for operators, and counts and costs by workspace.

mod explain;
mod stats;

pub(crate) use explain::{ExplanationRing, RequestTrace};
pub(crate) use stats::{RequestOutcome, Stats, WorkspaceRecord};
pub use stats::{StageCost, WorkspaceStats};
