//! Runs requests through their stages.

mod admission;
mod attempt;
mod context;
mod dispatch;
mod generation;
mod permit_guard;
mod pipeline;
mod plain;
mod plan;
mod stage;
mod throttle;

pub(crate) use context::{AcceptedRequest, RequestContext};
pub(crate) use pipeline::{PipelineCall, PipelineResponse, StageSummary, run_pipeline};
pub(crate) use plain::{PlainRequest, PlainServiceBody, PlainServiceResponse, run_plain};
pub(crate) use throttle::Throttles;
