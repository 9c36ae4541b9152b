//! Load and experiment tool: demo, scenarios, comparison and plots.
//!
//! It starts stand-ins in its own process and the real `tanagercroft serve` as processes beside it, sends load as
//! callers do, and judges what callers were told by what the stand-ins saw. It is never shipped.

mod commands;
mod error;
mod judge;
mod load;
mod measure;
mod report;
mod scenario;
mod soak;
mod world;

pub use commands::run;
pub use error::BenchError;
pub use judge::{CallRecord, Ended, Evidence, SeenCall, Told, Verdict, judge};
pub use measure::{
    Claim, ControlCost, Costs, Latencies, RequestCost, RunReport, Slope, StageCost,
    WorkspaceResult, attainment, by_workspace, costs, recovery_ms, slope, timeline,
};
pub use report::page;
pub use soak::{
    ConfigurationChanges, CrashingRequests, EngineVersions, LeavingUpstreams, OfferedLoad, Outcome,
    SilentUpstreams, SoakShape, SystemBinary, soak,
};
