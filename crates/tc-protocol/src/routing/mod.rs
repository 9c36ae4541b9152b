//! What routed requests go by: routes, services with their upstreams, and the calls of batch stages.
//!
//! The types hold decoded values only; whoever decodes an operator's configuration validates it there.

mod config;
mod piece;
mod prompt;
mod rate_limit;
mod upstream;

pub use config::{
    BatchSpec, CallerLimits, ColdSpec, EngineSpec, RepeatRule, Route, RouteStage, RoutedService,
    RoutedWorkspace, RoutingConfig,
};
pub use piece::{
    ChainAsk, PieceFailure, PieceInput, PieceOrder, PieceResult, PiecesAsk, PiecesRefusal,
    ResultHandle,
};
pub use prompt::{EngineAsk, EngineChoice, EngineNews, Prompt, PromptPart, RunReport};
pub use rate_limit::{AnnouncedLimit, LimitNews, RateLimit};
pub use upstream::RegisteredUpstream;
