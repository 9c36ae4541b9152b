//! Figures of a run, computed from records and evidence.

mod attainment;
mod control;
mod cost;
mod quantile;
mod run_report;

pub(crate) use attainment::answered;
pub use attainment::{WorkspaceResult, attainment, by_workspace, recovery_ms, timeline};
pub use control::{ControlCost, RequestCost, Slope, slope};
pub(crate) use control::{ControlProbe, lost_answers, mean_control, revision_in_force};
pub(crate) use cost::ratio;
pub use cost::{Costs, StageCost, costs};
pub use quantile::Latencies;
pub use run_report::{Claim, RunReport};
