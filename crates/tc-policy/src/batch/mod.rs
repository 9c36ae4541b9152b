//! The home of a batch service: which pieces go into which upstream's next call.
//!
//! Upstreams of a batch service pay a fixed time for each call whatever is in it, and work on one or few calls at a
//! time. One home that sees the pieces of all instances' requests can fill calls that no instance could fill alone.
//!
//! [`BatchPlanner`] only decides; whoever drives it makes the calls it names and tells it how they ended.

mod by_due;
mod choose;
mod demand;
mod ends;
mod inputs;
mod job;
mod judge;
mod maker;
mod outlook;
mod outlooks;
mod piece_times;
mod planner;
mod refused;
mod results;
mod waits;

pub use by_due::PiecesByDue;
pub use ends::{CallEnd, Finished, Settled};
pub use job::{JobKey, NewJob};
pub use judge::{Begun, ChainJudge};
pub use maker::BatchUpstream;
pub use outlook::{Coming, HomeOutlook};
pub use outlooks::{ExpectedStages, JudgedRequest, StageOutlooks};
pub use planner::{BatchCall, BatchPlanner, CallKey};
