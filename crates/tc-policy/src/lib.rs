//! Pure decisions under load: queueing, concurrency, estimates, budgets, choice of upstream, limits.
//!
//! No clock, no I/O: the time (`now`) and randomness are passed in, so a test can drive every decision.

mod admission;
mod backoffs;
mod batch;
mod budget;
mod choice;
mod cold;
mod engines;
mod estimate;
mod home;
mod limit;
mod pick;
mod prompt_times;
mod rendezvous;
mod repeats;
mod retry;
mod stage_graph;
mod suspect;
mod throttle;
mod upstream_limit;

pub use admission::{admit, hedge_after, slack_for};
pub use backoffs::Backoffs;
pub use batch::{
    BatchCall, BatchPlanner, BatchUpstream, Begun, CallEnd, CallKey, ChainJudge, Coming,
    ExpectedStages, Finished, HomeOutlook, JobKey, JudgedRequest, NewJob, PiecesByDue, Settled,
    StageOutlooks,
};
pub use budget::Budget;
pub use choice::{Candidate, Choice, choose};
pub use cold::{ColdLimit, RecentSends, may_send_alone};
pub use engines::{EngineCandidate, EnginePlanner};
pub use estimate::{Estimators, SizeClass, StageEstimate};
pub use home::{
    HeldPermit, Home, HomeConfig, HomeEvent, PermitDecision, PermitRequest, QueuedRequestKey,
};
pub use limit::{Demand, LimitHome, Share, ShareBucket};
pub use pick::{PickCandidate, PickWish, pick_upstream};
pub use prompt_times::PromptTimes;
pub use rendezvous::{rendezvous, rendezvous_score};
pub use repeats::{RepeatBudget, RepeatLimits};
pub use retry::retry_delay;
pub use stage_graph::StageGraph;
pub use suspect::{SuspectPolicy, Suspects, Trial};
pub use throttle::Throttle;
pub use upstream_limit::{
    KnownLimits, LimitChange, SendPacer, UncoordinatedSends, UncoordinatedShare,
};
