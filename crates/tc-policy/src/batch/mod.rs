//! The home of a batch service: which pieces go into which upstream's next call.
//!
//! Upstreams of a batch service pay a fixed time for each call whatever is in it, and work on one or few calls at a
//! time. One home that sees the pieces of all instances' requests can fill calls that no instance could fill alone.
//!
//! [`BatchPlanner`] only decides; whoever drives it makes the calls it names and tells it how they ended.

mod chain_admission;
mod completion;
mod demand;
mod dispatch;
mod due_histogram;
mod inputs;
mod job;
mod outlook;
mod outlooks;
mod piece_times;
mod planner;
mod queue_time;
mod refused;
mod result_memory;
mod upstream;

pub use chain_admission::{AdmittedChain, ChainAdmission};
pub use completion::{CallEnd, FinishedJob, PlannerEffects};
pub use due_histogram::DueHistogram;
pub use job::{JobKey, NewJob};
pub use outlook::{HomeOutlook, IncomingPieces};
pub use outlooks::{ChainQuery, ExpectedStageTimes, StageOutlooks};
pub use planner::{BatchCall, BatchPlanner, CallKey};
pub use upstream::BatchUpstream;
