//! Routed requests: a caller's request is passed on to an upstream of its route's service, after the stages that the
//! route names, and the upstream's answer comes back as it is.
//!
//! The rules, limits, retries and recovery live here. How headers, configuration and the store spell things is told
//! by [`PlatformCodec`], plain functions that the crate speaking to the outside provides.

mod backoffs;
mod budgets;
mod call;
mod codec;
mod cold;
mod engines;
mod events;
mod freeze;
mod handlers;
mod homes;
mod join;
mod limits;
mod listeners;
mod routing;
mod run;
mod serve;
mod settings;
mod start;
mod stop;
mod unknown_headers;
mod upstream_stats;
mod world;

pub use call::{
    Acceptance, AnnouncedBackoff, AnswerHead, HeadError, Lifecycle, RequestHead, UpstreamLoad,
    UpstreamRequestHead,
};
pub use codec::{DirectoryQuery, PlatformCodec, StoreKinds};
pub use events::{Event, EventSplitter};
pub use freeze::{SuspendedTime, suspended_time};
pub use routing::{RouteTable, RouteTableError};
pub use serve::MetricsText;
pub use settings::{ColdAllowance, GatewaySettings, RepeatSettings};
pub use start::{Gateway, GatewayError, run};
pub use world::{TakenUp, UpstreamTable};
