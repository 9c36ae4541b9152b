//! Routing of requests: forwards a caller's request to an upstream of its route's service, after
//! the stages that the route defines, and returns the upstream's response unchanged.
//!
//! This crate contains the rules, limits, retries and recovery. The formats of headers,
//! configuration and store objects are defined by [`PlatformCodec`], a set of functions provided by the
//! crate that handles external interfaces.

mod background;
mod backoffs;
mod call;
mod codec;
mod cold;
mod engines;
mod events;
// Named `freeze` because a module path is the `target` of its log lines, which log filters match.
mod freeze;
mod handlers;
mod held_bytes;
mod homes;
mod join;
mod limits;
mod listeners;
mod origins;
mod pace;
mod peer_requests;
mod process_load;
mod retry_budgets;
mod routing;
mod run;
mod serve;
mod settings;
mod start;
mod stop;
mod unknown_headers;
mod upstream_reach;
mod upstream_stats;
mod world;

pub use call::{
    Acceptance, AnnouncedBackoff, AnswerHead, HeadError, Lifecycle, RequestHead,
    UpstreamRequestHead,
};
pub use codec::{DirectoryQuery, PlatformCodec, StoreKinds};
pub use events::{Event, EventSplitter};
pub use freeze::{SuspendedTime, suspended_time};
pub use routing::{NoRoute, RouteTable};
pub use serve::MetricsRenderer;
pub use settings::{ColdAllowance, GatewaySettings, RetryBudgetSettings};
pub use start::{Gateway, GatewayError, run};
pub use tc_policy::{AnnouncedSlowdown, Slowdown, UpstreamLoad};
pub use world::{ApplyOutcome, Completeness, HeldRemovals, UpstreamTable};
