//! Routed requests: a caller's request is passed on to an upstream of its route's service, after the stages that the
//! route names, and the upstream's answer comes back as it is.
//!
//! The rules, limits, retries and recovery live here. How headers, configuration and the store spell things is told
//! by [`Edges`], plain functions that the crate speaking to the outside provides.

mod backoffs;
mod budgets;
mod call;
mod cold;
mod edges;
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
mod upstreams;
mod world;

pub use call::{
    AnnouncedBackoff, AnswerHead, CallHead, HeadError, Lifecycle, Taken, UpstreamHead, UpstreamLoad,
};
pub use edges::{DirectoryQuestion, Edges, StoreKinds};
pub use events::{Event, EventSplitter};
pub use freeze::{SuspendedTime, suspended_time};
pub use routing::{RouteTable, RouteTableError};
pub use serve::MetricsRenderer;
pub use settings::{ColdAllowance, GatewaySettings, RetryBudgetSettings};
pub use start::{Gateway, GatewayError, run};
pub use world::{ApplyOutcome, UpstreamTable};
