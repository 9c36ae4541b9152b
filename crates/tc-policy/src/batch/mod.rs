//! Batch scheduling at the home of a service: decides which pieces go into the next call of which upstream.
//!
//! Each call to an upstream of a batch service has a fixed cost, and an upstream runs only one or a few calls at a
//! time. A single home that receives the pieces of all instances' requests can fill calls that no instance could fill
//! alone.
//!
//! [`BatchPlanner`] only decides. Its driver makes the calls that it returns and reports how they ended.

mod chain_admission;
mod completion;
mod demand;
mod dispatch;
mod due_histogram;
mod inputs;
mod job;
mod outcomes;
mod outlook;
mod outlooks;
mod overdue;
mod piece_limit;
mod piece_times;
mod planner;
mod queue_order;
mod queue_time;
mod refused;
mod released;
mod result_memory;
mod return_times;
mod unaccounted;
mod upstream;
mod workspace_shares;

pub use chain_admission::{AdmittedChain, ChainAdmission};
pub use completion::{CallEnd, FinishedJob, PlannerEffects, UnusedResults};
pub use due_histogram::{DueHistogram, PiecesByPriority};
pub use job::{JobKey, NewJob};
pub use outcomes::{JobOutcome, JobOutcomes, OutcomeCounts};
pub use outlook::{DependentPieces, HomeOutlook};
pub use outlooks::{ChainQuery, ExpectedStageTimes, StageOutlooks};
pub use piece_limit::{MAX_STAGE_PIECES, max_stage_pieces};
pub use planner::{BatchCall, BatchPlanner, CallKey, PlannerLoad};
pub use queue_order::{DisplacedJob, PRIORITY_LEVELS};
pub use released::ReleasedResults;
pub use upstream::BatchUpstream;
pub use workspace_shares::{KnownShares, UsedShares};
