//! Types for routed requests: routes, services with their upstreams, and calls to batch stages.
//!
//! These types hold decoded values; the code that decodes an operator's configuration also validates it.

mod config;
mod piece;
mod prompt;
mod rate_limit;
mod stage_order;
mod stream_origin;
mod upstream;

pub use config::{
    BatchSpec, CallerLimits, ColdStartSpec, ConfigFault, EngineSpec, FaultEffect, Route, RouteKind,
    RouteStage, RoutedService, RoutedWorkspace, RoutingConfig,
};
pub use piece::{
    PieceFailure, PieceInput, PieceRequest, PieceResult, ResultHandle, StageChain, StageRefusal,
    StageRequest,
};
pub use prompt::{
    EngineChoice, EngineLoad, EngineRequest, Prompt, PromptPart, RunProgress, RunReport,
};
pub use rate_limit::{AnnouncedLimit, RateLimit, RateLimitUpdate};
pub use stage_order::stage_order;
pub use stream_origin::{OriginAnswer, OriginCoverage, OriginRecord, StreamKey, StreamOrigin};
pub use upstream::{RegisteredUpstream, meets_version};
