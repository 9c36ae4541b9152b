//! Engine selection at the home of a model service.
//!
//! Prompts differ in length by a factor of a hundred and share long parts. A single home that knows what it assigned to
//! each engine can choose the one that finishes reading a prompt soonest. When each instance chose from its own few
//! requests, long prompts collided at one engine while eight others were idle, and the longest tenth of the prompts met
//! their deadline only half as often.
//!
//! [`EnginePlanner`] only decides; its caller sends the requests and reports their progress.

mod announced_load;
mod cost;
mod engine;
mod holders;
mod planner;
mod prefix_cache;
mod progress;
mod refusals;
mod run_time;
mod sources;
mod speed;

pub use planner::{EngineCandidate, EnginePlanner};
