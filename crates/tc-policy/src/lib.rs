//! Decision logic for operation under load: queueing, concurrency, estimates, budgets, upstream selection and rate
//! limits.
//!
//! The crate has no clock and does no I/O. Callers pass in the time (`now`) and the randomness, so that tests control
//! every decision.

mod admission;
mod backoffs;
mod batch;
mod brittle;
mod budget;
mod choice;
mod cold;
mod engines;
mod estimate;
mod home;
mod limit;
mod load_estimate;
mod pace;
mod pick;
mod pick_uneven;
mod prompt_times;
mod reachability;
mod rendezvous;
mod retry;
mod retry_budget;
mod room_times;
mod slowdown;
mod stage_graph;
mod suspect;
mod throttle;
mod upstream_limit;
mod urgency;

pub use admission::{admit, hedge_after, slack_for};
pub use backoffs::Backoffs;
pub use batch::{
    AdmittedChain, BatchCall, BatchPlanner, BatchUpstream, CallEnd, CallKey, ChainAdmission,
    ChainQuery, DependentPieces, DisplacedJob, DueHistogram, ExpectedStageTimes, FinishedJob,
    HomeOutlook, JobKey, JobOutcome, JobOutcomes, KnownShares, MAX_STAGE_PIECES, NewJob,
    OutcomeCounts, PRIORITY_LEVELS, PiecesByPriority, PlannerEffects, PlannerLoad, ReleasedResults,
    StageOutlooks, UnusedResults, UsedShares, max_stage_pieces,
};
pub use brittle::{BrittleUpstreams, Senders};
pub use budget::ExtraCallBudget;
pub use choice::{UpstreamCandidate, UpstreamChoice, choose_upstream};
pub use cold::{ColdLimit, RecentSends, may_send_uncoordinated};
pub use engines::{EngineCandidate, EnginePlanner};
pub use estimate::{Estimators, SizeClass, StageEstimate};
pub use home::{
    HeldPermit, Home, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, QueuedRequestKey,
};
pub use limit::{Demand, LimitHome, Share, ShareBucket};
pub use load_estimate::{LoadEstimate, PeerLoads, ReportFault, SentCall, UpstreamLoad};
pub use pace::{
    Arrivals, Evidence, HomePaces, LocalOutcome, LocalPaces, PaceCause, PaceChange, PaceEnd,
    PaceEvent, PacedWindow, SeenUpstream, Sender, SharedWindow, share_of_window,
};
pub use pick::{PickCandidate, PickPreference, pick_upstream};
pub use pick_uneven::{UnevenCandidate, UnevenReason, pick_uneven};
pub use prompt_times::PromptTimes;
pub use reachability::{Reach, Reachability};
pub use rendezvous::{rendezvous, rendezvous_score};
pub use retry::retry_delay;
pub use retry_budget::{RetryBudget, RetryLimits, RetryPermit, RetryUsage};
pub use room_times::{Arrived, RoomRequest, RoomShare, RoomTimes, ServiceRoom};
pub use slowdown::{AnnouncedSlowdown, MomentarySlowdown, Slowdown};
pub use stage_graph::StageGraph;
pub use suspect::{
    CrashEvidence, CrashId, QUARANTINE_RETRY_AFTER, SuspectKind, SuspectPolicy, Suspects, Trial,
};
pub use throttle::Throttle;
pub use upstream_limit::{
    KnownLimits, LimitChange, SendPacer, UncoordinatedSends, UncoordinatedShare,
};
pub use urgency::{UrgencyQuery, UrgencyScale, can_be_on_time};
