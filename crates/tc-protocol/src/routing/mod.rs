//! What routed requests go by: routes, services with their upstreams, and the calls of batch stages.
//!
//! The types hold decoded values only; whoever decodes an operator's configuration validates it there.

mod config;
mod piece;
mod prompt;
mod rate_limit;
mod upstream;

pub use config::{
    BatchSpec, CallerLimits, ColdStartSpec, EngineSpec, Route, RouteKind, RouteStage,
    RoutedService, RoutedWorkspace, RoutingConfig,
};
pub use piece::{
    PieceFailure, PieceInput, PieceRequest, PieceResult, ResultHandle, StageChain, StageRefusal,
    StageRequest,
};
pub use prompt::{EngineChoice, EngineRequest, Prompt, PromptPart, RunProgress, RunReport};
pub use rate_limit::{AnnouncedLimit, RateLimit, RateLimitUpdate};
pub use upstream::RegisteredUpstream;
